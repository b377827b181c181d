package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var testLimits = map[string]Limit{
	"workspace/a": {Rate: 100, Burst: 40},
	"workspace/b": {Rate: 20, Burst: 3, IdleBurst: 5},
	"endpoint/x":  {Burst: 12},
}

const (
	stepsPerRun   = 800
	runsPerCheck  = 1
	maxSeed       = 1 << 40
	stepTime      = 20 * time.Millisecond
	takesPerStep  = 4
	faultLoss     = 0.1
	faultMaxDelay = 600 * time.Millisecond
)

// runRandomFaults runs a number of steps with random use and random faults: owners
// crash, are replaced and isolated, entry hosts restart and are absent, messages are lost,
// delayed and duplicated. It stops at the first violation of a limit.
func (f *fleet) runRandomFaults(steps int) {
	f.loss, f.maxDelay = faultLoss, faultMaxDelay
	for i := 0; i < steps && f.violation() == ""; i++ {
		f.step(time.Duration(f.rng.Int64N(int64(2 * stepTime))))
		f.randomUse()
		f.randomFault()
	}
}

func (f *fleet) randomUse() {
	for range takesPerStep {
		e := f.entries[f.rng.IntN(len(f.entries))]
		f.withdrawAll(e)
		f.take(e, "workspace/a")
		f.take(e, "workspace/a")
		f.take(e, "workspace/b")
		f.take(e, "endpoint/x")
		if f.rng.IntN(2) == 0 {
			if _, inUse := e.holder.Units(e.clock(f.now), "endpoint/x"); inUse > 0 {
				e.holder.Release(e.clock(f.now), "endpoint/x", 1)
			}
		}
	}
}

func (f *fleet) randomFault() {
	c := f.controls[f.rng.IntN(len(f.controls))]
	e := f.entries[f.rng.IntN(len(f.entries))]
	switch f.rng.IntN(300) {
	case 0:
		f.startOwner(c)
	case 1:
		f.startHolder(e)
	case 2:
		f.changeOwners(f.randomOwners())
	case 3, 4:
		c.isolated = !c.isolated
	case 5, 6:
		e.isolated = !e.isolated
	case 7, 8, 9, 10, 11, 12:
		f.propagateEpoch()
	case 13, 14:
		f.announceOwners()
	case 15, 16:
		if e.isolated != e.absent { // an absent host registers again once it is in touch
			f.setAbsent(e, e.isolated)
		}
	}
}

func (f *fleet) randomOwners() []string {
	all := f.allControls()
	f.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+f.rng.IntN(len(all))]
}

// TestLimitsHoldUnderRandomFaults checks that the hosts together never exceed a
// limit, whatever faults occur.
func TestLimitsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first := rapid.Uint64Range(0, maxSeed).Draw(rt, "first seed")
		for seed := first; seed < first+runsPerCheck; seed++ {
			f := newFleet(seed, 3, 4, testLimits)
			f.runRandomFaults(stepsPerRun)
			if v := f.violation(); v != "" {
				rt.Fatalf("seed %d: %s", seed, v)
			}
		}
	})
}

// TestSpendCheckDetectsInjectedFaults verifies that spendCheck reports a violation
// if an owner grants without waiting for the leases of its predecessor, or if clocks
// drift more than the configured allowance.
func TestSpendCheckDetectsInjectedFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"no quarantine": func(f *fleet) { f.noQuarantine = true },
		"drift": func(f *fleet) {
			for _, e := range f.entries {
				e.drift = 0.1
			}
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				f := newFleet(seed, 3, 4, testLimits)
				inject(f)
				f.runRandomFaults(stepsPerRun)
				if v := f.violation(); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatal("spendCheck reported no violation in any run with the injected fault")
		})
	}
}

// load is a stream of requests that are retried until they are granted or have
// waited longer than maxWait.
type load struct {
	fleet   *fleet
	key     string
	rate    float64 // requests per second over all hosts
	maxWait time.Duration
	waiting []waiting
	served  int
	refused int
	perHost map[string]int
	even    bool
}

type waiting struct {
	entry *entry
	since time.Duration
}

// run issues requests with exponential gaps, more of them at the first hosts unless
// even is set.
func (l *load) run(rng *rand.Rand, d time.Duration) {
	end := l.fleet.now + d
	next := l.fleet.now
	for l.fleet.now < end {
		l.fleet.step(stepTime)
		for ; next < l.fleet.now; next += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)) {
			n := len(l.fleet.entries)
			at := rng.IntN(n)
			if !l.even {
				at = min(at, rng.IntN(n))
			}
			e := l.fleet.entries[at]
			e.holder.Offer(e.clock(l.fleet.now), l.key, 1)
			if !l.fleet.retry(e, l.key) {
				l.waiting = append(l.waiting, waiting{entry: e, since: l.fleet.now})
				continue
			}
			l.done(e)
		}
		l.retry()
	}
}

func (l *load) done(e *entry) {
	l.served++
	l.perHost[e.name]++
}

func (l *load) retry() {
	var remaining []waiting
	for _, w := range l.waiting {
		switch {
		case l.fleet.retry(w.entry, l.key):
			l.done(w.entry)
		case l.fleet.now-w.since > l.maxWait:
			l.refused++
			w.entry.holder.Withdraw(l.key, 1)
		default:
			remaining = append(remaining, w)
		}
	}
	l.waiting = remaining
}

func newLoad(f *fleet, key string, rate float64) *load {
	return &load{fleet: f, key: key, rate: rate, maxWait: 3 * time.Second, perHost: map[string]int{}}
}

// TestLoadWithinRateIsServed issues 85% of a rate through 9 hosts while the owners
// restart and the set of owners is replaced. No request may be refused.
func TestLoadWithinRateIsServed(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 3, 9, map[string]Limit{"workspace/a": {Rate: 200, Burst: 100}})
		l := newLoad(f, "workspace/a", 170)
		rng := rand.New(rand.NewPCG(seed, 9))
		l.run(rng, 10*time.Second)
		for _, c := range f.controls {
			f.startOwner(c)
		}
		l.run(rng, 10*time.Second)
		f.changeOwners([]string{"c1"})
		f.propagateEpoch()
		l.run(rng, 20*time.Second)
		if l.refused > 0 || f.violation() != "" {
			t.Errorf("seed %d: %d of %d requests refused, want none; violation %q", seed, l.refused, l.served+l.refused, f.violation())
		}
	}
}

// TestOverloadUsesFullRate issues three times a rate. It guards against tokens that
// are lost under overload, and checks that the overload is reported.
func TestOverloadUsesFullRate(t *testing.T) {
	f := newFleet(1, 3, 9, map[string]Limit{"workspace/a": {Rate: 200, Burst: 100}})
	l := newLoad(f, "workspace/a", 600)
	l.run(rand.New(rand.NewPCG(1, 9)), 60*time.Second)
	if used := float64(l.served) / (200 * 60); used < 0.9 || f.violation() != "" {
		t.Fatalf("used %.2f of the rate, want at least 0.9; violation %q", used, f.violation())
	}
	if !f.entries[0].holder.Take(f.entries[0].clock(f.now), "workspace/a", 1000).Overloaded {
		t.Fatal("overload of the workspace is not reported")
	}
}

// TestReconnectSurgeNotReportedAsOverload issues the requests of two seconds at once,
// as callers do that reconnect after an interruption. Overload must not be reported for
// them, nor for the normal load that follows.
func TestReconnectSurgeNotReportedAsOverload(t *testing.T) {
	f := newFleet(1, 3, 3, map[string]Limit{"k": {Rate: 160, Burst: 10}})
	f.step(time.Millisecond)
	for i := range 200 {
		f.take(f.entries[i%len(f.entries)], "k")
	}
	overloadReported := func(d time.Duration) (overloaded bool) {
		for range int(d / (50 * time.Millisecond)) {
			for i := range 5 { // 100 a second
				f.take(f.entries[i%len(f.entries)], "k")
			}
			f.step(50 * time.Millisecond)
			for _, e := range f.entries {
				e.waiting = slices.DeleteFunc(e.waiting, func(key string) bool { return f.retry(e, key) })
				overloaded = overloaded || e.holder.Take(e.clock(f.now), "k", 1000).Overloaded
			}
		}
		return overloaded
	}
	if overloadReported(reconnectWindow - 100*time.Millisecond) {
		t.Error("the requests of reconnecting callers are reported as overload")
	}
	// Only the second period counts: the backlog is served in the first.
	if overloadReported(reconnectWindow); overloadReported(reconnectWindow) {
		t.Error("normal load is reported as overload")
	}
}

// TestUnitsReclaimedAfterHolderEnds checks that units held by a process that has
// ended become available to another host.
func TestUnitsReclaimedAfterHolderEnds(t *testing.T) {
	f := newFleet(1, 1, 2, map[string]Limit{"endpoint/x": {Burst: 4}})
	taken := func(e *entry) float64 {
		for range 200 {
			f.step(stepTime)
			f.withdrawAll(e)
			f.take(e, "endpoint/x")
		}
		_, inUse := e.holder.Units(e.clock(f.now), "endpoint/x")
		return inUse
	}
	if got := taken(f.entries[0]); got != 4 {
		t.Fatalf("one holder got %v of 4 units", got)
	}
	if got := taken(f.entries[1]); got != 0 {
		t.Fatalf("the second holder got %v units while the first uses all, want 0", got)
	}
	f.startHolder(f.entries[0])
	if got := taken(f.entries[1]); got != 4 {
		t.Fatalf("the second holder got %v of 4 units after the first ended", got)
	}
}

// TestSmallRateUsedWithShortWaits issues twice a rate of a few tokens per
// second and host, from callers that wait at most 100 ms. It guards against tokens
// lost in the buckets of hosts without requests: at least seven eighths of the rate
// must be used.
func TestSmallRateUsedWithShortWaits(t *testing.T) {
	const rate = 20.0
	used := 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		f := newFleet(seed, 3, 9, map[string]Limit{"workspace/a": {Rate: rate, Burst: rate}})
		l := newLoad(f, "workspace/a", 2*rate)
		l.maxWait = 100 * time.Millisecond
		l.run(rand.New(rand.NewPCG(seed, 9)), 60*time.Second)
		used += float64(l.served) / (rate * 60) / seeds
		if v := f.violation(); v != "" {
			t.Error(v)
		}
	}
	if used < 7.0/8 {
		t.Errorf("used %.2f of the rate, want at least 0.875", used)
	}
}

// Sizes of a fleet in which the requests of a workspace are spread thinly: each host gets
// one of them every nine seconds or so.
const (
	thinHosts = 83
	thinRate  = 14.0
	thinLoad  = thinRate / 1.6
)

// TestSmallRateServedOnManyHosts guards against refusals inside a rate whose requests
// reach more hosts than its burst has tokens.
func TestSmallRateServedOnManyHosts(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 5, thinHosts, map[string]Limit{"workspace/a": {Rate: thinRate, Burst: thinRate}})
		l := newLoad(f, "workspace/a", thinLoad)
		l.even, l.maxWait = true, 800*time.Millisecond
		l.run(rand.New(rand.NewPCG(seed, 9)), 60*time.Second)
		if l.refused > 0 || f.violation() != "" {
			t.Errorf("seed %d: %d of %d requests refused, want none; violation %q", seed, l.refused, l.served+l.refused, f.violation())
		}
	}
}

// TestWaitingRequestsBoundMessages guards against hosts that flood the owners of a rate
// while requests wait. The bound is the traffic of control that the fleet allows a host,
// 27 KB a second, at 8.7 requests a second and host.
func TestWaitingRequestsBoundMessages(t *testing.T) {
	const maxBytesPerRequest = 27_000 / 8.7
	for _, offered := range []float64{thinLoad, 2 * thinRate} {
		f := newFleet(1, 5, thinHosts, map[string]Limit{"workspace/a": {Rate: thinRate, Burst: thinRate}})
		l := newLoad(f, "workspace/a", offered)
		l.even, l.maxWait = true, 800*time.Millisecond
		l.run(rand.New(rand.NewPCG(1, 9)), 10*time.Second) // until every host has reported its leases
		sent, before := 0, l.served+l.refused
		f.bytes = func(msg any) { sent += encodedSize(t, msg) }
		l.run(rand.New(rand.NewPCG(2, 9)), 30*time.Second)
		if perRequest := float64(sent) / float64(l.served+l.refused-before); perRequest > maxBytesPerRequest {
			t.Errorf("%.0f requests a second: %.0f bytes per request, want at most %.0f", offered, perRequest, maxBytesPerRequest)
		}
	}
}

// encodedSize returns the size of a message on the wire, without its envelope.
func encodedSize(t *testing.T, msg any) int {
	t.Helper()
	data, err := cbor.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// TestThinRateKeepsItsTokens has more and more requests wait at each host of a returning fleet,
// faster than the answers of the owner arrive. It guards against tokens that are lost because
// those on their way count twice.
func TestThinRateKeepsItsTokens(t *testing.T) {
	const hosts, each = 10, 4
	now := start
	o := NewOwner(Config{}, "c", 1, now)
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetEpoch(now, 1, []string{"c"})
	var holders []HolderID
	for i := range 2 * hosts * each {
		holders = append(holders, HolderID{fmt.Sprint("h", i), 1})
	}
	o.SetHolders(now, holders, nil)
	o.SetLimit(now, "k", Limit{Rate: 0.001, Burst: hosts * each}, true)
	granted := 0.0
	for waiting := range each {
		for _, id := range holders[:hosts] {
			reply := o.Handle(now, Request{
				Host: id.Host, Incarnation: 1, Epoch: 1, OwnerIncarnation: 1, Seq: uint64(waiting + 1),
				Keys: []KeyRequest{{Key: "k", Waiting: float32(waiting + 1)}},
			})
			granted += reply.Grants[0].Tokens
		}
		now = now.Add(10 * time.Millisecond)
	}
	if granted < hosts*each {
		t.Errorf("%.0f of %d tokens granted", granted, hosts*each)
	}
}

// TestGrantTellsBacklog has more requests wait for a small rate than it has tokens. The grants
// tell how long that lasts beside the requests that arrive, and nothing while there are tokens.
func TestGrantTellsBacklog(t *testing.T) {
	now := start
	o := NewOwner(Config{}, "c", 1, now)
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetEpoch(now, 1, []string{"c"})
	o.SetHolders(now, make([]HolderID, 20), nil)
	o.SetLimit(now, "k", Limit{Rate: 10, Burst: 10}, true)
	ask := func(seq uint64, waiting, demand float32) Grant {
		return o.Handle(now, Request{
			Host: "h", Incarnation: 1, Epoch: 1, OwnerIncarnation: 1, Seq: seq, Keys: []KeyRequest{{Key: "k", Waiting: waiting, Demand: demand}},
		}).Grants[0]
	}
	if g := ask(1, 2, 2); g.BacklogMS != 0 {
		t.Errorf("a backlog of %d ms although there are tokens", g.BacklogMS)
	}
	if g := ask(2, 40, 46); g.BacklogMS < 5000 || g.BacklogMS > 15000 {
		t.Errorf("a backlog of %d ms for some 30 requests that get 4 to 6 tokens a second", g.BacklogMS)
	}
}
