package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// MaxTombstones is the number of endpoints that left which the state remembers.
// Announcements are late by seconds; this many leave in days.
const MaxTombstones = 256

// CheckStale reports why an announcement of an endpoint must not change the state:
// it comes from a process that has left, or that another one has followed on the
// identity or the address. A zero code admits it.
func (s *State) CheckStale(e Endpoint) Outcome {
	if gone, ok := s.Retired[e.ID]; ok && e.StartedMS <= gone.StartedMS {
		return refuse(result.GroupConflict, "endpoint %q has left", e.ID)
	}
	if known, ok := s.Endpoints[e.ID]; ok && (e.StartedMS < known.StartedMS || e.StartedMS == known.StartedMS && e.Seq < known.Seq) {
		return refuse(result.GroupConflict, "endpoint %q has announced itself later", e.ID)
	}
	for id, other := range s.Endpoints {
		if id != e.ID && other.Addr == e.Addr && other.StartedMS > e.StartedMS {
			return refuse(result.GroupConflict, "the address of endpoint %q belongs to %q", e.ID, id)
		}
	}
	return Outcome{}
}

// HasEndpoint reports whether the state holds what the announcement says.
func (s *State) HasEndpoint(e Endpoint) bool {
	known, ok := s.Endpoints[e.ID]
	return ok && known.sameExceptSeq(e)
}

// putEndpoint adds or changes an endpoint. A group takes no more members than
// the release note gives it.
func putEndpoint(s *State, index uint64, e Endpoint) (*State, Outcome) {
	g, ok := s.Groups[e.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "endpoint %q belongs to service %q, which no release note names", e.ID, e.Service)
	}
	known, exists := s.Endpoints[e.ID]
	limit := s.Catalog.Services[e.Service].Endpoints
	switch {
	case e.ID == "" || e.Addr == "":
		return nil, refuse(result.GroupConflict, "an endpoint has an identity and an address")
	case s.HasEndpoint(e):
		return nil, Outcome{}
	case exists && known.Service != e.Service && e.StartedMS <= known.StartedMS:
		return nil, refuse(result.GroupConflict, "endpoint %q is a member of service %q", e.ID, known.Service)
	case !exists && limit != note.OpenGroup && len(g.Members) >= limit:
		return nil, refuse(result.GroupConflict, "the group of service %q has all its %d endpoints", e.Service, len(g.Members))
	}
	if out := s.CheckStale(e); out.Code != 0 {
		return nil, out
	}
	next := s.withoutEndpoints(index, func(o Endpoint) bool {
		return o.ID == e.ID && o.Service != e.Service || o.ID != e.ID && o.Addr == e.Addr && o.StartedMS < e.StartedMS
	})
	g = next.Groups[e.Service]
	if !slices.Contains(g.Members, e.ID) {
		g.Members = append(slices.Clone(g.Members), e.ID)
		slices.Sort(g.Members)
	}
	next = next.withGroup(g, index)
	next.Endpoints = maps.Clone(next.Endpoints)
	next.Endpoints[e.ID] = e
	return next, Outcome{}
}

// without returns the state without the endpoints that match, or s itself. A
// group whose active primary is among them is sealed.
func (s *State) withoutEndpoints(index uint64, match func(Endpoint) bool) *State {
	next := s
	for _, id := range slices.Sorted(maps.Keys(s.Endpoints)) {
		e := s.Endpoints[id]
		if !match(e) {
			continue
		}
		g := next.Groups[e.Service]
		g.Members = slices.DeleteFunc(slices.Clone(g.Members), func(m string) bool { return m == id })
		if g.Phase == PhaseActive && g.Primary == id {
			g = sealedGroup(g, "primary "+id+" has left")
		}
		next = next.withGroup(g, index)
		next.Endpoints = maps.Clone(next.Endpoints)
		delete(next.Endpoints, id)
	}
	return next
}

// retireEndpoint removes an endpoint and remembers that it left.
func retireEndpoint(s *State, index uint64, c *RetireEndpoint) (*State, Outcome) {
	known, exists := s.Endpoints[c.ID]
	born := c.StartedMS
	if born == 0 {
		born = known.StartedMS
	}
	if !exists || known.StartedMS > born {
		return nil, Outcome{}
	}
	next := copyOf(s.withoutEndpoints(index, func(e Endpoint) bool { return e.ID == c.ID }))
	next.Retired = addTombstone(s.Retired, c.ID, Tombstone{StartedMS: born, At: index})
	return next, Outcome{}
}

// retire returns a copy with one more entry, shortened to MaxTombstones.
func addTombstone(all map[string]Tombstone, id string, r Tombstone) map[string]Tombstone {
	next := maps.Clone(all)
	if next == nil {
		next = make(map[string]Tombstone)
	}
	next[id] = r
	if len(next) <= MaxTombstones {
		return next
	}
	oldest := id
	for name, other := range next {
		if other.At < next[oldest].At || other.At == next[oldest].At && name < oldest {
			oldest = name
		}
	}
	delete(next, oldest)
	return next
}
