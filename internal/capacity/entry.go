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

// loginConcurrency is the maximum number of concurrent logins.
const loginConcurrency = 32

// measureIdleCallers measures the entry host's CPU time per login and its resident
// memory with a growing number of idle connections.
func (r *run) measureIdleCallers() error {
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
		opened, err := r.openConnections(n - len(conns))
		conns = append(conns, opened...)
		if err != nil {
			return err
		}
		after, err := scrape(r.system.EntryAdmin)
		if err != nil {
			return err
		}
		if len(opened) > 0 {
			login = append(login, Point{float64(len(opened)), after.cpu - before.cpu})
		}
		idle, err := measureRates(r.system.EntryAdmin, r.plan.Window/2)
		if err != nil {
			return err
		}
		memory = append(memory, Point{float64(n), idle.memory})
	}
	r.addSlope(SlopeCallerMemory, "idle callers", "B", memory)
	r.addSlope(SlopeLoginCPU, "logins", "CPU s", append(login, Point{0, 0}))
	return nil
}

// openConnections opens n connections to the entry host. If some fail, it returns the
// others and one of the errors.
func (r *run) openConnections(n int) ([]*pgx.Conn, error) {
	var mu sync.Mutex
	var conns []*pgx.Conn
	var lastErr error
	var tasks sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(n))
	for range loginConcurrency {
		tasks.Go(func() {
			for remaining.Add(-1) >= 0 {
				c, err := pgx.Connect(context.Background(), r.system.CallerURL)
				mu.Lock()
				if err != nil {
					lastErr = err
				} else {
					conns = append(conns, c)
				}
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	return conns, lastErr
}

// statementCallers is the number of connections over which measureStatements spreads
// its statements.
const statementCallers = 20

// measureStatements measures the entry host at several rates of reads.
func (r *run) measureStatements() error {
	conns, err := r.openConnections(statementCallers)
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
		atEntry, err := r.measureStatementRate(conns, rate)
		if err != nil {
			return err
		}
		cost.add(float64(rate), atEntry)
	}
	r.addSlope(SlopeStatementCPU, "statements/s", "CPU s/s", cost.cpu)
	r.addSlope(SlopeStatementBytes, "statements/s", "B/s", cost.bytes)
	return nil
}

// measureStatementRate measures the entry host while the connections execute rate
// reads per second.
func (r *run) measureStatementRate(conns []*pgx.Conn, rate int) (rates, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	statements := make(chan struct{}, 10*statementCallers)
	var lastErr atomic.Pointer[error]
	var tasks sync.WaitGroup
	for _, c := range conns {
		tasks.Go(func() {
			for range statements {
				var n int
				if err := c.QueryRow(ctx, "select count(*) from records where id = $1", "none").Scan(&n); err != nil && ctx.Err() == nil {
					lastErr.Store(&err)
				}
			}
		})
	}
	stop := make(chan struct{})
	tasks.Go(func() {
		defer close(statements)
		callAtRate(rate, stop, func(int) {
			select {
			case statements <- struct{}{}:
			case <-stop:
			}
		})
	})
	cost, err := measureRates(r.system.EntryAdmin, r.plan.Window)
	close(stop)
	tasks.Wait()
	if statementErr := lastErr.Load(); statementErr != nil && err == nil {
		err = errors.Wrap(*statementErr, "statement")
	}
	return cost, err
}

// measureProbes measures the CPU time of this process and the bytes on the wire
// for role probes and position polls of a stand-in endpoint.
func (r *run) measureProbes() error {
	proxy, err := newCountingProxy(r.system.StandinAddr)
	if err != nil {
		return err
	}
	defer proxy.close()
	prober := watch.NewProber()
	defer prober.CloseExcept(func(string) bool { return false })
	if err := r.measureRequest(proxy, SlopeProbeCPU, SlopeProbeBytes, "probes/s", r.roleProbe(prober)); err != nil {
		return err
	}
	poll, closeConns := r.positionPoll()
	defer closeConns()
	return r.measureRequest(proxy, SlopePositionCPU, SlopePositionBytes, "polls/s", poll)
}

// requestFunc sends one request to the endpoint at addr and waits for the reply.
type requestFunc func(addr string) error

// measureRequest sends requests at several rates: directly to measure the CPU
// time, then through the proxy to count the bytes.
func (r *run) measureRequest(proxy *countingProxy, cpuName, bytesName, variable string, send requestFunc) error {
	var cpu, bytes []Point
	for _, rate := range r.plan.ProbeRates {
		before, err := ownCPUSeconds()
		if err != nil {
			return err
		}
		if err := r.requestAtRate(r.system.StandinAddr, rate, send); err != nil {
			return err
		}
		after, err := ownCPUSeconds()
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{float64(rate), (after - before) / r.plan.Window.Seconds()})
		bytesBefore := proxy.bytes.Load()
		if err := r.requestAtRate(proxy.addr(), rate, send); err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(rate), float64(proxy.bytes.Load()-bytesBefore) / r.plan.Window.Seconds()})
	}
	r.addSlope(cpuName, variable, "CPU s/s", cpu)
	r.addSlope(bytesName, variable, "B/s", bytes)
	return nil
}

// requestAtRate sends rate requests per second for one window. It returns the
// last error of a request.
func (r *run) requestAtRate(addr string, rate int, send requestFunc) error {
	stop := make(chan struct{})
	time.AfterFunc(r.plan.Window, func() { close(stop) })
	var lastErr error
	callAtRate(rate, stop, func(int) {
		if err := send(addr); err != nil {
			lastErr = err
		}
	})
	return lastErr
}

// probeService returns a service with the credentials of the stand-in endpoint.
func (r *run) probeService() note.Service {
	return note.Service{
		Name: "probe", Database: r.system.StandinDatabase,
		User: r.system.StandinUser, Password: r.system.StandinPassword,
	}
}

// roleProbe returns a request for the role of an endpoint, as watchers send it.
func (r *run) roleProbe(prober *watch.Prober) requestFunc {
	return func(addr string) error {
		endpoint := agreed.Endpoint{ID: addr, Service: "probe", Addr: addr}
		if !prober.ProbeRole(context.Background(), r.probeService(), endpoint).Reachable {
			return errors.New("probe failed: endpoint not reachable")
		}
		return nil
	}
}

// positionPoll returns a request for the replay position, as monitors send it
// between two role polls, and a function that closes its connections.
func (r *run) positionPoll() (poll requestFunc, closeConns func()) {
	conns := make(map[string]*pgback.Conn)
	poll = func(addr string) error {
		conn, ok := conns[addr]
		if !ok {
			s := r.probeService()
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
	closeConns = func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
	return poll, closeConns
}

// countingProxy is a TCP proxy that counts the bytes of both directions.
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

// copyBufferBytes is the size of the buffer of each direction of a connection.
const copyBufferBytes = 16 << 10

// copy forwards from one connection to the other until either fails.
func (p *countingProxy) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		p.bytes.Add(int64(n))
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}
