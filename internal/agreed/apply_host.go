package agreed

import (
	"maps"

	"github.com/galenabridge/galenabridge/internal/result"
)

// registerHost adds a host or replaces its data. The registered incarnation may
// register again and keeps its Registered revision; an older one is refused.
func registerHost(s *State, index uint64, h Host) (*State, Outcome) {
	current, ok := s.Hosts[h.ID]
	if h.ID == "" || h.Incarnation == 0 {
		return nil, refuse(result.PeerMalformed, "a host has an identity and an incarnation")
	}
	if ok && h.Incarnation < current.Incarnation {
		return nil, refuse(result.PeerIncarnation, "host %q has a newer process", h.ID)
	}
	h.Registered = index
	if ok && h.Incarnation == current.Incarnation {
		h.Registered = current.Registered
	}
	if h == current {
		return nil, Outcome{}
	}
	next := copyOf(s)
	next.Hosts = maps.Clone(s.Hosts)
	next.Hosts[h.ID] = h
	if current.Entry && current.Incarnation != h.Incarnation {
		next.EntryRemoved = index
	}
	if current.Control != h.Control {
		next.OwnersEpoch++
	}
	next.HostsChanged = index
	return next, Outcome{}
}

// removeHost removes a host if the given incarnation is the registered one.
func removeHost(s *State, index uint64, c *RemoveHost) (*State, Outcome) {
	current, ok := s.Hosts[c.ID]
	if !ok || current.Incarnation != c.Incarnation {
		return nil, Outcome{}
	}
	next := copyOf(s)
	next.Hosts = maps.Clone(s.Hosts)
	delete(next.Hosts, c.ID)
	if current.Entry {
		next.EntryRemoved = index
	}
	if current.Control {
		next.OwnersEpoch++
	}
	next.HostsChanged = index
	return next, Outcome{}
}
