package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Quorum returns the number of members of the service's group that must hold a
// write before it is acknowledged. It counts the endpoints that the release
// note asks for, so that a group with missing members does not lower it.
func (s *State) Quorum(service string) int {
	size := max(s.Catalog.Services[service].Endpoints, len(s.Groups[service].Members))
	return size/2 + 1
}

// withGroup returns a copy of s with a changed group.
func (s *State) withGroup(g Group, index uint64) *State {
	g.Changed = index
	next := copyOf(s)
	next.Groups = maps.Clone(s.Groups)
	next.Groups[g.Service] = g
	return next
}

// putEndpoint adds or changes an endpoint. A group takes no more members than
// the release note gives it.
func putEndpoint(s *State, index uint64, e Endpoint) (*State, Outcome) {
	g, ok := s.Groups[e.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "endpoint %q belongs to service %q, which no release note names", e.ID, e.Service)
	}
	known, exists := s.Endpoints[e.ID]
	switch {
	case e.ID == "" || e.Addr == "":
		return nil, refuse(result.GroupConflict, "an endpoint has an identity and an address")
	case exists && known == e:
		return nil, Outcome{}
	case exists && known.Service != e.Service:
		return nil, refuse(result.GroupConflict, "endpoint %q is a member of service %q", e.ID, known.Service)
	case !exists && len(g.Members) >= s.Catalog.Services[e.Service].Endpoints:
		return nil, refuse(result.GroupConflict, "the group of service %q has all its %d endpoints", e.Service, len(g.Members))
	}
	if !exists {
		g.Members = append(slices.Clone(g.Members), e.ID)
		slices.Sort(g.Members)
	}
	next := s.withGroup(g, index)
	next.Endpoints = maps.Clone(s.Endpoints)
	next.Endpoints[e.ID] = e
	return next, Outcome{}
}

// removeEndpoint removes a member that is neither the primary nor the candidate
// of its group.
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

func termConflict(g Group, expected uint64) Outcome {
	return refuse(result.TermConflict, "service %q is in term %d, phase %s; the command expects term %d", g.Service, g.Term, g.Phase, expected)
}

// sealGroup ends the expected term of an active group.
func sealGroup(s *State, index uint64, c *SealGroup) (*State, Outcome) {
	g, ok := s.Groups[c.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "no service %q", c.Service)
	}
	if g.Phase != PhaseActive || g.Term != c.Term {
		return nil, termConflict(g, c.Term)
	}
	g.Term++
	g.Phase = PhaseSealed
	g.Candidate = ""
	g.Reason = c.Reason
	return s.withGroup(g, index), Outcome{}
}

// chooseGroup records the candidate of a sealed term.
func chooseGroup(s *State, index uint64, c *ChooseGroup) (*State, Outcome) {
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
	if g.Candidate == c.Candidate {
		return nil, Outcome{}
	}
	g.Candidate = c.Candidate
	return s.withGroup(g, index), Outcome{}
}

// activateGroup activates a sealed group with its candidate, or a forming group
// of which a quorum is present.
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
	g.Candidate = ""
	g.Reason = ""
	return s.withGroup(g, index), Outcome{}
}
