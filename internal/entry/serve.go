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

// serve runs one unit, at the entry or on an endpoint, and answers it.
func (s *session) serve(u *unit) error {
	started := time.Now()
	uc := u.classify()
	switch {
	case s.transactionFailed:
		return s.answerFailedTransaction(u, uc)
	case uc.kind == kindUnsupported:
		return s.refuse(result.New(result.UnsupportedFeature, "%s", uc.feature), u.sync)
	case s.checkout == nil && !u.simple && u.onlyCloses():
		return s.answerLocal(u)
	case uc.local:
		return s.answerLocal(u)
	case u.simple && uc.kind == kindEmpty:
		return s.answerLocal(u)
	}
	if err := s.checkOpenWorkspace(u, uc); err != nil {
		return s.refuse(err, u.sync)
	}
	timing := &timing{started: started}
	err := s.execute(u, uc, timing)
	s.srv.metrics.observe(s.identity.workspace, s.class(), timing)
	return err
}

// checkOpenWorkspace refuses units that could undo the read-only setting of a session of an
// open workspace.
func (s *session) checkOpenWorkspace(u *unit, uc unitClass) error {
	if !s.identity.open {
		return nil
	}
	if uc.kind == kindSet || uc.dirty || u.contains("read write") || u.contains("read_only") {
		return result.New(result.NotAllowed, "open workspaces are read-only")
	}
	return nil
}

// contains reports whether a statement of the unit contains the lower-case pattern.
func (u *unit) contains(pattern string) bool {
	if u.simple {
		return containsFold(u.text, pattern)
	}
	return slices.ContainsFunc(u.ops, func(o op) bool {
		return o.stmt != nil && containsFold(o.stmt.query, pattern)
	})
}

// class returns the effective class: the requested one, but with no higher precedence than
// the workspace's class.
func (s *session) class() note.Class {
	workspaceClass := note.ClassBulk
	if state := s.srv.opts.View.Current().State; state != nil {
		if c := state.Catalog.Workspaces[s.identity.workspace].Class; c != "" {
			workspaceClass = c
		}
	}
	if classRank(s.params.class) > classRank(workspaceClass) {
		return s.params.class
	}
	return workspaceClass
}

// slotRequest returns the gate's request for a slot at the endpoint.
func (s *session) slotRequest(ctx context.Context, endpoint string) gate.SlotRequest {
	request := gate.SlotRequest{
		Endpoint: endpoint, Service: s.identity.service, Workspace: s.identity.workspace,
		Class: s.class(), Weight: 1,
	}
	request.Deadline, _ = ctx.Deadline()
	if state := s.srv.opts.View.Current().State; state != nil {
		if w := state.Catalog.Workspaces[s.identity.workspace].Weight; w > 0 {
			request.Weight = w
		}
	}
	return request
}

// deadline returns the longest wait of a request before it is sent. It also bounds the wait
// for the durability of its writes.
func (s *session) deadline() time.Duration {
	if s.params.deadline > 0 {
		return s.params.deadline
	}
	return time.Duration(s.srv.opts.Settings.Entry.DefaultDeadline)
}

// execute sends the unit to an endpoint and answers it. Outside a transaction it is sent to
// another endpoint when that is safe, until the deadline.
func (s *session) execute(u *unit, uc unitClass, timing *timing) error {
	ctx, cancel := context.WithTimeout(s.srv.answering, s.deadline())
	defer cancel()
	s.setCancelWait(cancel)
	defer s.setCancelWait(nil)
	if uc.executes {
		if err := s.srv.limiter.Acquire(ctx, s.identity.workspace); err != nil {
			return s.refuse(err, u.sync)
		}
	}
	if s.checkout != nil {
		return s.continueTransaction(u, uc, timing)
	}
	m, err := s.takeMarker(u, uc)
	if err != nil {
		return s.refuse(err, u.sync)
	}
	need := s.need(uc)
	if m != nil {
		need = Need{Service: s.identity.service}
	}
	for first := true; ; first = false {
		if err := s.authorize(); err != nil {
			return s.refuse(err, u.sync)
		}
		if err := s.setRequiredPosition(ctx, &need, uc); err != nil {
			return s.refuse(err, u.sync)
		}
		co, err := s.acquire(ctx, need)
		if err != nil {
			return s.refuse(err, u.sync)
		}
		co.readOnly = s.readOnly() || uc.kind == kindBeginReadOnly
		s.checkout = co
		if first {
			s.srv.recordFirstAttempt(s.identity.workspace, co.endpoint)
		}
		outcome, err := s.send(ctx, u, uc, timing, m)
		if err != nil || outcome == outcomeAnswered {
			return err
		}
		if outcome == outcomeRetryPrimary {
			need = Need{Service: s.identity.service}
			continue
		}
		need.Exclude = append(need.Exclude, co.endpoint)
		if pause(ctx, retryDelay) != nil {
			return s.refuse(result.New(result.NoEndpoint, "endpoint %s does not respond", co.endpoint), u.sync)
		}
	}
}

// continueTransaction sends the unit on the checkout of the transaction in progress. Without
// a valid configuration lease, in another term, or once the failure domain of the endpoint is out
// of use, the transaction is rolled back.
func (s *session) continueTransaction(u *unit, uc unitClass, timing *timing) error {
	v := s.srv.opts.View.Current()
	switch err := s.identity.check(v); {
	case err != nil:
		return err
	case !v.Valid():
		return s.refuse(result.New(result.NoConfigLease, "the configuration lease ended; the transaction is rolled back"), u.sync)
	case v.State.DomainOut(s.checkout.domain):
		return s.refuse(result.New(result.TransactionAborted, "the failure domain of endpoint %s is out of use", s.checkout.endpoint), u.sync)
	case s.checkout.primary && !termHolds(v, s.checkout):
		return s.refuse(result.New(result.EndpointLost, "endpoint %s is no longer the primary", s.checkout.endpoint), u.sync)
	}
	_, err := s.sendUnit(u, uc, timing, nil)
	return err
}

// setCancelWait sets the function with which a cancel request ends the wait of the request
// in progress; nil when none waits.
func (s *session) setCancelWait(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWait = stop
}

// need returns the endpoint requirements of a unit outside a transaction.
func (s *session) need(uc unitClass) Need {
	need := Need{Service: s.identity.service}
	switch uc.kind {
	case kindRead, kindBeginReadOnly, kindSet:
		need.ReadOnly = true
	default:
		need.ReadOnly = s.readOnly()
	}
	need.MaxStaleness = s.params.maxStaleness
	return need
}

// setRequiredPosition sets the position that a read must include. While the position cannot
// be determined, for example during a failover, it retries until ctx ends.
func (s *session) setRequiredPosition(ctx context.Context, need *Need, uc unitClass) error {
	if !need.ReadOnly || need.MaxStaleness > 0 || uc.kind == kindSet {
		return nil
	}
	for {
		min, err := s.srv.positions.Required(ctx, s.identity.service, s.identity.workspace)
		switch {
		case err == nil:
			need.MinPosition = min
			return nil
		case result.CodeOf(err) == 0:
			return result.New(result.NoEndpoint, "position of the workspace: %v", err)
		case !isTransient(err) || pause(ctx, retryDelay) != nil:
			return err
		}
		if err := s.authorize(); err != nil {
			return err
		}
	}
}

// answerFailedTransaction answers a unit after the entry has rolled the transaction back.
// Only the end of the transaction is accepted.
func (s *session) answerFailedTransaction(u *unit, uc unitClass) error {
	if uc.kind == kindRollback || uc.kind == kindCommit {
		s.transactionFailed = false
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
		s.skipToSync = true
		return s.conn.Flush()
	}
	return s.ready(txFailed)
}

// recordFirstAttempt credits a request to the retry budgets.
func (s *Server) recordFirstAttempt(workspace, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets.RecordFirstAttempt(time.Now(), workspace, endpoint)
}

// allowRetry takes a retry from the budgets for a request that failed on the endpoint. It
// reports false when they are spent.
func (s *Server) allowRetry(workspace, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgets.Allow(time.Now(), workspace, endpoint)
}
