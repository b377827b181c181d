package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/history"
)

// Target is the system under load.
type Target struct {
	// Addrs are the caller addresses of the entry hosts; there must be at least
	// one.
	Addrs []string
	// URL returns the URL by which a workspace's caller connects to a service
	// through the host at addr.
	URL func(addr, workspace, service string) string
	// CheckURL returns the URL by which the stored rows are read after the load.
	CheckURL      func(workspace, service string) string
	FaultInjector FaultInjector
}

// Options configure a run.
type Options struct {
	Profile  *Profile
	Target   Target
	Duration time.Duration
	Seed     uint64
	// Progress receives a line every second; nil disables it.
	Progress io.Writer
}

// runner holds the state of a run.
type runner struct {
	profile     *Profile
	target      Target
	start       time.Time
	recorder    *recorder
	surgeStates surgeStates
	writeLogs   map[string]*writeLog

	// pending counts the requests that are scheduled, queued or in progress.
	pending sync.WaitGroup
}

const (
	progressInterval = time.Second
	// drainTimeout bounds the wait for pending requests after the load. It
	// exceeds requestTimeout, so that every request in progress can end.
	drainTimeout = 40 * time.Second
	setupTimeout = 60 * time.Second
)

const correctionsTable = "create table if not exists corrections (id text, workspace text, body text)"

// Run drives the target with the profile's load, injects its faults and compares
// the stored rows with the writes that were sent. If only this comparison fails, it
// returns the measurements along with the error.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if err := createTables(ctx, opts); err != nil {
		return nil, err
	}
	r := &runner{
		profile: opts.Profile, target: opts.Target, start: time.Now(),
		surgeStates: newSurgeStates(opts.Profile.Workspaces), writeLogs: make(map[string]*writeLog),
	}
	r.recorder = newRecorder(r.start)
	end := r.start.Add(opts.Duration)
	r.runLoad(ctx, opts, end)
	res := r.recorder.result(opts.Profile, opts.Duration.Seconds())
	res.Seed = opts.Seed
	if err := r.checkAll(ctx, res); err != nil {
		return res, err
	}
	return res, nil
}

// createTables creates the table of corrections in each service.
func createTables(ctx context.Context, opts Options) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, s := range opts.Profile.Services {
		w := workspaceFor(opts.Profile, s.Name)
		conn, err := pgx.Connect(ctx, opts.Target.URL(opts.Target.Addrs[0], w, s.Name))
		if err != nil {
			return errors.Wrapf(err, "connect to service %s", s.Name)
		}
		_, err = conn.Exec(ctx, correctionsTable)
		closeConn(conn)
		if err != nil {
			return errors.Wrapf(err, "create table in service %s", s.Name)
		}
	}
	return nil
}

// workspaceFor returns a workspace that uses the service, or the first one if none
// does.
func workspaceFor(p *Profile, service string) string {
	for _, w := range p.Workspaces {
		for _, name := range p.services(w) {
			if name == service {
				return w.Name
			}
		}
	}
	return p.Workspaces[0].Name
}

// runLoad runs generators, callers and faults until end. It then waits for the
// pending requests, at most for drainTimeout; requests that are still queued after
// that count as dropped.
func (r *runner) runLoad(ctx context.Context, opts Options, end time.Time) {
	runCtx, stop := context.WithDeadline(ctx, end.Add(drainTimeout))
	defer stop()
	callCtx, stopCallers := context.WithCancel(runCtx)
	defer stopCallers()
	var callers, generators sync.WaitGroup
	queues := make(map[string]chan request)
	for i, w := range r.profile.Workspaces {
		queue := make(chan request, maxBacklog)
		queues[w.Name] = queue
		writes := newWriteLog()
		r.writeLogs[w.Name] = writes
		r.startCallers(callCtx, &callers, w, writes, queue, opts.Seed)
		g := &generator{
			workspace: w, services: r.profile.services(w), rng: rand.New(rand.NewPCG(opts.Seed, uint64(i))),
			loadFactor: func() float64 { return r.surgeStates.factor(w) }, queue: queue,
			onQueued:  func() { r.pending.Add(1) },
			onDropped: func(req request) { r.recordDropped(w, req) },
		}
		generators.Go(func() { g.run(runCtx, r.start, end) })
	}
	auxCtx, stopAux := context.WithDeadline(ctx, end)
	defer stopAux()
	go r.injectFaults(auxCtx)
	go r.reportProgress(auxCtx, opts.Progress)
	generators.Wait()
	r.awaitPending(runCtx)
	stopCallers()
	callers.Wait()
	for _, w := range r.profile.Workspaces {
		r.dropQueued(w, queues[w.Name])
	}
}

// awaitPending waits until no request is pending or ctx ends.
func (r *runner) awaitPending(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// dropQueued counts the requests left in the queue as dropped.
func (r *runner) dropQueued(w Workspace, queue <-chan request) {
	for {
		select {
		case req := <-queue:
			r.recordDropped(w, req)
			r.pending.Done()
		default:
			return
		}
	}
}

// startCallers starts the callers of a workspace. The seed and the caller's name
// determine the random numbers of each caller.
func (r *runner) startCallers(
	ctx context.Context, wg *sync.WaitGroup, w Workspace, writes *writeLog, queue chan request, seed uint64,
) {
	for i := range w.Callers {
		name := fmt.Sprintf("%s-%d-%d", w.Name, seed, i)
		c := &caller{
			runner: r, workspace: w, writes: writes, queue: queue, name: name, conns: make(map[string]*pgx.Conn),
			rng: rand.New(rand.NewPCG(seed, hash(name))),
		}
		wg.Go(func() { c.run(ctx) })
	}
}

// recordDropped counts a request that was never sent, because the queue was full or
// the run ended.
func (r *runner) recordDropped(w Workspace, req request) {
	r.recorder.recordRequest(sample{
		workspace: w.Name, class: w.Class, op: req.op, service: req.service, intended: req.intended,
		finished: time.Now(), outcome: history.NotRun, cause: causeGeneratorOverrun,
	})
}

// enqueueAt queues a request at its intended start. The request is pending from
// now on, so that the end of the run waits for it.
func (r *runner) enqueueAt(at time.Time, queue chan<- request, req request) {
	r.pending.Add(1)
	time.AfterFunc(time.Until(at), func() {
		select {
		case queue <- req:
		default: // the queue is full; the final check still covers the write
			r.pending.Done()
		}
	})
}

// reportProgress writes a progress line to w every second until ctx ends.
func (r *runner) reportProgress(ctx context.Context, w io.Writer) {
	if w == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			served, refused, violations := r.recorder.progress()
			fmt.Fprintf(w, "t=%.0fs served=%d refused=%d violations=%d\n",
				time.Since(r.start).Seconds(), served, refused, violations)
		case <-ctx.Done():
			return
		}
	}
}
