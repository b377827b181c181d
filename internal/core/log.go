package core

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
)

// Log identifies the log that the primary of a service writes in one term of the group. A service
// that was withdrawn and has returned has another log, in a new life with terms of its own. Positions
// compare within one log only.
type Log struct {
	Service string
	// Life is agreed.Group.Life, Term is agreed.Group.Term.
	Life, Term uint64
}

// logOf returns the current log of a service. It is one of term zero if there is no such service.
func logOf(state *agreed.State, service string) Log {
	g := state.Groups[service]
	return Log{Service: service, Life: g.Life, Term: g.Term}
}

// precedes reports whether l is the log of an earlier term in the life of o.
func (l Log) precedes(o Log) bool {
	return l.Service == o.Service && l.Life == o.Life && l.Term < o.Term
}

// LogPosition is a position together with the log that it was observed in. The zero value is
// the start of every log.
type LogPosition struct {
	log      Log
	position Position
}

// in returns the position if it belongs to the log, and false otherwise. The zero value belongs to
// every log.
func (p LogPosition) in(log Log) (Position, bool) {
	if p != (LogPosition{}) && p.log != log {
		return Position{}, false
	}
	return p.position, true
}

// requiredAt returns the position that a replica must have applied for a read that requires p, when
// the replica was chosen under a log. It returns false if p says nothing about that log. A
// requirement remains sufficient when the term changes before the read is sent: it covers what had
// been acknowledged when the read began, and the new term holds what was kept of it.
func (p LogPosition) requiredAt(log Log) (Position, bool) {
	if p.log.precedes(log) {
		return p.position, true
	}
	return p.in(log)
}

// laterOf returns the greater of two positions in the log of p.
func (p LogPosition) laterOf(position Position) LogPosition {
	p.position = later(p.position, position)
	return p
}

// maxCommittedServices bounds the services for which a session keeps its last commit. A route leads to
// one service at a time, so that a session with more has followed its route through as many moves.
const maxCommittedServices = 16

// SessionCommit is the last acknowledged commit of a session in one service.
type SessionCommit struct {
	Log Log
	// Position is zero if the endpoint did not report any: it is then some position in the log.
	Position Position
	// AckedAt is when the session received the acknowledgement, or later, on the scale of package
	// clock.
	AckedAt time.Time
}

// sessionCommits holds the last acknowledged commit of a session in each service that it has written
// to, also while its route leads elsewhere. The zero value is ready for use.
type sessionCommits struct {
	byService map[string]SessionCommit
	// forgotten: more than maxCommittedServices services were written to. Those without an entry may
	// be among them.
	forgotten bool
	// untold is the commit of a request whose sender does not tell the service (a host of an
	// earlier build). It counts for the service on which this host runs the request. Only its
	// term and position are set.
	untold *SessionCommit
}

// record replaces the commit in the service, unless it is an earlier one in the same log.
func (c *sessionCommits) record(commit SessionCommit) {
	former, ok := c.byService[commit.Log.Service]
	if ok && former.Log == commit.Log && commit.Position != (Position{}) && commit.Position.Compare(former.Position) < 0 {
		return
	}
	if !ok && len(c.byService) >= maxCommittedServices {
		c.forgetOldest()
	}
	if c.byService == nil {
		c.byService = make(map[string]SessionCommit, 1)
	}
	c.byService[commit.Log.Service] = commit
	c.untold = nil
}

func (c *sessionCommits) forgetOldest() {
	oldest := ""
	for service, commit := range c.byService {
		if oldest == "" || commit.AckedAt.Before(c.byService[oldest].AckedAt) {
			oldest = service
		}
	}
	delete(c.byService, oldest)
	c.forgotten = true
}

// in returns the last commit in the service of the log. The second result is false if there was none,
// the third if there may have been one that is not known any more.
func (c *sessionCommits) in(log Log) (commit SessionCommit, exists, known bool) {
	if commit, ok := c.byService[log.Service]; ok {
		return commit, true, true
	}
	if c.untold != nil {
		commit := *c.untold
		commit.Log.Service, commit.Log.Life = log.Service, log.Life
		return commit, true, true
	}
	return SessionCommit{}, false, !c.forgotten
}

// required returns the position that a read of the session in a log must include. A commit that was
// acknowledged in another term or life may have been rolled back or have another number there, and one
// without a position has an unknown number; a position of the primary of this log, observed since, then
// replaces it. It returns false while there is none.
func (c *sessionCommits) required(log Log, samples *freshness) (Position, bool) {
	commit, exists, known := c.in(log)
	switch {
	case !known:
		return Position{}, false
	case !exists:
		return Position{}, true
	case commit.Log == log && commit.Position != (Position{}):
		return commit.Position, true
	}
	p, ok := samples.since(log, commit.AckedAt)
	if ok {
		c.record(SessionCommit{Log: log, Position: p.position, AckedAt: clock.Now()})
	}
	return p.position, ok
}

// split returns the commit in a service, or nil, and those in the others.
func (c *sessionCommits) split(service string) (own *SessionCommit, others []SessionCommit) {
	for name, commit := range c.byService {
		if name == service {
			own = &commit
		} else {
			others = append(others, commit)
		}
	}
	return own, others
}

// receive replaces the commits by those in a request of another host.
func (c *sessionCommits) receive(r RemoteRequest) {
	*c = sessionCommits{forgotten: r.CommitsForgotten}
	if r.Commit == nil && len(r.OtherCommits) == 0 {
		return
	}
	c.byService = make(map[string]SessionCommit, len(r.OtherCommits)+1)
	for _, commit := range r.OtherCommits {
		c.byService[commit.Log.Service] = commit
	}
	switch {
	case r.Commit == nil:
	case r.Commit.Log.Service == "":
		c.untold = r.Commit
	default:
		c.byService[r.Commit.Log.Service] = *r.Commit
	}
}

// changedBy returns the commit that the statement of a request has changed, nil if there is none. A
// sender that does not tell services gets back its commit, as it takes over what a response has.
func (c *sessionCommits) changedBy(r RemoteRequest) *SessionCommit {
	if c.untold != nil {
		return c.untold
	}
	var former sessionCommits
	former.receive(r)
	for service, commit := range c.byService {
		before, ok := former.byService[service]
		if !ok || before.Log != commit.Log || before.Position != commit.Position {
			return &commit
		}
	}
	return nil
}
