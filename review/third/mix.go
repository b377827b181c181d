//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type wr struct {
	value string
	id    string
	res   string
}

func mix(rec *record, trouble bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	f, err := startFleet(rec, 3, 3, "logs-1", "logs-2")
	running = f
	if err != nil {
		return couldNot
	}
	defer f.close()
	var mu sync.Mutex
	version := 7
	svc := "logs-1"
	without2, noCrew := false, false
	evac := ""
	put := func() bool {
		version += 1 + rng.IntN(3)
		tenants := []tenant{}
		if !noCrew {
			tenants = append(tenants, tenant{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: 400, Burst: 400})
		}
		for i := range 3 {
			tenants = append(tenants, tenant{Name: fmt.Sprintf("t%d", i), APIKeys: []string{fmt.Sprintf("key-%d", i)}, Priority: 1, RatePerS: 400, Burst: 400})
		}
		var routes []route
		add := func(host, kind, service string, stale int) {
			routes = append(routes, route{Name: "r-" + host, Host: host, PathPrefix: "/", Kind: kind, TimeoutMS: 1000, TargetMS: 400, Priority: 1 + len(routes)%2, Service: service, MaxAttempts: 2, MaxStalenessMS: stale})
		}
		add("own", "read_your_writes", "logs-1", 2500)
		add("prim", "primary", "logs-1", 0)
		add("bound", "bounded_staleness", "logs-1", 1500)
		add("moving", "bounded_staleness", svc, 1500)
		if !without2 {
			add("own2", "read_your_writes", "logs-2", 2500)
			add("prim2", "primary", "logs-2", 0)
		}
		groups := f.groups
		if without2 {
			f.groups = groups[:1]
		}
		body := f.config(version, tenants, routes...)
		f.groups = groups
		return f.put(body)
	}
	if !put() || !f.awaitService(f.entries[0], "own", "key-crew") || !f.awaitService(f.entries[1], "own2", "key-0") {
		return couldNot
	}
	var writes []wr
	wrong := 0
	end := time.Now().Add(80 * time.Second)
	bad := func(format string, args ...any) {
		mu.Lock()
		wrong++
		mu.Unlock()
		rec.printf("WRONG "+format, args...)
	}
	type ack struct {
		n  int
		at time.Time
	}
	acked := map[string]ack{} // item -> newest acknowledged number
	var clients sync.WaitGroup
	ok, all := 0, 0
	for i := range 24 {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		clients.Go(func() {
			var s *session
			values := map[string]string{}
			prepared := map[string]string{}
			var db, key, item string
			var own int
			number := 0
			for n := 0; time.Now().Before(end); n++ {
				if s == nil || r.IntN(40) == 0 {
					if s != nil {
						s.close()
					}
					db = []string{"own", "prim", "bound", "moving", "own2", "prim2"}[r.IntN(6)]
					key = []string{"key-crew", "key-0", "key-1", "key-2"}[r.IntN(4)]
					var err error
					if s, err = f.open(f.entries[r.IntN(3)], db, key, fmt.Sprintf("c%d.%d", i, n)); err != nil {
						s = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
					values, prepared, own = map[string]string{}, map[string]string{}, 0
					item = fmt.Sprintf("%s-c%d", strings.TrimRight(db, "2"), i)
					if strings.HasSuffix(db, "2") {
						item += "-2"
					}
				}
				g := f.groups[0]
				if strings.HasSuffix(db, "2") {
					g = f.groups[1]
				}
				judge := func(x reply) {
					mu.Lock()
					all++
					if x.ok() {
						ok++
					}
					mu.Unlock()
					if x.ok() && strings.HasPrefix(x.last, "COMPLETE sig") {
						if runs, vals := g.Runs(x.id); runs > 0 && db != "moving" {
							if fmt.Sprint(vals) != fmt.Sprint(values) {
								bad("values %v of %s, want %v", vals, x.id, values)
							}
						} else if db != "moving" {
							bad("%s answered %q and not run", x.id, x.last)
						}
					}
				}
				fail := func(x reply) bool {
					if x.err != nil {
						_ = s.conn.Close()
						s = nil
					}
					return x.err != nil
				}
				number++
				value := fmt.Sprintf("v%d.%d", i, number)
				note := func(x reply) {
					w := wr{value: value, id: x.id, res: "unknown"}
					code, _, _ := strings.Cut(strings.TrimPrefix(x.last, "ERROR "), " ")
					switch {
					case x.ok():
						w.res = "ok"
						own = number
						mu.Lock()
						acked[item] = ack{number, x.answered}
						mu.Unlock()
					case x.err == nil && slices.Contains([]string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT", "UNAUTH", "NODB"}, code):
						w.res = "promise " + code
					}
					mu.Lock()
					writes = append(writes, w)
					mu.Unlock()
				}
				read := func(x reply, before ack, ownBefore int) {
					if !x.ok() || db == "moving" {
						return
					}
					got := 0
					row := strings.Join(x.rows, "")
					if _, rest, found := strings.Cut(row, "."); found {
						got, _ = strconv.Atoi(rest)
					}
					want := 0
					switch {
					case strings.HasPrefix(db, "prim"):
						want = before.n
					case strings.HasPrefix(db, "own"):
						want = ownBefore
					}
					if got < want {
						if _, lost := g.Commits(fmt.Sprintf("v%d.%d", i, want)); !lost {
							bad("STALE %s on %s read %q, want number %d, %s", x.id, db, row, want, x.last)
						}
					}
				}
				mu.Lock()
				before := acked[item]
				mu.Unlock()
				switch k := r.IntN(12); {
				case k < 4:
					x := s.do("READ " + item)
					judge(x)
					read(x, before, own)
					fail(x)
				case k < 6 && db != "bound" && db != "moving":
					x := s.do("WRITE " + item + " " + value)
					note(x)
					judge(x)
					fail(x)
				case k == 6:
					name, v := fmt.Sprintf("n%d", r.IntN(3)), fmt.Sprintf("%d", r.IntN(5))
					x := s.do("SET " + name + " " + v)
					if fail(x) {
						break
					}
					if x.ok() {
						values[name] = v
					}
				case k == 7:
					name := fmt.Sprintf("p%d", r.IntN(3))
					mode := []string{"READ", "WRITE"}[r.IntN(2)]
					x := s.do("PARSE " + name + " " + mode + " shape" + strconv.Itoa(r.IntN(3)))
					if fail(x) {
						break
					}
					if x.ok() {
						prepared[name] = mode
					}
				case k == 8:
					for name, mode := range prepared {
						if mode == "WRITE" && (db == "bound" || db == "moving") {
							continue
						}
						if mode == "WRITE" {
							x := s.do("EXECUTE " + name + " " + item + " " + value)
							note(x)
							judge(x)
							fail(x)
						} else {
							x := s.do("EXECUTE " + name + " " + item)
							judge(x)
							read(x, before, own)
							fail(x)
						}
						break
					}
				case k >= 9:
					ro := db == "bound" || db == "moving" || r.IntN(3) == 0
					begin := "BEGIN"
					if ro {
						begin = "BEGIN READ"
					}
					x := s.do(begin)
					if fail(x) || !x.ok() {
						if s != nil && !x.ok() && strings.Contains(x.last, "MALFORMED") {
							s.close()
							s = nil
						}
						break
					}
					wrote, done := false, false
					for j := range 1 + r.IntN(4) {
						if r.IntN(3) == 0 {
							time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
						}
						if !ro && j == 0 {
							x = s.do("WRITE " + item + " " + value)
							wrote = true
						} else if r.IntN(4) == 0 {
							v := fmt.Sprint(r.IntN(5))
							x = s.do("SET n0 " + v)
							if x.ok() {
								values["n0"] = v
							}
						} else {
							x = s.do("READ " + item)
							if x.ok() {
								read(x, before, own)
							}
						}
						judge(x)
						if x.err != nil || !x.ok() {
							done = true
							break
						}
					}
					if done {
						if wrote {
							mu.Lock()
							writes = append(writes, wr{value, x.id, "promise not committed"})
							mu.Unlock()
						}
						if s != nil {
							s.close()
							s = nil
						}
						break
					}
					if r.IntN(4) == 0 {
						x = s.do("ROLLBACK")
						if wrote {
							mu.Lock()
							writes = append(writes, wr{value, x.id, "promise rolled back"})
							mu.Unlock()
						}
					} else {
						x = s.do("COMMIT")
						if wrote {
							note(x)
						}
					}
					if fail(x) || !x.ok() {
						if s != nil {
							s.close()
							s = nil
						}
					}
				}
				time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end.Add(-12*time.Second)) && trouble {
		k := rng.IntN(14)
		rec.printf("disruption %d", k)
		switch k {
		case 0:
			m := f.controls[rng.IntN(3)]
			f.kill(m)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			_ = f.start(m)
		case 1:
			m := f.entries[rng.IntN(3)]
			f.kill(m)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			_ = f.start(m)
		case 2, 3:
			m := append(slices.Clone(f.controls), f.entries...)[rng.IntN(6)]
			_ = m.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rng.IntN(3500)) * time.Millisecond)
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
		case 4:
			svc = []string{"logs-1", "logs-2"}[rng.IntN(2)]
			if without2 {
				svc = "logs-1"
			}
			put()
		case 5:
			svc, without2 = "logs-1", true
			put()
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			without2 = false
			put()
		case 6:
			noCrew = true
			put()
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
			noCrew = false
			put()
		case 7:
			if evac == "" {
				evac = domains[rng.IntN(3)]
				st, _ := f.call(http.MethodPost, f.controls[0].ip, "/Evacuations.Start/"+evac, nil)
				rec.printf("evac %s %d", evac, st)
			} else {
				st, _ := f.call(http.MethodPost, f.controls[1].ip, "/Evacuations.End/"+evac, nil)
				rec.printf("end %s %d", evac, st)
				evac = ""
			}
		case 8, 9:
			g := f.groups[rng.IntN(2)]
			e := g.Endpoint(1 + rng.IntN(3))
			if k == 8 {
				e = g.Primary()
			}
			rec.printf("crash %s", e.ID)
			e.Crash()
			time.Sleep(time.Duration(300+rng.IntN(4000)) * time.Millisecond)
			if err := e.Restart(); err != nil {
				rec.printf("%v", err)
			}
		case 10:
			f.groups[rng.IntN(2)].Primary().DropNextReply()
		case 11:
			e := f.groups[rng.IntN(2)].Endpoint(1 + rng.IntN(3))
			e.PauseReplication(true)
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			e.PauseReplication(false)
		case 12:
			f.platform.DelayNextOrder(time.Duration(2000+rng.IntN(5000)) * time.Millisecond)
			f.groups[0].Primary().ResetConns()
		case 13:
			l := []time.Duration{20, 60, 300, 900}[rng.IntN(4)] * time.Millisecond
			f.groups[0].SetLag(l)
			f.groups[1].SetLag(l)
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	for _, w := range writes {
		count, lost := 0, false
		for _, g := range f.groups {
			c, l := g.Commits(w.value)
			count += c
			lost = lost || l
		}
		switch {
		case count > 1:
			bad("TWICE %v: %d", w, count)
		case strings.HasPrefix(w.res, "promise") && (count > 0 || lost):
			bad("REFUSED %v: %d, lost %v", w, count, lost)
		case w.res == "ok" && count == 0 && !lost:
			bad("MIXED %v", w)
		}
	}
	rec.printf("%d writes, %d of %d ok, %d wrong, %d orders", len(writes), ok, all, wrong, len(f.platform.Orders()))
	if wrong > 0 {
		return broken
	}
	return held
}
