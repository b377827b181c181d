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

// Peers calls the other entry hosts.
type Peers interface {
	// Gather returns the positions of the writes that a host has acknowledged in a service,
	// read after the call began.
	Gather(ctx context.Context, host, service string) (PositionTable, error)
}

// PositionTable is a host's answer to Gather.
type PositionTable struct {
	// Incarnation identifies the process that answered.
	Incarnation uint64    `cbor:"1,keyasint"`
	Table       pos.Table `cbor:"2,keyasint"`
}

// SharedPositions is a Positions that gathers the positions of all entry hosts. It is also
// an Observer of the endpoints' status. Each service has its own task, started on first use.
type SharedPositions struct {
	view view.Source
	// host is the ID of this host.
	host  string
	peers Peers
	// primaryStatus reads the position of an endpoint that is a primary.
	primaryStatus func(ctx context.Context, endpoint string) (pgback.Status, error)

	// gatherTimeout replaces the default when it is positive.
	gatherTimeout time.Duration

	lastID atomic.Uint64

	mu           sync.Mutex
	ctx          context.Context
	stopped      bool
	runningTasks sync.WaitGroup
	services     map[string]*positionTask
}

func newSharedPositions(src view.Source, host string, peers Peers, primaryStatus func(context.Context, string) (pgback.Status, error)) *SharedPositions {
	return &SharedPositions{
		view: src, host: host, peers: peers, primaryStatus: primaryStatus,
		services: make(map[string]*positionTask),
	}
}

// run starts the tasks of the services and waits until ctx ends and all have returned.
func (p *SharedPositions) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, t := range p.services {
		p.start(t)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.runningTasks.Wait()
}

// start starts a task unless the server has stopped. The caller holds mu.
func (p *SharedPositions) start(t *positionTask) {
	if p.stopped {
		return
	}
	ctx := p.ctx
	p.runningTasks.Add(1)
	go func() {
		defer p.runningTasks.Done()
		t.run(ctx)
	}()
}

// task returns the task of a service and creates it on first use.
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

// Required implements Positions. A read whose ctx ends is cancelled in the tracker.
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

// RecordAcked implements Positions. Every answer to Gather that begins after it has returned
// includes the position, because the task handles messages in order.
func (p *SharedPositions) RecordAcked(service, workspace string, position Position) {
	event := pos.Acked{Workspace: workspace, Position: pos.Position(position)}
	// post fails only after the server has stopped.
	_ = p.task(service).post(context.Background(), eventMessage{event})
}

// Observe implements Observer.
func (p *SharedPositions) Observe(service string, s pgback.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), observeTimeout)
	defer cancel()
	_ = p.task(service).post(ctx, statusMessage{s}) // the next status replaces a lost one
}

// observeTimeout bounds the wait of a status for the queue of the service's task.
const observeTimeout = 100 * time.Millisecond

// Snapshot returns this host's own table of acknowledged positions in a service.
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
