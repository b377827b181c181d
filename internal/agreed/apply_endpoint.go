package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// MaxTombstones is the maximum number of tombstones in the state. It takes days until
// that many endpoints have left, while a late announcement is late by seconds.
const MaxTombstones = 256

// CheckStale returns an outcome with code zero if an announcement of an endpoint is
// current. Otherwise it is a refusal: the endpoint's process has left, a later
// announcement or a newer process with the same identity is recorded, or a newer
// process has the same address.
func (s *State) CheckStale(e Endpoint) Outcome {
	if tombstone, ok := s.Retired[e.ID]; ok && e.StartedMS <= tombstone.StartedMS {
		return refuse(result.GroupConflict, "endpoint %q has left", e.ID)
	}
	if current, ok := s.Endpoints[e.ID]; ok && (e.StartedMS < current.StartedMS || e.StartedMS == current.StartedMS && e.Seq < current.Seq) {
		return refuse(result.GroupConflict, "endpoint %q has a later announcement", e.ID)
	}
	for id, other := range s.Endpoints {
		if id != e.ID && other.Addr == e.Addr && other.StartedMS > e.StartedMS {
			return refuse(result.GroupConflict, "the address of endpoint %q belongs to %q", e.ID, id)
		}
	}
	return Outcome{}
}

// HasEndpoint reports whether the state contains the endpoint as announced,
// regardless of the announcement's number.
func (s *State) HasEndpoint(e Endpoint) bool {
	current, ok := s.Endpoints[e.ID]
	return ok && current.sameExceptSeq(e)
}

// putEndpoint adds or changes an endpoint. A group gets no more members than its
// service in the catalog allows. Endpoints of older processes at the same address,
// or with the same identity in another service, are removed.
func putEndpoint(s *State, index uint64, e Endpoint) (*State, Outcome) {
	g, ok := s.Groups[e.Service]
	if !ok {
		return nil, refuse(result.UnknownService, "endpoint %q belongs to service %q, which is not in the catalog", e.ID, e.Service)
	}
	current, exists := s.Endpoints[e.ID]
	limit := s.Catalog.Services[e.Service].Endpoints
	switch {
	case e.ID == "" || e.Addr == "":
		return nil, refuse(result.GroupConflict, "an endpoint has an identity and an address")
	case s.HasEndpoint(e):
		return nil, Outcome{}
	case exists && current.Service != e.Service && e.StartedMS <= current.StartedMS:
		return nil, refuse(result.GroupConflict, "endpoint %q is a member of service %q", e.ID, current.Service)
	case !exists && limit != note.UnlimitedEndpoints && len(g.Members) >= limit:
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

// withoutEndpoints returns the state without the endpoints that match, or s itself
// if none does. A group that loses its active primary is sealed.
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

// retireEndpoint removes an endpoint and adds a tombstone for its process. It changes
// nothing if the endpoint is unknown or already has a newer process.
func retireEndpoint(s *State, index uint64, c *RetireEndpoint) (*State, Outcome) {
	current, exists := s.Endpoints[c.ID]
	startedMS := c.StartedMS
	if startedMS == 0 {
		startedMS = current.StartedMS
	}
	if !exists || current.StartedMS > startedMS {
		return nil, Outcome{}
	}
	next := copyOf(s.withoutEndpoints(index, func(e Endpoint) bool { return e.ID == c.ID }))
	next.Retired = addTombstone(s.Retired, c.ID, Tombstone{StartedMS: startedMS, At: index})
	return next, Outcome{}
}

// addTombstone returns a copy of all with one more entry. Beyond MaxTombstones it
// drops the oldest one.
func addTombstone(all map[string]Tombstone, id string, t Tombstone) map[string]Tombstone {
	next := maps.Clone(all)
	if next == nil {
		next = make(map[string]Tombstone)
	}
	next[id] = t
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
