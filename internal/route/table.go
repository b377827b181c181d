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
	known   bool
}

// NewTable returns a Table that knows no endpoint yet.
func NewTable(cfg Config, rand Rand) *Table {
	return &Table{cfg: cfg, rand: rand, endpoints: make(map[string]*endpoint)}
}

// SetView replaces the agreed state of the group.
func (t *Table) SetView(now time.Time, v View) {
	if v.Term != t.view.Term || v.Primary != t.view.Primary || v.Active != t.view.Active {
		t.history.clear()
	}
	first := !t.known
	t.view, t.known = v, true
	t.members = t.members[:0]
	kept := make(map[string]*endpoint, len(v.Members))
	for _, m := range v.Members {
		e := t.endpoints[m.Endpoint]
		if e == nil {
			e = &endpoint{usable: first}
		}
		e.member = m
		e.review(now, t.cfg)
		kept[m.Endpoint] = e
		t.members = append(t.members, e)
	}
	t.endpoints = kept
}

// Observe takes in a status. Statuses of unknown endpoints are ignored.
func (t *Table) Observe(now time.Time, s Status) {
	e := t.endpoints[s.Endpoint]
	if e == nil {
		return
	}
	e.status, e.seen = s, now
	e.review(now, t.cfg)
	switch {
	case s.Failed || s.Timeline != t.view.Timeline:
	case s.InRecovery:
		if at, ok := t.history.reached(s.LSN); ok && at.After(e.freshAt) {
			e.freshAt = at
		}
	case s.Endpoint == t.view.Primary && t.view.Active:
		t.history.add(s.Asked, s.LSN)
	}
}

// Begin counts a request that starts on an endpoint.
func (t *Table) Begin(endpoint string) {
	if e := t.endpoints[endpoint]; e != nil {
		e.running++
	}
}

// End counts the end of a request. Requests that failed before they began may
// be reported as well.
func (t *Table) End(now time.Time, r Report, began bool) {
	e := t.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	if began {
		e.running = max(e.running-1, 0)
	}
	if r.Failed {
		e.fail(now, t.cfg, r.Endpoint != t.view.Primary && t.mayEject(now))
		return
	}
	e.succeed(now, t.cfg)
	e.measure(now, r.Latency, t.cfg)
}

// mayEject reports whether at least half of the members would stay in use.
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
		return "", result.New(noneCode(need), "service %s is leaving and gets no new work", t.view.Service)
	}
	if need.Min.Term > t.view.Term {
		return "", result.New(noneCode(need), "service %s: term %d is not known here yet", t.view.Service, need.Min.Term)
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

func noneCode(need Need) result.Code {
	if need.ReadOnly {
		return result.NoEndpoint
	}
	return result.NoPrimary
}

// primary returns the primary when it may be given work.
func (t *Table) primary(need Need) (string, error) {
	e := t.endpoints[t.view.Primary]
	switch {
	case !t.view.Active || e == nil:
		return "", result.New(noneCode(need), "service %s has no primary now: %s", t.view.Service, t.view.Reason)
	case e.member.Out:
		return "", result.New(noneCode(need), "primary %s of service %s is out of use; a switchover is due", t.view.Primary, t.view.Service)
	}
	return t.view.Primary, nil
}
