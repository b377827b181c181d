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
	// Addrs are the entry hosts' addresses.
	Addrs []string
	// URL returns the connection URL of a workspace's caller.
	URL func(addr, workspace, service string) string
	// CheckURL returns the URL over which the stored records are read at the
	// end.
	CheckURL      func(workspace, service string) string
	FaultInjector FaultInjector
}

// Options configure a run.
type Options struct {
	Profile  *Profile
	Target   Target
	Duration time.Duration
	Seed     uint64
	// Progress receives a line a second; nil means none.
	Progress io.Writer
}

// runner holds the state of a run.
type runner struct {
	profile  *Profile
	target   Target
	start    time.Time
	recorder *recorder
	surges   surges
	ledgers  map[string]*ledger

	// pending counts the requests that are queued or in progress.
	pending sync.WaitGroup
}

const (
	progressInterval = time.Second
	// drainTimeout bounds the wait for requests in progress at the end.
	drainTimeout = 40 * time.Second
	setupTimeout = 60 * time.Second
)

const correctionsTable = "create table if not exists corrections (id text, workspace text, body text)"

// Run drives the target and returns the measurements.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if err := setUp(ctx, opts); err != nil {
		return nil, err
	}
	r := &runner{
		profile: opts.Profile, target: opts.Target, start: time.Now(),
		surges: newSurges(opts.Profile.Workspaces), ledgers: make(map[string]*ledger),
	}
	r.recorder = newRecorder(r.start)
	end := r.start.Add(opts.Duration)
	r.drive(ctx, opts, end)
	res := r.recorder.result(opts.Profile, opts.Duration.Seconds())
	res.Seed = opts.Seed
	if err := r.checkAll(ctx, res); err != nil {
		return res, err
	}
	return res, nil
}

// setUp creates the table that the checks need in each service.
func setUp(ctx context.Context, opts Options) error {
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

// workspaceFor returns a workspace that may use the service.
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

// drive runs the load until end and waits for the requests in progress.
func (r *runner) drive(ctx context.Context, opts Options, end time.Time) {
	runCtx, stop := context.WithDeadline(ctx, end.Add(drainTimeout))
	defer stop()
	callCtx, stopCallers := context.WithCancel(runCtx)
	defer stopCallers()
	var callers, generators sync.WaitGroup
	queues := make(map[string]chan request)
	for i, w := range r.profile.Workspaces {
		queue := make(chan request, maxBacklog)
		queues[w.Name] = queue
		l := newLedger()
		r.ledgers[w.Name] = l
		r.startCallers(callCtx, &callers, w, l, queue, opts.Seed)
		a := &arrivals{
			workspace: w, services: r.profile.services(w), rng: rand.New(rand.NewPCG(opts.Seed, uint64(i))),
			factor: func() float64 { return r.surges.factor(w) }, queue: queue,
			accepted: func() { r.pending.Add(1) },
			dropped:  func(req request) { r.dropped(w, req) },
		}
		generators.Go(func() { a.run(runCtx, r.start, end) })
	}
	auxCtx, stopAux := context.WithDeadline(ctx, end)
	defer stopAux()
	go r.causeFaults(auxCtx)
	go r.report(auxCtx, opts.Progress)
	generators.Wait()
	r.awaitPending(runCtx)
	stopCallers()
	callers.Wait()
	for _, w := range r.profile.Workspaces {
		r.dropQueued(w, queues[w.Name])
	}
}

// awaitPending waits until every request has been answered or ctx ends.
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

// dropQueued counts the requests that no caller came to.
func (r *runner) dropQueued(w Workspace, queue <-chan request) {
	for {
		select {
		case req := <-queue:
			r.dropped(w, req)
			r.pending.Done()
		default:
			return
		}
	}
}

func (r *runner) startCallers(ctx context.Context, wg *sync.WaitGroup, w Workspace, l *ledger, queue chan request, seed uint64) {
	for i := range w.Callers {
		name := fmt.Sprintf("%s-%d-%d", w.Name, seed, i)
		c := &caller{
			r: r, workspace: w, ledger: l, queue: queue, name: name, conns: make(map[string]*pgx.Conn),
			rng: rand.New(rand.NewPCG(seed, hash(name))),
		}
		wg.Go(func() { c.run(ctx) })
	}
}

func (r *runner) dropped(w Workspace, req request) {
	r.recorder.done(sample{
		workspace: w.Name, class: w.Class, op: req.op, service: req.service, intended: req.intended,
		finished: time.Now(), outcome: history.NotRun, cause: causeDropped,
	})
}

// later queues a request at its intended start.
func (r *runner) later(at time.Time, queue chan<- request, req request) {
	r.pending.Add(1)
	time.AfterFunc(time.Until(at), func() {
		select {
		case queue <- req:
		default: // the backlog is full; the entry is still checked at the end
			r.pending.Done()
		}
	})
}

func (r *runner) report(ctx context.Context, w io.Writer) {
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
