package pgback

import (
	"context"
	"sync/atomic"
	"time"
)

// Poll intervals of a monitor. Role and timeline change far less often than
// positions. A primary is polled less often than a replica because it is also queried on
// demand.
const (
	ReplicaPollInterval = 200 * time.Millisecond
	PrimaryPollInterval = 400 * time.Millisecond
	RolePollInterval    = time.Second
)

const (
	// queryTimeout limits one status query, including a connect if needed.
	queryTimeout = 2 * time.Second
)

// Monitor queries the status of one endpoint, periodically and on demand, over a
// connection of its own. Requests that arrive while a query is running share the next
// query. Only Run uses the connection; the other methods are safe for concurrent use.
type Monitor struct {
	target   Target
	requests chan positionRequest
	publish  func(Status)
	last     atomic.Pointer[Status]
	conn     *Conn
	// pollRequests has a capacity of one and is full while an early poll is requested.
	pollRequests chan struct{}
	// roleQueriedAt is when role and timeline were last queried.
	roleQueriedAt time.Time
}

// positionRequest is a pending call of Positions.
type positionRequest struct {
	ctx   context.Context
	reply chan Status
}

// NewMonitor returns a monitor that passes the status of each poll to publish, which may be
// nil. It does not query the endpoint until Run is called.
func NewMonitor(target Target, publish func(Status)) *Monitor {
	return &Monitor{target: target, requests: make(chan positionRequest), publish: publish, pollRequests: make(chan struct{}, 1)}
}

// Last returns the status of the last poll, or nil before the first one.
func (m *Monitor) Last() *Status { return m.last.Load() }

// Positions returns a status of a primary whose positions were read after the call began.
// InRecovery and Timeline are not set. It does not update Last.
func (m *Monitor) Positions(ctx context.Context) (Status, error) {
	q := positionRequest{ctx: ctx, reply: make(chan Status, 1)}
	select {
	case m.requests <- q:
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
	select {
	case s := <-q.reply:
		return s, s.Err
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// Run polls the endpoint and serves calls of Positions until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReplicaPollInterval)
	defer ticker.Stop()
	defer m.closeConn()
	m.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.poll(ctx)
		case <-m.pollRequests:
			m.pollEarly(ctx)
		case q := <-m.requests:
			m.answerRequests(ctx, m.drainRequests(q))
		}
	}
}

// drainRequests returns first and all requests that are already pending.
func (m *Monitor) drainRequests(first positionRequest) []positionRequest {
	pending := []positionRequest{first}
	for {
		select {
		case q := <-m.requests:
			pending = append(pending, q)
		default:
			return pending
		}
	}
}

// answerRequests reads the positions once and replies to all requests.
func (m *Monitor) answerRequests(ctx context.Context, pending []positionRequest) {
	s := m.read(ctx, readPositionsOnly)
	for _, q := range pending {
		q.reply <- s
	}
}

// RequestPoll requests an early poll of a replica, for a caller that waits for it to catch
// up. It does not block.
func (m *Monitor) RequestPoll() {
	select {
	case m.pollRequests <- struct{}{}:
	default:
	}
}

// minPollInterval is the minimum interval of polls requested by RequestPoll.
const minPollInterval = 10 * time.Millisecond

// pollEarly polls a replica between two ticks. It ignores requests for a primary and within
// minPollInterval of the last poll.
func (m *Monitor) pollEarly(ctx context.Context) {
	last := m.last.Load()
	if last != nil && last.InRecovery && time.Since(last.QueriedAt) >= minPollInterval {
		m.poll(ctx)
	}
}

// poll queries role, timeline and position if RolePollInterval has passed or the last poll
// failed, otherwise the position if it is due. Half a tick of tolerance keeps a slightly
// early tick from skipping an interval.
func (m *Monitor) poll(ctx context.Context) {
	now := time.Now()
	last := m.last.Load()
	var s Status
	switch {
	case last == nil || last.Err != nil || now.Sub(m.roleQueriedAt) >= RolePollInterval-ReplicaPollInterval/2:
		s = m.read(ctx, readStatus)
		m.roleQueriedAt = now
	case last.InRecovery:
		s = m.read(ctx, last.refreshReplayed)
	case now.Sub(last.QueriedAt) >= PrimaryPollInterval-ReplicaPollInterval/2:
		s = m.read(ctx, last.refreshPositions)
	default:
		return
	}
	m.last.Store(&s)
	if m.publish != nil && ctx.Err() == nil {
		m.publish(s)
	}
}

// read runs a status query. On failure it closes the connection and returns a status with
// Err set.
func (m *Monitor) read(ctx context.Context, query func(context.Context, *Conn) (Status, error)) Status {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	queriedAt := time.Now()
	s, err := m.readOn(ctx, query)
	if err != nil {
		m.closeConn()
		return Status{Endpoint: m.target.Endpoint, QueriedAt: queriedAt, Err: err}
	}
	return s
}

func (m *Monitor) readOn(ctx context.Context, query func(context.Context, *Conn) (Status, error)) (Status, error) {
	if m.conn == nil {
		conn, err := Dial(ctx, m.target)
		if err != nil {
			return Status{}, err
		}
		m.conn = conn
	}
	return query(ctx, m.conn)
}

func (m *Monitor) closeConn() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// readPositionsOnly queries the positions of a primary.
func readPositionsOnly(ctx context.Context, c *Conn) (Status, error) {
	s := Status{Endpoint: c.Target.Endpoint, QueriedAt: time.Now()}
	err := s.readPositions(ctx, c)
	return s, err
}
