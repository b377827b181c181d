package core

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Forwarder runs statements at other hosts of the fleet, so that those of a workspace on a
// service use the connections, the rate and the positions of few hosts. It is safe for
// concurrent use.
type Forwarder interface {
	// Route returns the hosts that should run a workspace's statements on a service
	// rather than this host, in order of preference. If this host is unable to run any,
	// they include those that are less preferred than itself. Route leaves out hosts that
	// do not answer. Any host may run any statement, so hosts that differ in their choice
	// do no harm.
	Route(service, workspace string, unable bool) []string
	// Forward runs a statement at a host and returns its response. An error that matches
	// ErrNotRun means that the statement did not run; after any other error it may
	// have.
	Forward(ctx context.Context, host string, r RemoteRequest) (RemoteResponse, error)
	// EndTransaction rolls back the transaction that a session has at a host, without
	// waiting for it.
	EndTransaction(host string, session uint64)
}

// ErrNotRun is matched by an error of Forwarder.Forward if the statement did not run.
var ErrNotRun = errors.New("the statement did not run")

// answerMargin is added to the longest time that a host may take for a forwarded statement:
// its own deadlines end before the wait for its answer does.
const answerMargin = time.Second

// Values of the label "outcome" of forwarded statements.
const (
	forwardAnswered = "answered"
	forwardDeclined = "declined"
	forwardNotRun   = "not_run"
	forwardUnknown  = "unknown"
)

// forward offers a statement outside of a transaction, or the begin of one, to the hosts
// that should run it. It returns the reply of the first one that accepts, with its name. It
// reports false if none does, so that this host has to run the statement.
func (s *Session) forward(st Statement, a admission, writes bool) (reply Reply, host string, ok bool) {
	if s.srv.opts.Forwarder == nil || s.isRemote || !s.awaitFirstLease(a.deadline) {
		return Reply{}, "", false
	}
	hosts := s.srv.opts.Forwarder.Route(a.route.Service, s.workspace, !s.srv.opts.View.Current().Valid())
	if len(hosts) > 0 {
		if err := s.reserveCopies(st, forwardCopies); err != nil {
			return refuse(err), "", true
		}
	}
	for i, h := range slices.Concat(hosts, firstOf(hosts)) {
		if s.srv.pastAnswers() {
			return refuse(errStopping()), "", true
		}
		// The first host is asked again when all have declined: then it waits for what
		// the statement needs, instead of this host, which has no connections for it.
		reply, ok := s.forwardTo(h, st, a, writes, i < len(hosts))
		if ok {
			return reply, h, true
		}
		if !time.Now().Before(a.deadline) {
			break
		}
	}
	return Reply{}, "", false
}

// awaitFirstLease waits for the configuration lease of a process that has just started, and
// reports whether it has come. One that has lost its lease does not wait: the others have
// theirs. A new process is often one of a whole fleet that comes back; its statements would
// find no host that takes them, and have it connect to all of them before it is needed.
func (s *Session) awaitFirstLease(deadline time.Time) bool {
	if _, had := s.srv.opts.View.Current().LostFor(); had {
		return true
	}
	return s.awaitLease(deadline) == nil
}

func firstOf(hosts []string) []string { return hosts[:min(1, len(hosts))] }

// forwardTo offers a statement to one host. It reports false if the host did not run it, or
// if it only reads and got no answer while another host has time for it.
func (s *Session) forwardTo(host string, st Statement, a admission, writes, mayDecline bool) (Reply, bool) {
	request := s.remoteRequest(st, a.route, a.deadline)
	request.MayDecline = mayDecline
	response, err := s.callHost(host, request, a.route)
	switch {
	case err != nil && errors.Is(err, ErrNotRun), err == nil && response.Declined:
		return Reply{}, false
	case err == nil:
		return s.acceptResponse(host, a.route, response, writes), true
	case errors.Is(err, budget.ErrFull) && st.Kind != Begin && st.Kind != BeginReadOnly:
		return answerDropped(writes), true
	case st.Kind == Begin || st.Kind == BeginReadOnly:
		s.srv.opts.Forwarder.EndTransaction(host, s.id)
		return Reply{}, false
	case writes:
		return refuse(result.New(result.OutcomeUnknown, "host %s: %v", host, err)), true
	case time.Now().Before(a.deadline):
		return Reply{}, false
	}
	return refuse(result.New(result.StatementTimeout, "host %s did not answer in time", host)), true
}

// remoteRequest returns the request that runs a statement of the session at another host.
func (s *Session) remoteRequest(st Statement, route note.Route, deadline time.Time) RemoteRequest {
	r := RemoteRequest{
		Session: s.id, Database: s.database, Key: s.key, Statement: st, Values: s.values,
		Remaining:        max(time.Until(deadline), time.Millisecond),
		CommitsForgotten: s.commits.forgotten,
	}
	r.Commit, r.OtherCommits = s.commits.split(route.Service)
	if v := s.srv.opts.View.Current(); v.State != nil {
		r.Revision = v.State.Revision
	}
	r.Document = s.srv.knownDocument()
	if st.Kind == Execute {
		p := s.prepared[st.Name]
		r.Prepared = &PreparedStatement{Text: p.text, Writes: p.writes}
	}
	return r
}

// callHost runs a request at a host and counts the outcome.
func (s *Session) callHost(host string, r RemoteRequest, route note.Route) (RemoteResponse, error) {
	timeout := r.Remaining + time.Duration(route.Timeout)*time.Millisecond + answerMargin
	ctx, cancel := context.WithTimeout(s.srv.answering, timeout)
	defer cancel()
	response, err := s.srv.opts.Forwarder.Forward(ctx, host, r)
	s.srv.metrics.forwarded.WithLabelValues(forwardOutcome(response, err)).Inc()
	return response, err
}

func forwardOutcome(response RemoteResponse, err error) string {
	switch {
	case errors.Is(err, ErrNotRun):
		return forwardNotRun
	case err != nil:
		return forwardUnknown
	case response.Declined:
		return forwardDeclined
	}
	return forwardAnswered
}

// acceptResponse takes over what another host reported about the session, and returns the
// reply for the caller. Rows for which there is no memory are dropped.
func (s *Session) acceptResponse(host string, route note.Route, r RemoteResponse, writes bool) Reply {
	s.srv.observeDocument(r.Document)
	s.acceptCommit(route, r)
	s.timings.add(host, r.Timings)
	size := int64(0)
	for _, row := range r.Rows {
		size += int64(len(row))
	}
	if err := s.account.Reserve(size); err != nil {
		return answerDropped(writes)
	}
	return Reply{Rows: r.Rows, Signature: r.Signature, Err: r.Err, State: r.State}
}

// acceptCommit records the commit in the response of another host. A host of an earlier build does not
// tell its service, which is then that of the route, and returns the commit that it was sent if there
// is no other.
func (s *Session) acceptCommit(route note.Route, r RemoteResponse) {
	if r.Commit == nil {
		return
	}
	commit := *r.Commit
	if commit.Log.Service == "" {
		commit.Log.Service = route.Service
		if v := s.srv.opts.View.Current(); v.State != nil {
			commit.Log.Life = v.State.Groups[route.Service].Life
		}
		if former := s.commits.byService[route.Service]; former.Log.Term == commit.Log.Term && former.Position == commit.Position {
			return
		}
	}
	s.commits.record(commit)
}
