package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/result"
)

// registerHost adds a host or replaces its data. The registered incarnation may
// register again and keeps its Registered revision; an older one is refused. A control host
// that joins a fleet with owners of quotas counts as silent at first.
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
	if current.Absent {
		current.Absent = false
		if h == current {
			return next, Outcome{} // no process was added, removed or replaced
		}
	}
	if current.Entry && current.Incarnation != h.Incarnation {
		next.EntryRemoved = index
	}
	if h.Control && !current.Control && s.Catalog.Stamp.Number > 0 && len(s.QuotaOwners()) > 0 {
		next.SilentOwners = append(slices.Clone(s.SilentOwners), h.ID)
		slices.Sort(next.SilentOwners)
	}
	next.HostsChanged = index
	next.countOwnersChange(s)
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
	next.SilentOwners = slices.DeleteFunc(slices.Clone(s.SilentOwners), func(id string) bool { return id == c.ID })
	if current.Entry {
		next.EntryRemoved = index
	}
	next.HostsChanged = index
	next.countOwnersChange(s)
	return next, Outcome{}
}

// markAbsent sets Absent of the registered processes with the given incarnations.
func markAbsent(s *State, processes map[string]uint64) (*State, Outcome) {
	hosts := maps.Clone(s.Hosts)
	changed := false
	for id, incarnation := range processes {
		host, ok := hosts[id]
		if !ok || host.Incarnation != incarnation || host.Absent {
			continue
		}
		host.Absent, changed = true, true
		hosts[id] = host
	}
	if !changed {
		return nil, Outcome{}
	}
	next := copyOf(s)
	next.Hosts = hosts
	return next, Outcome{}
}

// setSilentOwners replaces the control hosts that own no quotas. Hosts that are not
// registered as control hosts are left out.
func setSilentOwners(s *State, hosts []string) (*State, Outcome) {
	silent := slices.DeleteFunc(slices.Clone(hosts), func(id string) bool { return !s.Hosts[id].Control })
	slices.Sort(silent)
	silent = slices.Compact(silent)
	if slices.Equal(silent, s.SilentOwners) {
		return nil, Outcome{}
	}
	next := copyOf(s)
	next.SilentOwners = silent
	next.countOwnersChange(s)
	return next, Outcome{}
}

// QuotaOwners returns the hosts from which the owners of quotas are chosen, in sorted order:
// the control hosts that are not silent.
func (s *State) QuotaOwners() []string {
	var owners []string
	for id, host := range s.Hosts {
		if host.Control && !slices.Contains(s.SilentOwners, id) {
			owners = append(owners, id)
		}
	}
	slices.Sort(owners)
	return owners
}

// countOwnersChange increments OwnersEpoch if the owners of quotas differ from those of the
// former state.
func (s *State) countOwnersChange(former *State) {
	if !slices.Equal(s.QuotaOwners(), former.QuotaOwners()) {
		s.OwnersEpoch++
	}
}
