package entry

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// serve runs one unit and answers it.
func (s *session) serve(u *unit) error {
	started := time.Now()
	p := u.purpose()
	switch {
	case s.failed:
		return s.answerFailed(u, p)
	case p.kind == kindUnsupported:
		return s.refuse(result.New(result.UnsupportedFeature, "%s", p.why), u.sync)
	case s.lease == nil && !u.simple && u.onlyCloses():
		return s.answerLocal(u)
	case p.own:
		return s.answerLocal(u)
	case u.simple && p.kind == kindEmpty:
		return s.answerLocal(u)
	}
	if err := s.checkOpen(u, p); err != nil {
		return s.refuse(err, u.sync)
	}
	timing := &timing{started: started}
	err := s.execute(u, p, timing)
	s.srv.metrics.observe(s.who.workspace, s.class(), timing)
	return err
}

// checkOpen refuses what could lift the read-only setting of an open session.
func (s *session) checkOpen(u *unit, p purpose) error {
	if !s.who.open {
		return nil
	}
	if p.kind == kindSet || p.dirty || u.mentions("read write") || u.mentions("read_only") {
		return result.New(result.NotAllowed, "open workspaces are read-only")
	}
	return nil
}

func (u *unit) mentions(pattern string) bool {
	if u.simple {
		return containsFold(u.text, pattern)
	}
	return slices.ContainsFunc(u.ops, func(o op) bool {
		return o.stmt != nil && containsFold(o.stmt.query, pattern)
	})
}

// class is the service class in force: the one asked for, unless the
// workspace's class has less precedence.
func (s *session) class() note.Class {
	top := note.ClassBulk
	if state := s.srv.opts.View.Current().State; state != nil {
		if c := state.Catalog.Workspaces[s.who.workspace].Class; c != "" {
			top = c
		}
	}
	if classRank(s.param.class) > classRank(top) {
		return s.param.class
	}
	return top
}

func (s *session) admission(ctx context.Context, endpoint string) gate.SlotRequest {
	a := gate.SlotRequest{
		Endpoint: endpoint, Service: s.who.service, Workspace: s.who.workspace,
		Class: s.class(), Weight: 1,
	}
	a.Deadline, _ = ctx.Deadline()
	if state := s.srv.opts.View.Current().State; state != nil {
		if w := state.Catalog.Workspaces[s.who.workspace].Weight; w > 0 {
			a.Weight = w
		}
	}
	return a
}

// deadline is the time that a request may wait before it is sent.
func (s *session) deadline() time.Duration {
	if s.param.deadline > 0 {
		return s.param.deadline
	}
	return time.Duration(s.srv.opts.Settings.Entry.DefaultDeadline)
}

// execute sends the unit to an endpoint, another one when it provably has not
// run, and answers it.
func (s *session) execute(u *unit, p purpose, timing *timing) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline())
	defer cancel()
	s.waiting(cancel)
	defer s.waiting(nil)
	if p.executes {
		if err := s.srv.limiter.Acquire(ctx, s.who.workspace); err != nil {
			return s.refuse(err, u.sync)
		}
	}
	if s.lease != nil {
		return s.continueOn(u, p, timing)
	}
	m, err := s.takeMarker(u, p)
	if err != nil {
		return s.refuse(err, u.sync)
	}
	need := s.need(p)
	if m != nil {
		need = Need{Service: s.who.service}
	}
	for first := true; ; first = false {
		if err := s.guard(); err != nil {
			return s.refuse(err, u.sync)
		}
		if err := s.require(ctx, &need, p); err != nil {
			return s.refuse(err, u.sync)
		}
		l, err := s.place(ctx, need)
		if err != nil {
			return s.refuse(err, u.sync)
		}
		l.readOnly = s.readOnly() || p.kind == kindBeginReadOnly
		s.lease = l
		if first {
			s.srv.firstAttempt(s.who.workspace, l.endpoint)
		}
		again, err := s.send(ctx, u, p, timing, m)
		if err != nil || again == doneHere {
			return err
		}
		if again == retryPrimary {
			need = Need{Service: s.who.service}
			continue
		}
		need.Exclude = append(need.Exclude, l.endpoint)
		if pause(ctx, retryDelay) != nil {
			return s.refuse(result.New(result.NoEndpoint, "endpoint %s does not answer", l.endpoint), u.sync)
		}
	}
}

// continueOn sends the unit on the lease of the transaction in progress.
func (s *session) continueOn(u *unit, p purpose, timing *timing) error {
	v := s.srv.opts.View.Current()
	switch err := s.who.check(v); {
	case err != nil:
		return err
	case !v.Valid():
		return s.refuse(result.New(result.NoConfigLease, "the configuration lease ended; the transaction is rolled back"), u.sync)
	case s.lease.primary && !termHolds(v, s.lease):
		return s.refuse(result.New(result.EndpointLost, "endpoint %s is not the primary any more", s.lease.endpoint), u.sync)
	}
	_, err := s.sendUnit(u, p, timing, nil)
	return err
}

// waiting makes the wait of a request known to cancel requests.
func (s *session) waiting(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = stop
}

// need describes the endpoint for a unit outside a transaction.
func (s *session) need(p purpose) Need {
	need := Need{Service: s.who.service}
	switch p.kind {
	case kindRead, kindBeginReadOnly, kindSet:
		need.ReadOnly = true
	default:
		need.ReadOnly = s.readOnly()
	}
	need.MaxStaleness = s.param.maxStaleness
	return need
}

// require sets the position that a read must see. It waits until ctx ends while
// the position cannot be known, as during a failover.
func (s *session) require(ctx context.Context, need *Need, p purpose) error {
	if !need.ReadOnly || need.MaxStaleness > 0 || p.kind == kindSet {
		return nil
	}
	for {
		min, err := s.srv.positions.Required(ctx, s.who.service, s.who.workspace)
		switch {
		case err == nil:
			need.Min = min
			return nil
		case result.CodeOf(err) == 0:
			return result.New(result.NoEndpoint, "position of the workspace: %v", err)
		case !waitable(err) || pause(ctx, retryDelay) != nil:
			return err
		}
		if err := s.guard(); err != nil {
			return err
		}
	}
}

// answerFailed answers a unit after the entry rolled the transaction back.
func (s *session) answerFailed(u *unit, p purpose) error {
	if p.kind == kindRollback || p.kind == kindCommit {
		s.failed = false
		if u.simple {
			if err := s.conn.Queue(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}); err != nil {
				return err
			}
			return s.ready(txIdle)
		}
		return s.answerOps(u, func(*statement) error {
			return s.conn.Queue(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		})
	}
	if len(u.ops) == 0 && !u.simple {
		return s.ready(txFailed)
	}
	msg := &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}
	if err := s.conn.Queue(msg); err != nil {
		return err
	}
	if !u.sync {
		s.skip = true
		return s.conn.Flush()
	}
	return s.ready(txFailed)
}

// firstAttempt counts a request towards the retries that it earns.
func (s *Server) firstAttempt(workspace, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets.RecordFirstAttempt(time.Now(), workspace, endpoint)
}

// mayRetry takes a retry of a request that failed on the endpoint.
func (s *Server) mayRetry(workspace, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgets.Allow(time.Now(), workspace, endpoint)
}
