package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	pos "github.com/galenabridge/galenabridge/internal/session"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Peers asks other entry hosts.
type Peers interface {
	// Gather returns the positions that a host has acknowledged in a service,
	// read after the call began.
	Gather(ctx context.Context, host, service string) (PositionTable, error)
}

// PositionTable is a host's answer to Gather.
type PositionTable struct {
	// Incarnation is that of the process that answered.
	Incarnation uint64    `cbor:"1,keyasint"`
	Table       pos.Table `cbor:"2,keyasint"`
}

// SharedPositions is a Positions that gathers from all entry hosts. It is also
// an Observer of the endpoints' states.
type SharedPositions struct {
	view  view.Source
	self  string
	peers Peers
	// current reads the position of an endpoint that is a primary.
	current func(ctx context.Context, endpoint string) (pgback.Status, error)

	// gatherTimeout replaces the default when it is set.
	gatherTimeout time.Duration

	lastID atomic.Uint64

	mu       sync.Mutex
	ctx      context.Context
	ended    bool
	running  sync.WaitGroup
	services map[string]*positionTask
}

func newSharedPositions(src view.Source, self string, peers Peers, current func(context.Context, string) (pgback.Status, error)) *SharedPositions {
	return &SharedPositions{
		view: src, self: self, peers: peers, current: current,
		services: make(map[string]*positionTask),
	}
}

// run lets the tasks of the services work until ctx ends.
func (p *SharedPositions) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, t := range p.services {
		p.start(t)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.running.Wait()
}

// start runs a task. The caller holds the lock.
func (p *SharedPositions) start(t *positionTask) {
	if p.ended {
		return
	}
	ctx := p.ctx
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		t.run(ctx)
	}()
}

// task returns the task of a service.
func (p *SharedPositions) task(service string) *positionTask {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.services[service]
	if !ok {
		t = newPositionTask(p, service)
		p.services[service] = t
		if p.ctx != nil {
			p.start(t)
		}
	}
	return t
}

// Required implements Positions.
func (p *SharedPositions) Required(ctx context.Context, service, workspace string) (Position, error) {
	t := p.task(service)
	read := readMessage{
		read:  pos.Read{ID: p.lastID.Add(1), Workspace: workspace},
		reply: make(chan readResult, 1),
	}
	if err := t.post(ctx, read); err != nil {
		return Position{}, result.New(result.DeadlineInQueue, "waiting for the position of the workspace")
	}
	select {
	case r := <-read.reply:
		return Position(r.position), r.err
	case <-ctx.Done():
		_ = t.post(context.Background(), eventMessage{pos.Cancel{ID: read.read.ID}})
		return Position{}, result.New(result.DeadlineInQueue, "waiting for the position of the workspace")
	}
}

// RecordAcked implements Positions. The position is known to later answers to Gather
// once it returns.
func (p *SharedPositions) RecordAcked(service, workspace string, position Position) {
	event := pos.Acked{Workspace: workspace, Position: pos.Position(position)}
	_ = p.task(service).post(context.Background(), eventMessage{event}) // fails only at the end of the server
}

// Observe implements Observer.
func (p *SharedPositions) Observe(service string, s pgback.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), observeTimeout)
	defer cancel()
	_ = p.task(service).post(ctx, statusMessage{s}) // a later status makes up for it
}

// observeTimeout bounds how long a status waits for the service's task.
const observeTimeout = 100 * time.Millisecond

// Snapshot returns this host's table of a service.
func (p *SharedPositions) Snapshot(ctx context.Context, service string) (pos.Table, error) {
	m := snapshotMessage{reply: make(chan pos.Table, 1)}
	if err := p.task(service).post(ctx, m); err != nil {
		return pos.Table{}, err
	}
	select {
	case table := <-m.reply:
		return table, nil
	case <-ctx.Done():
		return pos.Table{}, ctx.Err()
	}
}
