package entry

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// benchFixture returns an entry in front of a group without artificial delays, with one row
// and replicas that serve reads.
func benchFixture(b *testing.B) *fixture {
	f := newFixture(b, fixtureConfig{
		connections: 60,
		standin:     func(o *standin.Options) { o.MaxConnections = 1000 },
	})
	conn := f.connect("")
	mustExec(b, conn, "create table entries (id int primary key, word text)")
	mustExec(b, conn, "insert into entries values (1, 'osan')")
	f.waitReplicas(conn)
	return f
}

const benchRead = "select word from entries where id = $1"

// BenchmarkRead compares a prepared read through the entry with the same read
// sent directly to a replica.
func BenchmarkRead(b *testing.B) {
	f := benchFixture(b)
	b.Run("direct", func(b *testing.B) { benchOne(b, f.direct(1), benchRead) })
	b.Run("entry", func(b *testing.B) { benchOne(b, f.connect(""), benchRead) })
	b.Run("entry-stale", func(b *testing.B) {
		benchOne(b, f.connect("galenabridge.max_staleness=10000"), benchRead)
	})
}

// BenchmarkWrite compares a prepared write through the entry with the same write sent
// directly to the primary. Only the entry waits for a majority.
func BenchmarkWrite(b *testing.B) {
	f := benchFixture(b)
	const sql = "update entries set word = 'pohang' where id = $1"
	b.Run("direct", func(b *testing.B) { benchOne(b, f.direct(0), sql) })
	b.Run("entry", func(b *testing.B) { benchOne(b, f.connect(""), sql) })
}

// benchOne runs the statement sequentially and reports the median time.
func benchOne(b *testing.B, conn *pgx.Conn, sql string) {
	ctx := context.Background()
	var times []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		started := time.Now()
		if _, err := conn.Exec(ctx, sql, 1); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
}

// BenchmarkReadParallel measures the read throughput of concurrent callers.
func BenchmarkReadParallel(b *testing.B) {
	f := benchFixture(b)
	for _, callers := range []int{16, 64} {
		connectAll := func(connect func() *pgx.Conn) []*pgx.Conn {
			conns := make([]*pgx.Conn, callers)
			for i := range conns {
				conns[i] = connect()
			}
			return conns
		}
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			next := 0
			benchMany(b, connectAll(func() *pgx.Conn {
				next++
				return f.direct(1 + next%2)
			}))
		})
		b.Run(fmt.Sprintf("entry/callers=%d", callers), func(b *testing.B) {
			benchMany(b, connectAll(func() *pgx.Conn { return f.connect("") }))
		})
	}
}

// benchMany runs reads on all connections concurrently and reports the throughput.
func benchMany(b *testing.B, conns []*pgx.Conn) {
	var wg sync.WaitGroup
	share := b.N/len(conns) + 1
	b.ResetTimer()
	for _, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range share {
				if _, err := conn.Exec(context.Background(), benchRead, 1); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(share*len(conns))/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkIdleConnections measures the entry's memory for each idle caller. The clients are
// bare sockets, because they share the process and their memory is counted too.
func BenchmarkIdleConnections(b *testing.B) {
	const callers = 1000
	f := benchFixture(b)
	var before, after runtime.MemStats
	for b.Loop() {
		readMemStats(&before)
		conns := make([]*bareClient, callers)
		for i := range conns {
			conns[i] = newBareClient(b, f)
		}
		readMemStats(&after)
		used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
		b.ReportMetric(float64(used)/callers, "B/caller")
		for _, c := range conns {
			c.close()
		}
		eventually(b, "all callers disconnected", func() bool { return len(f.server.activeSessions()) <= 1 })
	}
}

// readMemStats reads the statistics after a full collection. The second collection frees what
// the first one has finalized.
func readMemStats(m *runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(m)
}

// BenchmarkClassify measures the classification of a read.
func BenchmarkClassify(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if classify(benchRead).kind != kindRead {
			b.Fatal("wrong kind")
		}
	}
}

// BenchmarkPlan measures the encoding of a pipeline for a connection that has the statement
// prepared.
func BenchmarkPlan(b *testing.B) {
	f := benchFixture(b)
	member, err := f.server.backends.get("ledger-1")
	if err != nil {
		b.Fatal(err)
	}
	conn, err := member.pool.Acquire(testContext(b))
	if err != nil {
		b.Fatal(err)
	}
	defer member.pool.Release(conn, true)
	known := map[string]*statement{"s": newStatement(benchRead, nil)}
	conn.Session.AddStatement(known["s"].name)
	b.ReportAllocs()
	for b.Loop() {
		u := newExtendedUnit()
		bind := &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{{0, 0, 0, 1}}}
		for _, msg := range []pgproto3.FrontendMessage{bind, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}} {
			if err := u.add(msg, known); err != nil {
				b.Fatal(err)
			}
		}
		u.sync = true
		if _, err := u.planFor(&conn.Session); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPosition compares the two sources of the position that a read must include: the
// primary, and the tables of all entry hosts.
func BenchmarkPosition(b *testing.B) {
	for _, hosts := range []int{2, 9} {
		f := newFleetOf(b, hosts, 0)
		f.waitReplicas(f.connect(""))
		sources := map[string]func(context.Context) error{
			"primary": func(ctx context.Context) error {
				_, err := f.server.PrimaryStatus(ctx, "ledger-1")
				return err
			},
			"gather": func(ctx context.Context) error {
				_, err := f.server.positions.Required(ctx, testService, "crew")
				return err
			},
		}
		for name, find := range sources {
			for _, readers := range []int{1, 64} {
				b.Run(fmt.Sprintf("%s/hosts=%d/readers=%d", name, hosts, readers), func(b *testing.B) {
					benchPosition(b, readers, find)
				})
			}
		}
	}
}

// benchPosition determines positions with concurrent readers and reports the mean wait.
func benchPosition(b *testing.B, readers int, find func(context.Context) error) {
	var wg sync.WaitGroup
	share := b.N/readers + 1
	b.ReportAllocs()
	b.ResetTimer()
	for range readers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range share {
				if err := find(context.Background()); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(share), "wait-µs")
}
