package agreed

import (
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// New returns the empty state at revision zero.
func New() *State {
	return &State{
		Catalog: note.Catalog{
			Workspaces: map[string]note.Workspace{},
			Keys:       map[string]note.Key{},
			Services:   map[string]note.Service{},
			Domains:    map[string]note.Domain{},
		},
		Hosts:     map[string]Host{},
		Endpoints: map[string]Endpoint{},
		Groups:    map[string]Group{},
	}
}

// Apply applies the command at a log index. It returns s itself if the command is
// refused or changes nothing, otherwise a new state whose revision is index, or that of s if
// only Usage changes: subscribers would otherwise follow a revision without a change. s is not
// modified. The result depends only on the arguments, so that all replicas
// reach the same state.
func Apply(s *State, index uint64, c Command) (*State, Outcome) {
	next, out := apply(s, index, c)
	if out.Code != 0 || next == nil {
		out.Revision = s.Revision
		return s, out
	}
	if !c.changesUsageOnly() {
		next.Revision = index
	}
	out.Revision = next.Revision
	return next, out
}

// apply applies one command. next is nil if nothing changed.
func apply(s *State, index uint64, c Command) (next *State, out Outcome) {
	switch {
	case c.ApplyNote != nil:
		return applyNote(s, index, c.ApplyNote)
	case c.RegisterHost != nil:
		return registerHost(s, index, c.RegisterHost.Host)
	case c.RemoveHost != nil:
		return removeHost(s, index, c.RemoveHost)
	case c.PutEndpoint != nil:
		return putEndpoint(s, index, c.PutEndpoint.Endpoint)
	case c.RemoveEndpoint != nil:
		return removeEndpoint(s, index, c.RemoveEndpoint)
	case c.SealGroup != nil:
		return sealGroup(s, index, c.SealGroup)
	case c.ChooseCandidate != nil:
		return chooseCandidate(s, index, c.ChooseCandidate)
	case c.ActivateGroup != nil:
		return activateGroup(s, index, c.ActivateGroup)
	case c.NameFleet != nil:
		return nameFleet(s, c.NameFleet)
	case c.PutCatalog != nil:
		return putCatalog(s, index, c.PutCatalog)
	case c.SetDomain != nil:
		return setDomain(s, c.SetDomain.Domain)
	case c.RetireEndpoint != nil:
		return retireEndpoint(s, index, c.RetireEndpoint)
	case c.MarkAbsent != nil:
		return markAbsent(s, c.MarkAbsent.Processes)
	case c.SetSilentOwners != nil:
		return setSilentOwners(s, c.SetSilentOwners.Hosts)
	case c.ClaimUsage != nil:
		return claimUsage(s, index, c.ClaimUsage)
	case c.DecideUsage != nil:
		return decideUsage(s, c.DecideUsage)
	default:
		return nil, refuse(result.UnsupportedFeature, "the command is empty or unknown to this version")
	}
}

// copyOf returns a shallow copy of s. The caller clones each map before it changes
// it.
func copyOf(s *State) *State {
	next := *s
	return &next
}

// nameFleet sets the name of a state that has none. Another name is refused.
func nameFleet(s *State, c *NameFleet) (*State, Outcome) {
	if s.Fleet == c.Fleet {
		return nil, Outcome{}
	}
	if s.Fleet != "" {
		return nil, refuse(result.PeerFleet, "the state belongs to fleet %q", s.Fleet)
	}
	next := copyOf(s)
	next.Fleet = c.Fleet
	return next, Outcome{}
}
