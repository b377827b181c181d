package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/watch"
)

// loginParallel is the number of logins in progress at once.
const loginParallel = 32

// measureCallers opens idle connections through the entry host.
func (r *run) measureCallers() error {
	var conns []*pgx.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close(context.Background())
		}
	}()
	var memory, login []Point
	for _, n := range r.plan.Callers {
		before, err := scrape(r.system.EntryAdmin)
		if err != nil {
			return err
		}
		fresh, err := r.connect(n - len(conns))
		conns = append(conns, fresh...)
		if err != nil {
			return err
		}
		after, err := scrape(r.system.EntryAdmin)
		if err != nil {
			return err
		}
		if len(fresh) > 0 {
			login = append(login, Point{float64(len(fresh)), after.cpu - before.cpu})
		}
		idle, err := observe(r.system.EntryAdmin, r.plan.Window/2)
		if err != nil {
			return err
		}
		memory = append(memory, Point{float64(n), idle.memory})
	}
	r.add(SlopeCallerMemory, "idle callers", "B", memory)
	r.add(SlopeLoginCPU, "logins", "CPU s", append(login, Point{0, 0}))
	return nil
}

func (r *run) connect(n int) ([]*pgx.Conn, error) {
	var mu sync.Mutex
	var conns []*pgx.Conn
	var failed error
	var tasks sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(n))
	for range loginParallel {
		tasks.Go(func() {
			for left.Add(-1) >= 0 {
				c, err := pgx.Connect(context.Background(), r.system.CallerURL)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					conns = append(conns, c)
				}
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	return conns, failed
}

// statementCallers is the number of callers that share the load.
const statementCallers = 20

// measureStatements reads through the entry host at several rates.
func (r *run) measureStatements() error {
	conns, err := r.connect(statementCallers)
	if err != nil {
		return err
	}
	defer func() {
		for _, c := range conns {
			_ = c.Close(context.Background())
		}
	}()
	var cost series
	for _, rate := range r.plan.StatementRates {
		atEntry, err := r.statementsAt(conns, rate)
		if err != nil {
			return err
		}
		cost.add(float64(rate), atEntry)
	}
	r.add(SlopeStatementCPU, "statements/s", "CPU s/s", cost.cpu)
	r.add(SlopeStatementBytes, "statements/s", "B/s", cost.bytes)
	return nil
}

func (r *run) statementsAt(conns []*pgx.Conn, rate int) (rates, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	work := make(chan struct{}, 10*statementCallers)
	var failed atomic.Pointer[error]
	var tasks sync.WaitGroup
	for _, c := range conns {
		tasks.Go(func() {
			for range work {
				var n int
				if err := c.QueryRow(ctx, "select count(*) from records where id = $1", "none").Scan(&n); err != nil && ctx.Err() == nil {
					failed.Store(&err)
				}
			}
		})
	}
	stop := make(chan struct{})
	tasks.Go(func() {
		defer close(work)
		pace(rate, stop, func(int) {
			select {
			case work <- struct{}{}:
			case <-stop:
			}
		})
	})
	cost, err := observe(r.system.EntryAdmin, r.plan.Window)
	close(stop)
	tasks.Wait()
	if failure := failed.Load(); failure != nil && err == nil {
		err = errors.Wrap(*failure, "statement")
	}
	return cost, err
}

// measureProbes probes a stand-in endpoint at several rates and counts this
// process's processor time and the bytes on the wire.
func (r *run) measureProbes() error {
	proxy, err := newCountingProxy(r.system.StandinAddr)
	if err != nil {
		return err
	}
	defer proxy.close()
	prober := watch.NewProber()
	defer prober.CloseExcept(func(string) bool { return false })
	if err := r.measureQuestion(proxy, SlopeProbeCPU, SlopeProbeBytes, "probes/s", r.glance(prober)); err != nil {
		return err
	}
	ask, done := r.position()
	defer done()
	return r.measureQuestion(proxy, SlopePositionCPU, SlopePositionBytes, "polls/s", ask)
}

// question asks the endpoint at addr once.
type question func(addr string) error

// measureQuestion asks at several rates, directly for the processor time and
// through the proxy for the bytes.
func (r *run) measureQuestion(proxy *countingProxy, cpuName, bytesName, variable string, ask question) error {
	var cpu, bytes []Point
	for _, rate := range r.plan.ProbeRates {
		before, err := ownCPU()
		if err != nil {
			return err
		}
		if err := r.askAt(r.system.StandinAddr, rate, ask); err != nil {
			return err
		}
		after, err := ownCPU()
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{float64(rate), (after - before) / r.plan.Window.Seconds()})
		counted := proxy.bytes.Load()
		if err := r.askAt(proxy.addr(), rate, ask); err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(rate), float64(proxy.bytes.Load()-counted) / r.plan.Window.Seconds()})
	}
	r.add(cpuName, variable, "CPU s/s", cpu)
	r.add(bytesName, variable, "B/s", bytes)
	return nil
}

// askAt asks at a rate for the length of a window.
func (r *run) askAt(addr string, rate int, ask question) error {
	stop := make(chan struct{})
	time.AfterFunc(r.plan.Window, func() { close(stop) })
	var failed error
	pace(rate, stop, func(int) {
		if err := ask(addr); err != nil {
			failed = err
		}
	})
	return failed
}

func (r *run) service() note.Service {
	return note.Service{
		Name: "probe", Database: r.system.StandinDatabase,
		User: r.system.StandinUser, Password: r.system.StandinPassword,
	}
}

// glance probes as a watcher does.
func (r *run) glance(prober *watch.Prober) question {
	return func(addr string) error {
		endpoint := agreed.Endpoint{ID: addr, Service: "probe", Addr: addr}
		if !prober.ProbeRole(context.Background(), r.service(), endpoint).Reachable {
			return errors.New("a probe was not answered")
		}
		return nil
	}
}

// position asks for the replayed position as a monitor does between two
// questions for the role.
func (r *run) position() (ask question, done func()) {
	conns := make(map[string]*pgback.Conn)
	ask = func(addr string) error {
		conn, ok := conns[addr]
		if !ok {
			s := r.service()
			var err error
			conn, err = pgback.Dial(context.Background(), pgback.Target{
				Endpoint: addr, Addr: addr, Database: s.Database, User: s.User, Password: s.Password,
			})
			if err != nil {
				return err
			}
			conns[addr] = conn
		}
		_, err := conn.Query(context.Background(), pgback.QueryReplayed)
		return err
	}
	done = func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
	return ask, done
}

// countingProxy passes connections on and counts their bytes.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newCountingProxy(target string) (*countingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &countingProxy{listener: l, target: target}
	go p.serve()
	return p, nil
}

func (p *countingProxy) addr() string { return p.listener.Addr().String() }

func (p *countingProxy) close() { _ = p.listener.Close() }

func (p *countingProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

const copyBuffer = 16 << 10

func (p *countingProxy) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		p.bytes.Add(int64(n))
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}
