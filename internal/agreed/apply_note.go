package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// MaxHistory is the maximum number of accepted notes in the history of the state. A
// repeated note is recognized only while its stamp is in the history.
const MaxHistory = 1024

// applyNote accepts the note with the next number. A note with the number and digest
// of an accepted one gets the stamp of the first acceptance; one with another digest
// is a conflict.
func applyNote(s *State, index uint64, c *ApplyNote) (*State, Outcome) {
	number, digest := c.Note.Number, note.Digest(c.Note)
	if stamp, ok := s.findNote(number); ok {
		return nil, repeatedNote(stamp, digest)
	}
	current := s.Catalog.Stamp
	if number != current.Number+1 {
		out := refuse(result.NoteOutOfOrder, "note %d: the note in force is %d %q, the next number is %d",
			number, current.Number, current.Title, current.Number+1)
		out.Stamp = &current
		return nil, out
	}
	catalog, problems := s.Catalog.Apply(c.Note)
	if note.HasErrors(problems) {
		out := refuse(result.NoteInvalid, "note %d has errors; nothing of it was applied", number)
		out.Problems = problems
		return nil, out
	}
	catalog.Stamp = note.Stamp{Number: number, Digest: digest, Title: c.Note.Title, Accepted: c.Received}
	next := copyOf(s)
	next.Catalog = catalog
	next.History = appendHistory(s.History, catalog.Stamp)
	next.syncGroups(index)
	return next, Outcome{Stamp: &catalog.Stamp, Problems: problems}
}

// findNote returns the stamp of the accepted note with the number.
func (s *State) findNote(number uint64) (note.Stamp, bool) {
	i, ok := slices.BinarySearchFunc(s.History, number, func(stamp note.Stamp, number uint64) int {
		return int(int64(stamp.Number) - int64(number))
	})
	if !ok {
		return note.Stamp{}, false
	}
	return s.History[i], true
}

// repeatedNote returns the outcome of a note whose number was accepted before.
func repeatedNote(stamp note.Stamp, digest string) Outcome {
	if stamp.Digest == digest {
		return Outcome{Stamp: &stamp, Repeated: true}
	}
	out := refuse(result.NoteConflict, "note %d %q with digest %s is in force; the note sent has digest %s",
		stamp.Number, stamp.Title, stamp.Digest, digest)
	out.Stamp = &stamp
	return out
}

// appendHistory returns a copy of history with the stamps added. Beyond MaxHistory it
// drops the oldest ones.
func appendHistory(history []note.Stamp, stamps ...note.Stamp) []note.Stamp {
	longer := append(slices.Clone(history), stamps...)
	return longer[max(0, len(longer)-MaxHistory):]
}

// syncGroups adds a forming group for each new service of the catalog, and removes
// the groups and endpoints of withdrawn services. It modifies s, which must not be
// published yet.
func (s *State) syncGroups(index uint64) {
	groups := maps.Clone(s.Groups)
	for name := range s.Catalog.Services {
		if _, ok := groups[name]; !ok {
			groups[name] = Group{Service: name, Phase: PhaseForming, Changed: index, Life: s.ServiceWithdrawn}
		}
	}
	withdrawn := func(service string) bool {
		_, ok := s.Catalog.Services[service]
		return !ok
	}
	before := len(groups)
	maps.DeleteFunc(groups, func(name string, _ Group) bool { return withdrawn(name) })
	if len(groups) < before {
		s.ServiceWithdrawn = index
	}
	s.Groups = groups
	s.Endpoints = maps.Clone(s.Endpoints)
	maps.DeleteFunc(s.Endpoints, func(_ string, e Endpoint) bool { return withdrawn(e.Service) })
}
