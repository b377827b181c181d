package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Quorum returns the number of members of the service's group that must store a
// write before it is acknowledged: one if the primary itself waits for replicas
// (note.AckReplicas), otherwise a majority. The majority is that of the configured
// number of endpoints if the group has fewer members, so that missing members do not
// lower it.
func (s *State) Quorum(service string) int {
	if s.Catalog.Services[service].Ack == note.AckReplicas {
		return 1
	}
	size := max(s.Catalog.Services[service].Endpoints, len(s.Groups[service].Members))
	return size/2 + 1
}

// withGroup returns a copy of s with a changed group. Changed of the group becomes
// index.
func (s *State) withGroup(g Group, index uint64) *State {
	g.Changed = index
	next := copyOf(s)
	next.Groups = maps.Clone(s.Groups)
	next.Groups[g.Service] = g
	return next
}

// removeEndpoint removes a member from its group. It is refused while the group is
// sealed, for the primary of an active group, and in another term than expected.
func removeEndpoint(s *State, index uint64, c *RemoveEndpoint) (*State, Outcome) {
	e, ok := s.Endpoints[c.ID]
	if !ok {
		return nil, Outcome{}
	}
	g := s.Groups[e.Service]
	if g.Term != c.Term {
		return nil, termConflict(g, c.Term)
	}
	if g.Phase == PhaseSealed || (g.Phase == PhaseActive && g.Primary == c.ID) {
		return nil, refuse(result.GroupConflict, "endpoint %q cannot leave the group while it is %s with primary %q", c.ID, g.Phase, g.Primary)
	}
	g.Members = slices.DeleteFunc(slices.Clone(g.Members), func(id string) bool { return id == c.ID })
	next := s.withGroup(g, index)
	next.Endpoints = maps.Clone(s.Endpoints)
	delete(next.Endpoints, c.ID)
	return next, Outcome{}
}

// termConflict returns the refusal of a command that expects another term or phase.
func termConflict(g Group, expected uint64) Outcome {
	return refuse(result.TermConflict, "service %q is in term %d, phase %s; the command expects term %d", g.Service, g.Term, g.Phase, expected)
}

// sealGroup ends the term of an active group, which must be the expected one. The
// group can become active again only through its candidate. Under note.AckReplicas a forming group can be
// sealed as well: if its primary was lost, it becomes active only through a promotion.
func sealGroup(s *State, index uint64, c *SealGroup) (*State, Outcome) {
	g, ok := s.Groups[c.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "no service %q", c.Service)
	}
	forming := g.Phase == PhaseForming && s.Catalog.Services[c.Service].Ack == note.AckReplicas
	if g.Phase != PhaseActive && !forming || g.Term != c.Term {
		return nil, termConflict(g, c.Term)
	}
	return s.withGroup(sealedGroup(g, c.Reason), index), Outcome{}
}

// sealedGroup returns the group sealed in the next term, without a candidate.
func sealedGroup(g Group, reason string) Group {
	g.Term++
	g.Phase = PhaseSealed
	g.Candidate, g.ChooserTerm, g.Attempt = "", 0, 0
	g.Reason = reason
	return g
}

// chooseCandidate records the candidate of a sealed term. A repeated or older attempt
// for the same candidate in the same chooser term changes nothing; any other choice
// changes the group's revision and so the fence of the promotion.
func chooseCandidate(s *State, index uint64, c *ChooseCandidate) (*State, Outcome) {
	g, ok := s.Groups[c.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "no service %q", c.Service)
	}
	if g.Phase != PhaseSealed || g.Term != c.Term {
		return nil, termConflict(g, c.Term)
	}
	if !slices.Contains(g.Members, c.Candidate) {
		return nil, refuse(result.GroupConflict, "endpoint %q is not a member of service %q", c.Candidate, c.Service)
	}
	if g.Candidate == c.Candidate && g.ChooserTerm == c.ChooserTerm && g.Attempt >= c.Attempt {
		return nil, Outcome{}
	}
	g.Candidate, g.ChooserTerm, g.Attempt = c.Candidate, c.ChooserTerm, c.Attempt
	return s.withGroup(g, index), Outcome{}
}

// activateGroup activates a sealed group with its candidate as primary, or a forming
// group that has a quorum of members. The first active term is 1.
func activateGroup(s *State, index uint64, c *ActivateGroup) (*State, Outcome) {
	g, ok := s.Groups[c.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "no service %q", c.Service)
	}
	if g.Phase == PhaseActive && g.Term == c.Term && g.Primary == c.Primary && g.Timeline == c.Timeline {
		return nil, Outcome{}
	}
	if !slices.Contains(g.Members, c.Primary) {
		return nil, refuse(result.GroupConflict, "endpoint %q is not a member of service %q", c.Primary, c.Service)
	}
	switch {
	case g.Phase == PhaseForming && c.Term == max(g.Term, 1):
		if len(g.Members) < s.Quorum(c.Service) {
			return nil, refuse(result.GroupConflict, "service %q has %d of the %d members it needs", c.Service, len(g.Members), s.Quorum(c.Service))
		}
	case g.Phase == PhaseSealed && c.Term == g.Term && g.Candidate == c.Primary:
	default:
		return nil, termConflict(g, c.Term)
	}
	g.Term = c.Term
	g.Primary = c.Primary
	g.Timeline = c.Timeline
	g.Phase = PhaseActive
	g.Candidate, g.ChooserTerm, g.Attempt = "", 0, 0
	g.Reason = ""
	return s.withGroup(g, index), Outcome{}
}
