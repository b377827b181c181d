package pgback

import (
	"context"
	"sync/atomic"
	"time"
)

// Intervals between two questions of a monitor. Role and timeline change far
// less often than positions; a primary is also asked on demand.
const (
	ReplicaPollInterval = 200 * time.Millisecond
	PrimaryPollInterval = 400 * time.Millisecond
	RolePollInterval    = time.Second
)

const (
	// queryTimeout bounds one question to an endpoint.
	queryTimeout = 2 * time.Second
)

// Monitor asks one endpoint for its state, in intervals and on demand, over a
// connection of its own. Questions that arrive while another is under way
// share the next one.
type Monitor struct {
	target  Target
	ask     chan question
	publish func(Status)
	last    atomic.Pointer[Status]
	conn    *Conn
	// nudge holds a token when a poll is wanted before the next tick.
	nudge chan struct{}
	// roleAsked is when role and timeline were last asked for.
	roleAsked time.Time
}

type question struct {
	ctx   context.Context
	reply chan Status
}

// NewMonitor returns a monitor that passes each status to publish. Run must be
// called for it to work.
func NewMonitor(target Target, publish func(Status)) *Monitor {
	return &Monitor{target: target, ask: make(chan question), publish: publish, nudge: make(chan struct{}, 1)}
}

// Last returns the last status, or nil when there is none yet.
func (m *Monitor) Last() *Status { return m.last.Load() }

// Positions returns a status whose positions were read after the call began.
// For a replica only LSN is set anew.
func (m *Monitor) Positions(ctx context.Context) (Status, error) {
	q := question{ctx: ctx, reply: make(chan Status, 1)}
	select {
	case m.ask <- q:
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

// Run polls and answers until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReplicaPollInterval)
	defer ticker.Stop()
	defer m.drop()
	m.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.poll(ctx)
		case <-m.nudge:
			m.pollEarly(ctx)
		case q := <-m.ask:
			m.answer(ctx, m.gather(q))
		}
	}
}

// gather takes all questions that wait already.
func (m *Monitor) gather(first question) []question {
	questions := []question{first}
	for {
		select {
		case q := <-m.ask:
			questions = append(questions, q)
		default:
			return questions
		}
	}
}

func (m *Monitor) answer(ctx context.Context, questions []question) {
	s := m.read(ctx, readPositionsOnly)
	for _, q := range questions {
		q.reply <- s
	}
}

// RequestPoll asks for a poll soon: somebody waits for a replica to catch up.
func (m *Monitor) RequestPoll() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// minPollInterval bounds the rate of polls that are asked for.
const minPollInterval = 10 * time.Millisecond

// pollEarly polls a replica between two ticks.
func (m *Monitor) pollEarly(ctx context.Context) {
	last := m.last.Load()
	if last != nil && last.InRecovery && time.Since(last.Asked) >= minPollInterval {
		m.poll(ctx)
	}
}

// poll asks for what is due: role, timeline and position, or the position alone.
func (m *Monitor) poll(ctx context.Context) {
	now := time.Now()
	last := m.last.Load()
	var s Status
	switch {
	case last == nil || last.Err != nil || now.Sub(m.roleAsked) >= RolePollInterval-ReplicaPollInterval/2:
		s = m.read(ctx, readStatus)
		m.roleAsked = now
	case last.InRecovery:
		s = m.read(ctx, last.replayedAnew)
	case now.Sub(last.Asked) >= PrimaryPollInterval-ReplicaPollInterval/2:
		s = m.read(ctx, last.positionsAnew)
	default:
		return
	}
	m.last.Store(&s)
	if m.publish != nil && ctx.Err() == nil {
		m.publish(s)
	}
}

func (m *Monitor) read(ctx context.Context, from func(context.Context, *Conn) (Status, error)) Status {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	asked := time.Now()
	s, err := m.readOn(ctx, from)
	if err != nil {
		m.drop()
		return Status{Endpoint: m.target.Endpoint, Asked: asked, Err: err}
	}
	return s
}

func (m *Monitor) readOn(ctx context.Context, from func(context.Context, *Conn) (Status, error)) (Status, error) {
	if m.conn == nil {
		conn, err := Dial(ctx, m.target)
		if err != nil {
			return Status{}, err
		}
		m.conn = conn
	}
	return from(ctx, m.conn)
}

func (m *Monitor) drop() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// readPositionsOnly asks for positions as a primary answers them.
func readPositionsOnly(ctx context.Context, c *Conn) (Status, error) {
	s := Status{Endpoint: c.Target.Endpoint, Asked: time.Now()}
	err := s.readPositions(ctx, c)
	return s, err
}
