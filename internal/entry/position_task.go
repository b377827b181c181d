package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	pos "github.com/galenabridge/galenabridge/internal/session"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// positionQueueSize is the number of messages that can wait for a service's task.
	positionQueueSize = 256
	// gatherCallTimeout bounds one call to another host. It may exceed the timeout of the
	// round: a late answer still shows that the host is running.
	gatherCallTimeout = time.Second
)

// positionMessage is a message to the task of a service.
type positionMessage interface{ isPositionMessage() }

type readMessage struct {
	read  pos.Read
	reply chan readResult
}

type readResult struct {
	position pos.Position
	err      error
}

type eventMessage struct{ event pos.Event }

type statusMessage struct{ status pgback.Status }

type snapshotMessage struct{ reply chan pos.Table }

func (readMessage) isPositionMessage()     {}
func (eventMessage) isPositionMessage()    {}
func (statusMessage) isPositionMessage()   {}
func (snapshotMessage) isPositionMessage() {}

// errStopped is returned to requests that reach a task after the server has stopped.
var errStopped = errors.New("the server has stopped")

// positionTask runs the position tracker of one service. Only its goroutine accesses
// the fields after done; others send messages through post.
type positionTask struct {
	positions *SharedPositions
	service   string
	inbox     chan positionMessage
	done      chan struct{}

	tracker *pos.PositionTracker
	// reads holds the reply channels of the unresolved reads by id.
	reads map[uint64]chan readResult
	// statuses holds the last status of each endpoint.
	statuses map[string]pgback.Status
	// lastView identifies the last view passed to the tracker.
	lastView struct{ revision, settled uint64 }
	// lastActive is the life and term in which the group was last active, as a position in it, and
	// lifeRevision a revision in that life.
	lastActive   pos.Position
	lifeRevision uint64
	// lastReplayed is the last position reported to the tracker as replayed by all replicas.
	lastReplayed pos.Position
}

func newPositionTask(p *SharedPositions, service string) *positionTask {
	return &positionTask{
		positions: p, service: service,
		inbox:    make(chan positionMessage, positionQueueSize),
		done:     make(chan struct{}),
		tracker:  pos.NewPositionTracker(positionConfig(p.gatherTimeout)),
		reads:    make(map[uint64]chan readResult),
		statuses: make(map[string]pgback.Status),
	}
}

// positionConfig returns the configuration of the tracker. A round starts as soon as
// the previous one has ended: rounds are paced by their round-trip time, and reads that
// arrive during a round share the next one.
func positionConfig(gatherTimeout time.Duration) pos.Config {
	cfg := pos.DefaultConfig()
	cfg.MinRoundInterval = 0
	if gatherTimeout > 0 {
		cfg.GatherTimeout = gatherTimeout
	}
	return cfg
}

// post sends a message to the task. Messages are handled in order. It blocks while the
// queue is full, until ctx ends or the task has stopped.
func (t *positionTask) post(ctx context.Context, m positionMessage) error {
	select {
	case t.inbox <- m:
		return nil
	case <-t.done:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run handles messages until ctx ends, then fails all unresolved reads.
func (t *positionTask) run(ctx context.Context) {
	defer close(t.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case m := <-t.inbox:
			t.refresh(ctx)
			t.handle(ctx, m)
		case <-timer.C:
			t.step(ctx, pos.Tick{})
		case <-ctx.Done():
			t.failReads()
			return
		}
		if next, ok := t.tracker.NextDeadline(); ok {
			timer.Reset(time.Until(next))
		} else {
			timer.Stop()
		}
	}
}

func (t *positionTask) handle(ctx context.Context, m positionMessage) {
	switch m := m.(type) {
	case readMessage:
		t.reads[m.read.ID] = m.reply
		t.step(ctx, m.read)
	case eventMessage:
		if c, ok := m.event.(pos.Cancel); ok {
			delete(t.reads, c.ID)
		}
		t.step(ctx, m.event)
	case statusMessage:
		t.observe(ctx, m.status)
	case snapshotMessage:
		m.reply <- t.tracker.Snapshot()
	}
}

// refresh passes a changed view to the tracker.
func (t *positionTask) refresh(ctx context.Context) {
	v := t.positions.view.Current()
	if v.State == nil || t.lastView.revision == v.State.Revision && t.lastView.settled == v.Settled {
		return
	}
	t.lastView.revision, t.lastView.settled = v.State.Revision, v.Settled
	t.step(ctx, t.sessionView(v))
}

// sessionView converts the view for the tracker. While the group is not active, the term
// stays that of the last active one.
func (t *positionTask) sessionView(v view.View) pos.View {
	group := v.State.Groups[t.service]
	if group.Phase == agreed.PhaseActive {
		if group.Life != t.lastActive.Life {
			clear(t.statuses) // those of the endpoints before the service was withdrawn
			t.lifeRevision = v.State.Revision
		}
		t.lastActive = pos.Position{Life: group.Life, Term: group.Term}
	}
	out := pos.View{
		LastRemovalRevision: v.State.EntryRemoved, Settled: v.Settled,
		Life: t.lastActive.Life, Term: t.lastActive.Term, LifeRevision: t.lifeRevision,
	}
	for id, host := range v.State.Hosts {
		if host.Entry && id != t.positions.host {
			out.Peers = append(out.Peers, pos.Peer{Host: id, Incarnation: host.Incarnation})
		}
	}
	return out
}

// step passes an event to the tracker and carries out the effects.
func (t *positionTask) step(ctx context.Context, event pos.Event) {
	for _, effect := range t.tracker.Step(time.Now(), event) {
		switch effect := effect.(type) {
		case pos.Resolve:
			t.resolve(effect.ID, readResult{position: effect.Position})
		case pos.Fail:
			err := result.New(effect.Code, "the position of service %s cannot be read", t.service)
			t.resolve(effect.ID, readResult{err: err})
		case pos.RequestTables:
			for _, host := range effect.Hosts {
				go t.requestTable(ctx, effect.Round, host)
			}
		case pos.RequestPrimaryPosition:
			go t.readPrimaryPosition(ctx, effect.Round)
		}
	}
}

func (t *positionTask) resolve(id uint64, r readResult) {
	if reply, ok := t.reads[id]; ok {
		delete(t.reads, id)
		reply <- r
	}
}

func (t *positionTask) failReads() {
	for id := range t.reads {
		t.resolve(id, readResult{err: result.New(result.ShuttingDown, "%v", errStopped)})
	}
}

// requestTable requests the table of one host. An error is ignored: the tracker treats a
// missing answer like a late one.
func (t *positionTask) requestTable(ctx context.Context, round uint64, host string) {
	if t.positions.peers == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, gatherCallTimeout)
	defer cancel()
	answer, err := t.positions.peers.Gather(callCtx, host, t.service)
	if err != nil {
		return
	}
	reply := pos.Reply{Round: round, Host: host, Incarnation: answer.Incarnation, Table: answer.Table}
	_ = t.post(ctx, eventMessage{reply})
}

// readPrimaryPosition reads the position of the primary. It is valid only if the host may
// still act on the same term when the answer arrives: a replaced primary may lag behind
// acknowledged writes.
func (t *positionTask) readPrimaryPosition(ctx context.Context, round uint64) {
	answer := pos.PrimaryPosition{Round: round}
	if state := t.positions.view.Current().State; state != nil {
		group := state.Groups[t.service]
		co := &checkout{service: t.service, endpoint: group.Primary, life: group.Life, term: group.Term}
		status, err := t.positions.primaryStatus(ctx, group.Primary)
		if err == nil && termHolds(t.positions.view.Current(), co) {
			answer.OK = true
			answer.Position = pos.Position{Life: group.Life, Term: group.Term, LSN: status.LSN}
		}
	}
	_ = t.post(ctx, eventMessage{answer})
}

// observe records the status of an endpoint and reports to the tracker the lowest position
// that all replicas have replayed, when it has advanced. A replica without a status on the
// group's timeline prevents the report.
func (t *positionTask) observe(ctx context.Context, s pgback.Status) {
	t.statuses[s.Endpoint] = s
	v := t.positions.view.Current()
	if v.State == nil {
		return
	}
	group := v.State.Groups[t.service]
	replayed := pos.Position{Life: group.Life, Term: group.Term}
	count := 0
	for _, id := range group.Members {
		if id == group.Primary {
			continue
		}
		r, ok := t.statuses[id]
		if !ok || r.Err != nil || !r.InRecovery || r.Timeline != group.Timeline {
			return
		}
		if count == 0 || r.LSN < replayed.LSN {
			replayed.LSN = r.LSN
		}
		count++
	}
	if count > 0 && t.lastReplayed.Before(replayed) {
		t.lastReplayed = replayed
		t.step(ctx, pos.Replayed{Position: replayed})
	}
}
