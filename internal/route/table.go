package route

import (
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Table routes the requests of one service. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	rand      Rand
	view      View
	endpoints map[string]*endpoint
	// members holds the endpoints in the order of the view.
	members []*endpoint
	history history
	hasView bool
}

// NewTable returns a Table without endpoints. SetView adds them.
func NewTable(cfg Config, rand Rand) *Table {
	return &Table{cfg: cfg, rand: rand, endpoints: make(map[string]*endpoint)}
}

// SetView replaces the agreed state of the group. It keeps the measurements of endpoints
// that remain members in the same life of the service, and clears the history of positions when the
// term, the primary or its activity changes.
func (t *Table) SetView(now time.Time, v View) {
	if v.Life != t.view.Life {
		clear(t.endpoints)
	}
	if v.Life != t.view.Life || v.Term != t.view.Term || v.Primary != t.view.Primary || v.Active != t.view.Active {
		t.history.clear()
	}
	first := !t.hasView
	t.view, t.hasView = v, true
	t.members = t.members[:0]
	kept := make(map[string]*endpoint, len(v.Members))
	for _, m := range v.Members {
		e := t.endpoints[m.Endpoint]
		if e == nil {
			e = &endpoint{usable: first}
		}
		e.member = m
		e.updateUsable(now, t.cfg)
		kept[m.Endpoint] = e
		t.members = append(t.members, e)
	}
	t.endpoints = kept
}

// Observe records a status that arrived at now. It ignores statuses of unknown endpoints. A
// position on another timeline does not count for freshness.
func (t *Table) Observe(now time.Time, s Status) {
	e := t.endpoints[s.Endpoint]
	if e == nil {
		return
	}
	e.status, e.statusAt = s, now
	e.updateUsable(now, t.cfg)
	switch {
	case s.Failed || s.Timeline != t.view.Timeline:
	case s.InRecovery:
		if at, ok := t.history.caughtUpAt(s.LSN); ok && at.After(e.freshAt) {
			e.freshAt = at
		}
	case s.Endpoint == t.view.Primary && t.view.Active:
		t.history.add(s.QueriedAt, s.LSN)
	}
}

// Begin counts a request that starts on an endpoint.
func (t *Table) Begin(endpoint string) {
	if e := t.endpoints[endpoint]; e != nil {
		e.inflight++
	}
}

// End records the outcome of a request. began is false for a request that failed
// before Begin was called for it.
func (t *Table) End(now time.Time, r Report, began bool) {
	e := t.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	if began {
		e.inflight = max(e.inflight-1, 0)
	}
	if r.Failed {
		e.recordFailure(now, t.cfg, r.Endpoint != t.view.Primary && t.mayEject(now))
		return
	}
	e.recordSuccess(now, t.cfg)
	e.recordLatency(now, r.Latency, t.cfg)
}

// mayEject reports whether at least half of the members would remain after one more
// ejection.
func (t *Table) mayEject(now time.Time) bool {
	ejected := 0
	for _, e := range t.members {
		if e.isEjected(now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(t.members)
}

// Pick returns the endpoint for a request, or a result.Error with code
// NoPrimary or NoEndpoint.
func (t *Table) Pick(now time.Time, need Need) (string, error) {
	if t.view.Leaving {
		return "", result.New(unavailableCode(need), "service %s is leaving and gets no new work", t.view.Service)
	}
	if p := need.MinPosition; p.Life > t.view.Life || p.Life == t.view.Life && p.Term > t.view.Term {
		return "", result.New(unavailableCode(need), "service %s: term %d of life %d is not known on this host yet", t.view.Service, p.Term, p.Life)
	}
	if !need.ReadOnly {
		return t.primary(need)
	}
	if e := t.pickReplica(now, need); e != nil {
		return e.member.Endpoint, nil
	}
	if !slices.Contains(need.Exclude, t.view.Primary) {
		if id, err := t.primary(need); err == nil {
			return id, nil
		}
	}
	return "", result.New(result.NoEndpoint, "service %s: no replica is fresh enough and the primary cannot be used", t.view.Service)
}

// unavailableCode returns the result code for a request that no endpoint can serve.
func unavailableCode(need Need) result.Code {
	if need.ReadOnly {
		return result.NoEndpoint
	}
	return result.NoPrimary
}

// primary returns the primary if it is active and gets new work.
func (t *Table) primary(need Need) (string, error) {
	e := t.endpoints[t.view.Primary]
	switch {
	case !t.view.Active || e == nil:
		return "", result.New(unavailableCode(need), "service %s has no primary now: %s", t.view.Service, t.view.Reason)
	case e.member.OutOfUse:
		return "", result.New(unavailableCode(need), "primary %s of service %s is out of use; a switchover is due", t.view.Primary, t.view.Service)
	}
	return t.view.Primary, nil
}
