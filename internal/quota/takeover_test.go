package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// TestOwnerTakeoverGrantsOnceAllLeasesReported moves a key to a new owner while
// every holder is reachable. It guards against a new owner that waits until unknown
// leases have expired although all holders have reported theirs.
func TestOwnerTakeoverGrantsOnceAllLeasesReported(t *testing.T) {
	f := newFleet(1, 2, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	f.step(time.Millisecond)
	f.take(f.entries[0], "k")
	for range 20 {
		f.step(50 * time.Millisecond)
	}
	former := f.controls[0]
	if former.owner.keys["k"] == nil {
		former = f.controls[1]
	}
	var remaining []string
	for _, c := range f.controls {
		if c != former {
			remaining = append(remaining, c.name)
		}
	}
	f.changeOwners(remaining)
	f.propagateEpoch()
	granted := 0
	for range 40 { // two seconds, less than the default of Config.OwnerLease alone
		f.step(50 * time.Millisecond)
		f.take(f.entries[1], "k") // had no share under the former owner
	}
	for _, e := range f.entries {
		if e.holder.Rate(e.clock(f.now), "k") > 0 {
			granted++
		}
	}
	if granted == 0 || f.entries[1].holder.Rate(f.entries[1].clock(f.now), "k") == 0 {
		t.Error("new holder got no share within two seconds")
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestOwnerTakeoverIsolatedHolderStaysWithinLimit isolates a holder with a lease
// while the owner changes. The holder keeps spending under its lease, so the new
// owner must not grant that share to others before the lease has expired.
func TestOwnerTakeoverIsolatedHolderStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 2, 3, map[string]Limit{"k": {Rate: 20, Burst: 20}})
		f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.step(time.Millisecond)
		for range 20 {
			f.take(f.entries[0], "k")
			f.step(50 * time.Millisecond)
		}
		f.entries[0].isolated = true
		f.changeOwners([]string{f.controls[rapid.IntRange(0, 1).Draw(t, "owner")].name})
		f.propagateEpoch()
		for range 200 {
			f.step(50 * time.Millisecond)
			f.take(f.entries[0], "k") // keeps spending under its lease
			f.take(f.entries[1], "k")
			f.take(f.entries[2], "k")
		}
		if v := f.violation(); v != "" {
			t.Error(v)
		}
	})
}

// TestFleetRestartBucketsRefillWhileDown restarts every process, lets a second pass
// without spending, and then requests the tokens accrued meanwhile. It guards
// against buckets that start empty after a restart of the whole fleet.
func TestFleetRestartBucketsRefillWhileDown(t *testing.T) {
	f := newFleet(1, 2, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	for range 200 {
		f.take(f.entries[0], "k")
		f.step(10 * time.Millisecond)
	}
	f.net = nil
	for _, e := range f.entries {
		f.startHolder(e)
	}
	for _, c := range f.controls {
		f.startOwner(c)
	}
	const down = time.Second
	f.loss = 1 // hosts cannot reach each other yet
	for range 20 {
		f.step(down / 20)
	}
	f.loss = 0
	for range 4 {
		f.step(50 * time.Millisecond)
	}
	offered, waiting := 0, 0
	for range 20 { // a second
		for _, e := range f.entries {
			for range 4 {
				f.take(e, "k")
				offered++
			}
		}
		f.step(50 * time.Millisecond)
		for _, e := range f.entries {
			e.waiting = slices.DeleteFunc(e.waiting, func(key string) bool { return f.retry(e, key) })
		}
	}
	for _, e := range f.entries {
		waiting += len(e.waiting)
	}
	if served := offered - waiting; served < 150 { // three quarters
		t.Errorf("served %d of about 200 requests after an idle second, want at least 150", served)
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestOwnerAcceptsLeaseReportBeforeRegistration reports all leases of a process to
// an owner that is informed of the process only afterwards. The report must still
// end the quarantine.
func TestOwnerAcceptsLeaseReportBeforeRegistration(t *testing.T) {
	now := start
	o := NewOwner(Config{}, "c", 1, now)
	o.SetEpoch(now, 1, []string{"c"})
	o.SetHolders(now, []HolderID{{"h", 1}}, nil)
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetLimit(now, "k", Limit{Rate: 10, Burst: 10}, false)
	o.Handle(now, Request{Host: "h", Incarnation: 2, Epoch: 1, OwnerIncarnation: 1, Seq: 1, Complete: true})
	o.SetHolders(now, []HolderID{{"h", 2}}, nil)
	reply := o.Handle(now, Request{Host: "h", Incarnation: 2, Epoch: 1, OwnerIncarnation: 1, Seq: 2, Keys: []KeyRequest{{Key: "k", Demand: 1}}})
	if len(reply.Grants) != 1 || reply.Grants[0].Share.Rate == 0 {
		t.Errorf("grants %+v, want one with a rate", reply.Grants)
	}
}

// TestOwnerRestartIdleHoldersReport restarts an owner while most holders use none of its
// keys. It guards against an owner that waits for unknown leases to expire because holders
// without a request for it never learn of its new process.
func TestOwnerRestartIdleHoldersReport(t *testing.T) {
	f := newFleet(1, 3, 20, map[string]Limit{"k": {Rate: 40, Burst: 20}})
	for range 40 {
		f.take(f.entries[0], "k")
		f.step(50 * time.Millisecond)
	}
	f.withdrawAll(f.entries[0])
	for _, c := range f.controls {
		if c.owner.keys["k"] != nil {
			f.startOwner(c)
		}
	}
	f.announceOwners()
	f.run(500 * time.Millisecond)
	e := f.entries[1] // had no share before
	for range 20 {    // a second
		f.take(e, "k")
		f.run(50 * time.Millisecond)
		e.waiting = slices.DeleteFunc(e.waiting, func(key string) bool { return f.retry(e, key) })
	}
	if len(e.waiting) > 2 {
		t.Errorf("%d of 20 requests at half of the rate wait after a second and a half, want at most 2", len(e.waiting))
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestEpochChangeKeepsSharesOfKeptKeys changes the owners while a holder uses most of a rate
// whose owner stays. It guards against equal shares for all holders after the change: the
// owner has known all leases of the key throughout.
func TestEpochChangeKeepsSharesOfKeptKeys(t *testing.T) {
	now := start
	o := NewOwner(Config{}, "c", 1, now)
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetEpoch(now, 1, []string{"c"})
	o.SetHolders(now, []HolderID{{"busy", 1}, {"idle", 1}, {"other", 1}, {"another", 1}}, nil)
	o.SetLimit(now, "k", Limit{Rate: 400, Burst: 40}, true)
	seq := uint64(0)
	ask := func(host string, epoch uint64, keys ...KeyRequest) Reply {
		seq++
		return o.Handle(now, Request{Host: host, Incarnation: 1, Epoch: epoch, OwnerIncarnation: 1, Seq: seq, Complete: true, Keys: keys})
	}
	report := func(epoch uint64) {
		for _, host := range []string{"idle", "other", "another"} {
			ask(host, epoch)
		}
	}
	report(1)
	ask("busy", 1, KeyRequest{Key: "k", Demand: 300})
	now = now.Add(10 * time.Second)
	granted := ask("busy", 1, KeyRequest{Key: "k", Demand: 300}).Grants[0]
	o.SetEpoch(now, 2, []string{"c"})
	held := &HeldLease{Stamp: Stamp{Epoch: 1, Incarnation: 1, ID: granted.ID}, Share: granted.Share, RemainingMS: 8000}
	ask("busy", 2, KeyRequest{Key: "k", Demand: 300, Lease: held})
	report(2)
	if got := ask("busy", 2, KeyRequest{Key: "k", Demand: 300, Lease: held}).Grants[0].Share.Rate; got < 300 {
		t.Errorf("rate %.0f after the change of the owners, want at least the demand of 300", got)
	}
}

// TestRatesEndWithConfigurationLease cuts off a holder whose callers wait, takes back its
// shares when its configuration lease has ended, and gives it another lease. It guards
// against a share that is spent by its former holder and by those that got it since.
func TestRatesEndWithConfigurationLease(t *testing.T) {
	f := newFleet(1, 1, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	cut, owner := f.entries[0], f.controls[0]
	for range 200 {
		f.take(cut, "k")
		f.run(15 * time.Millisecond)
	}
	f.withdrawAll(cut)
	cut.isolated = true
	for range 40 { // two seconds
		cut.holder.Offer(cut.clock(f.now), "k", 1)
		cut.holder.Withdraw("k", 1)
		f.run(50 * time.Millisecond)
	}
	owner.owner.EndRates(owner.clock(f.now), cut.name, cut.incarnation)
	spend := func(d time.Duration, hosts ...*entry) {
		for range int(d / (50 * time.Millisecond)) {
			for _, e := range hosts {
				for range 10 {
					f.take(e, "k")
				}
			}
			f.run(50 * time.Millisecond)
			for _, e := range hosts {
				e.waiting = slices.DeleteFunc(e.waiting, func(key string) bool { return f.retry(e, key) })
			}
		}
	}
	spend(time.Second, f.entries[1:]...)
	cut.holder.EndRates(cut.clock(f.now))
	spend(3*time.Second, f.entries...) // the cut holder has a lease again, but does not reach the owner
	if v := f.violation(); v != "" {
		t.Error(v)
	}
	cut.isolated = false
	f.withdrawAll(f.entries[1])
	f.withdrawAll(f.entries[2])
	f.run(2 * time.Second)
	if !f.retry(cut, "k") {
		t.Error("the holder got no share after its return")
	}
}

// TestQuarantineIsNoOverload restarts an owner while a holder cannot report. It guards
// against refusals that blame a workspace for a rate that nobody may hand out yet.
func TestQuarantineIsNoOverload(t *testing.T) {
	f := newFleet(1, 1, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	for range 100 {
		f.take(f.entries[0], "k")
		f.run(15 * time.Millisecond)
	}
	f.withdrawAll(f.entries[0])
	f.entries[2].isolated = true
	f.startOwner(f.controls[0])
	f.announceOwners()
	e := f.entries[1]
	for range 40 { // two seconds at the rate
		for range 5 {
			f.take(e, "k")
		}
		f.run(50 * time.Millisecond)
		if e.holder.Take(e.clock(f.now), "k", 1000).Overloaded {
			t.Fatalf("overload reported %v after the restart of the owner", f.now)
		}
	}
	f.setAbsent(f.entries[2], true)
	f.run(500 * time.Millisecond)
	if !f.retry(e, "k") {
		t.Error("no token after the holder that cannot report was found absent")
	}
}

// TestBacklogServedAfterOwnerLoss loses the owner of a small rate on many holders for three
// seconds, the load of an election after the control hosts have lost power. It guards against
// callers that wait for tokens although none were spent in that time.
func TestBacklogServedAfterOwnerLoss(t *testing.T) {
	const perSecond, outage = 8, 3
	for _, restartHolders := range []bool{false, true} {
		f := newFleet(1, 2, 40, map[string]Limit{"k": {Rate: 13, Burst: 13, IdleBurst: 14}})
		turn := 0
		load := func(d time.Duration) {
			for range int(d.Seconds() * perSecond) {
				turn++
				f.take(f.entries[turn*7%len(f.entries)], "k")
				f.run(time.Second / perSecond)
				f.retryAll("k")
			}
		}
		load(12 * time.Second)
		f.loss = 1
		if restartHolders {
			f.net = nil
			for _, e := range f.entries {
				f.startHolder(e)
			}
		}
		load(outage * time.Second)
		for _, c := range f.controls {
			f.startOwner(c)
		}
		f.announceOwners()
		f.loss = 0
		for range 10 { // half a second
			f.run(50 * time.Millisecond)
			f.retryAll("k")
		}
		waiting := 0
		for _, e := range f.entries {
			waiting += len(e.waiting)
		}
		if waiting > 2 {
			t.Errorf("holders restarted %t: %d of %d requests wait half a second after the return of the owner, want at most 2", restartHolders, waiting, perSecond*outage)
		}
		if v := f.violation(); v != "" {
			t.Errorf("holders restarted %t: %s", restartHolders, v)
		}
	}
}

// TestSecondEpochEndsQuarantineOfFirst changes the owners twice before the holders have
// reported to those of the first change. It guards against keys that the second epoch takes
// for kept ones while their leases are unknown.
func TestSecondEpochEndsQuarantineOfFirst(t *testing.T) {
	f := newFleet(1, 3, 5, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	f.step(time.Millisecond)
	f.take(f.entries[0], "k")
	f.run(time.Second)
	owner := 0
	for i, c := range f.controls {
		if c.owner.keys["k"] != nil {
			owner = i
		}
	}
	left, last := f.controls[(owner+1)%3], f.controls[(owner+2)%3]
	if rendezvous.Owner([]string{left.name, last.name}, "k") == left.name {
		left, last = last, left
	}
	f.changeOwners([]string{left.name, last.name})
	f.propagateEpoch()
	for range 2 { // the key is taken over, but no holder has reported all its leases
		f.take(f.entries[1], "k")
		for _, b := range f.entries[1].holder.Requests(f.entries[1].clock(f.now)) {
			b.Request.Complete = false
			f.send(message{from: f.entries[1].name, to: b.Owner, request: &b.Request})
		}
		f.now += 10 * time.Millisecond
		f.deliver()
	}
	f.changeOwners([]string{last.name})
	f.propagateEpoch()
	for range 20 { // a second
		f.take(f.entries[2], "k") // had no share under the former owner
		f.run(50 * time.Millisecond)
		f.retryAll("k")
	}
	if waiting := len(f.entries[2].waiting); waiting > 2 {
		t.Errorf("%d of 20 requests wait a second after the second change, want at most 2", waiting)
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// loseFleet ends all processes for a time and starts new ones, which reach each other only
// after another one. The checks allow the tokens of the restart from then on.
func (f *fleet) loseFleet(down, unreachable time.Duration) {
	for key, c := range f.checks {
		c.limit.Burst += f.limits[key].RestartBurst
		c.level += f.limits[key].RestartBurst
	}
	f.net = nil
	f.now += down
	for _, e := range f.entries {
		f.startHolder(e)
	}
	for _, c := range f.controls {
		f.startOwner(c)
	}
	f.loss = 1
	f.run(unreachable)
	f.loss = 0
	f.announceOwners()
}

// TestBacklogServedAfterLossOfFleet ends all processes for a second and a half, the load of a
// loss of power, while callers of a small rate go on. All of them come back as soon as the hosts
// may act. It guards against callers that wait for the tokens of buckets that were lost.
func TestBacklogServedAfterLossOfFleet(t *testing.T) {
	const perSecond, down, unreachable = 8, 1500 * time.Millisecond, 700 * time.Millisecond
	f := newFleet(1, 2, 40, map[string]Limit{"k": {Rate: 13, Burst: 13, RestartBurst: 14}})
	for i := range 10 * perSecond {
		f.take(f.entries[i*7%len(f.entries)], "k")
		f.run(time.Second / perSecond)
		f.retryAll("k")
	}
	f.loseFleet(down, unreachable)
	backlog := int((down + unreachable).Seconds() * perSecond)
	for i := range backlog {
		f.take(f.entries[i*7%len(f.entries)], "k")
	}
	for range 6 { // three hundred ms
		f.run(50 * time.Millisecond)
		f.retryAll("k")
	}
	waiting := 0
	for _, e := range f.entries {
		waiting += len(e.waiting)
	}
	if waiting > 1 {
		t.Errorf("%d of %d requests wait 300 ms after the hosts may act, want at most 1", waiting, backlog)
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestSpentAroundLossOfFleetBounded spends whatever the fleet has of a rate before all
// processes are lost and after they are back, at random times. Together that is at most the
// limit, what accrues while nobody can spend, and once more as much for the lost buckets.
func TestSpentAroundLossOfFleetBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 13, Burst: 13, IdleBurst: 5, RestartBurst: 14}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 2, 5, map[string]Limit{"k": limit})
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		spend := func(d time.Duration) {
			for end := f.now + d; f.now < end; f.run(50 * time.Millisecond) {
				for _, e := range f.entries {
					f.take(e, "k")
				}
				f.retryAll("k")
			}
		}
		spend(ms("before", 3000))
		f.loseFleet(ms("down", 2000), ms("unreachable", 1000))
		spend(3 * time.Second)
		if v := f.violation(); v != "" {
			t.Error(v)
		}
	})
}

// newRestartedOwner returns the second process of the only owner, in the first epoch, which owns a
// rate of 10 tokens a second.
func newRestartedOwner(now time.Time) *Owner {
	o := NewOwner(Config{}, "c", 2, now)
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetEpoch(now, 1, []string{"c"})
	o.SetLimit(now, "k", Limit{Rate: 10, Burst: 10, RestartBurst: 5}, false)
	return o
}

// TestRestartedOwnerKnowsFormerProcessesEnded starts an owner whose stored state names the
// former processes of all hosts, as after a loss of power, before the new ones register. It
// guards against taking a process that was replaced by a newer one of its host for one that may
// have spent tokens until then: the buckets would begin empty while all callers come back.
func TestRestartedOwnerKnowsFormerProcessesEnded(t *testing.T) {
	now := start
	o := newRestartedOwner(now)
	processes := []HolderID{{"a", 1}, {"b", 1}, {"d", 1}}
	o.SetHolders(now, processes, nil)
	for i := range processes { // they register one after the other
		now = now.Add(200 * time.Millisecond)
		processes[i].Incarnation = 2
		o.SetHolders(now, slices.Clone(processes), nil)
	}
	now = now.Add(200 * time.Millisecond)
	for _, id := range processes {
		o.Handle(now, Request{
			Host: id.Host, Incarnation: 2, Epoch: 1, OwnerIncarnation: 2, Seq: 1, Complete: true, New: true, IdleMS: 800,
		})
	}
	reply := o.Handle(now, Request{
		Host: "a", Incarnation: 2, Epoch: 1, OwnerIncarnation: 2, Seq: 2, Keys: []KeyRequest{{Key: "k", Demand: 1, Waiting: 20}},
	})
	if len(reply.Grants) != 1 {
		t.Fatalf("%d grants, want one", len(reply.Grants))
	}
	// The rate of 0.8 s, and what replaces the lost buckets.
	if tokens := reply.Grants[0].Tokens + o.keys["k"].pool.level; tokens < 12.5 {
		t.Errorf("%.1f tokens after the restart, want 13: 0.8 s of the rate and the 5 of the restart", tokens)
	}
}

// TestDepartedProcessMayHaveSpent removes a process that has reported nothing and has no
// successor. It may have spent tokens until it left.
func TestDepartedProcessMayHaveSpent(t *testing.T) {
	now := start
	o := newRestartedOwner(now)
	o.SetHolders(now, []HolderID{{"a", 2}, {"b", 1}}, nil)
	o.Handle(now, Request{Host: "a", Incarnation: 2, Epoch: 1, OwnerIncarnation: 2, Seq: 1, Complete: true, New: true, IdleMS: 800})
	now = now.Add(time.Second)
	o.SetHolders(now, []HolderID{{"a", 2}}, nil)
	reply := o.Handle(now, Request{
		Host: "a", Incarnation: 2, Epoch: 1, OwnerIncarnation: 2, Seq: 2, Keys: []KeyRequest{{Key: "k", Demand: 1, Waiting: 20}},
	})
	if level := o.keys["k"].pool.level; len(reply.Grants) != 1 || reply.Grants[0].Tokens+level > 0 {
		t.Errorf("%v granted and %v tokens left right after a process left that may have spent some, want none", reply.Grants, level)
	}
}

// TestSurvivorGetsNoCreditForLostBuckets restarts the owner and all holders but one. The tokens
// that the last one holds are known, so that nothing is granted in place of lost ones.
func TestSurvivorGetsNoCreditForLostBuckets(t *testing.T) {
	now := start
	o := NewOwner(Config{}, "c", 1, now)
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetEpoch(now, 1, []string{"c"})
	o.SetHolders(now, []HolderID{{"new", 1}, {"old", 1}}, nil)
	o.SetLimit(now, "k", Limit{Rate: 10, Burst: 10, RestartBurst: 5}, false)
	report := func(host string, isNew bool) {
		o.Handle(now, Request{Host: host, Incarnation: 1, Epoch: 1, OwnerIncarnation: 1, Seq: 1, Complete: true, New: isNew})
	}
	report("new", true)
	report("old", false)
	o.Handle(now, Request{Host: "new", Incarnation: 1, Epoch: 1, OwnerIncarnation: 1, Seq: 2, Keys: []KeyRequest{{Key: "k", Demand: 1}}})
	if level := o.keys["k"].pool.level; level > 0 {
		t.Errorf("%v tokens in the bucket, want none", level)
	}
}

// TestOwnerUnknownToHolder checks when a holder counts the owner of a key as unknown: it leaves
// a request unanswered, or does not know all leases.
func TestOwnerUnknownToHolder(t *testing.T) {
	f := newFleet(1, 1, 2, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	e := f.entries[0]
	unknown := func() bool { return e.holder.UnknownIn(e.clock(f.now), "k") == 0 }
	f.take(e, "k")
	f.run(time.Second)
	if unknown() {
		t.Error("unknown although it answers")
	}
	f.loss = 1
	f.run(2 * time.Second)
	if !unknown() {
		t.Error("known although it leaves requests unanswered")
	}
	f.loss = 0
	f.entries[1].isolated = true
	f.startOwner(f.controls[0])
	f.announceOwners()
	e.holder.EndRates(e.clock(f.now))
	f.take(e, "k")
	f.run(500 * time.Millisecond)
	if !unknown() {
		t.Error("known although it does not know all leases")
	}
	f.setAbsent(f.entries[1], true)
	f.run(500 * time.Millisecond)
	f.take(e, "k")
	f.run(500 * time.Millisecond)
	if unknown() {
		t.Error("unknown although it knows all leases")
	}
}

// TestLimitRemovedAndAddedKeepsLeases takes a limit away and puts it back while a holder has a
// lease of it and reaches nobody, as a workspace that is withdrawn and added again. It guards
// against a whole limit beside the lease.
func TestLimitRemovedAndAddedKeepsLeases(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 20}
	f := newFleet(1, 1, 2, map[string]Limit{"k": limit})
	cut, owner := f.entries[0], f.controls[0]
	for range 40 {
		f.take(cut, "k")
		f.run(50 * time.Millisecond)
	}
	f.withdrawAll(cut)
	cut.isolated = true
	owner.owner.SetLimit(owner.clock(f.now), "k", Limit{}, false)
	f.run(100 * time.Millisecond)
	owner.owner.SetLimit(owner.clock(f.now), "k", limit, false)
	for range 100 { // five seconds, less than a lease
		for _, e := range f.entries {
			for range 3 {
				f.take(e, "k")
			}
		}
		f.run(50 * time.Millisecond)
		f.retryAll("k")
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
	f.withdrawAll(cut)
	f.run(6 * time.Second) // the lease has ended
	f.withdrawAll(f.entries[1])
	f.take(f.entries[1], "k")
	f.run(500 * time.Millisecond)
	if f.retryAll("k"); len(f.entries[1].waiting) > 0 {
		t.Error("the limit is not available after the end of the lease")
	}
}

// TestReleaseExpectsNoReply gives back a share and leaves the request unanswered, as owners do. It
// guards against a host that takes its owner for unknown, and spends its reserve, because it has
// given back a token.
func TestReleaseExpectsNoReply(t *testing.T) {
	now := start
	h := NewHolder(Config{}, "h", 1, now)
	h.SetEpoch(1, []string{"c"})
	h.ObserveOwner("c", 1)
	answer := func(b Batch, grants ...Grant) {
		h.Receive(now, Reply{Owner: "c", Epoch: 1, Incarnation: 1, HolderIncarnation: 1, Seq: b.Request.Seq, LeaseMS: 8000, Complete: b.Request.Complete, Grants: grants})
	}
	h.Offer(now, "k", 1)
	h.Take(now, "k", 1)
	b := h.Requests(now)[0]
	if !b.Request.ExpectsReply() {
		t.Fatalf("%+v asks for a token and expects no reply", b.Request)
	}
	answer(b, Grant{Key: "k", ID: 1, Share: Share{Burst: 1}, Tokens: 1})
	if !h.Take(now, "k", 1).Granted {
		t.Fatal("the token was not granted")
	}
	released := false
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		for _, b := range h.Requests(now) {
			if b.Request.ExpectsReply() {
				answer(b)
				continue
			}
			released = true
		}
	}
	if !released {
		t.Fatal("the share was not given back")
	}
	if h.UnknownIn(now, "k") == 0 {
		t.Error("the owner counts as unknown after a share was given back")
	}
}
