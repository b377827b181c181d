package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/quota"
)

// heapBytes returns the size of the heap after two garbage collections.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureState measures agreed states with several numbers of workspaces: the
// memory that a host needs for the decoded snapshot, the size of the snapshot and
// the time to apply a delta.
func (r *run) measureState() error {
	var memory, encoded, apply []Point
	for _, n := range r.plan.Workspaces {
		state := workspaceState(n)
		data, err := state.Encode()
		if err != nil {
			return err
		}
		workspaces := float64(n)
		memoryBytes, err := decodedMemoryBytes(data)
		if err != nil {
			return err
		}
		memory = append(memory, Point{workspaces, memoryBytes})
		encoded = append(encoded, Point{workspaces, float64(len(data))})
		seconds, err := patchSeconds(state)
		if err != nil {
			return err
		}
		apply = append(apply, Point{workspaces, seconds})
	}
	r.addSlope(SlopeStateMemory, "workspaces with 2 keys", "B", memory)
	r.addSlope(SlopeStateBytes, "workspaces with 2 keys", "B", encoded)
	r.addSlope(SlopeApplyCPU, "workspaces with 2 keys", "s", apply)
	return r.measureHostsAndDatabases()
}

// measureHostsAndDatabases measures the memory of the hosts and databases of an
// agreed state.
func (r *run) measureHostsAndDatabases() error {
	var hosts, databases []Point
	for _, n := range []int{500, 1000, 2000} {
		state := agreed.New()
		state.Hosts = make(map[string]agreed.Host, n)
		for i := range n {
			id := fmt.Sprintf("host-%d", i)
			state.Hosts[id] = agreed.Host{ID: id, PeerAddr: "10.0.0.1:7070", Domain: "domain-1", Incarnation: uint64(i) + 1, Entry: true}
		}
		memoryBytes, err := stateMemoryBytes(state)
		if err != nil {
			return err
		}
		hosts = append(hosts, Point{float64(n), memoryBytes})
		if memoryBytes, err = stateMemoryBytes(databaseState(n)); err != nil {
			return err
		}
		databases = append(databases, Point{float64(n), memoryBytes})
	}
	r.addSlope(SlopeHostMemory, "hosts", "B", hosts)
	r.addSlope(SlopeDBMemory, "databases with 3 endpoints", "B", databases)
	r.measureAssignment()
	return nil
}

// Size of the fleet for which the assignment of watchers is measured.
const (
	assignHosts   = 2000
	assignDomains = 11
	assignRegions = 4
)

// measureAssignment measures how long a host takes to compute which endpoints it
// watches, which it does after each change of the agreed state.
func (r *run) measureAssignment() {
	var watchers []failover.Watcher
	for i := range assignHosts {
		domain := i % assignDomains
		watchers = append(watchers, failover.Watcher{
			Host:   fmt.Sprintf("host-%d", i),
			Domain: fmt.Sprintf("domain-%d", domain),
			Region: fmt.Sprintf("region-%d", domain%assignRegions),
		})
	}
	var points []Point
	for _, n := range []int{500, 2000, 6600} {
		begin := time.Now()
		electorate := failover.NewElectorate(watchers)
		for i := range n {
			electorate.Watches("host-1", "domain-1", fmt.Sprintf("endpoint-%d", i))
		}
		points = append(points, Point{float64(n), time.Since(begin).Seconds()})
	}
	r.addSlope(SlopeAssignCPU, "endpoints at 2,000 hosts", "s", points)
}

// stateMemoryBytes returns the heap that a host needs for the state after it has
// decoded a snapshot.
func stateMemoryBytes(state *agreed.State) (float64, error) {
	data, err := state.Encode()
	if err != nil {
		return 0, err
	}
	return decodedMemoryBytes(data)
}

// decodedMemoryBytes returns the heap that the state encoded in data needs.
func decodedMemoryBytes(data []byte) (float64, error) {
	before := heapBytes()
	state, err := agreed.Decode(data)
	if err != nil {
		return 0, err
	}
	size := heapBytes() - before
	runtime.KeepAlive(state)
	runtime.KeepAlive(data)
	return size, nil
}

// sampleVerifier has the length of the verifier of a real key.
const sampleVerifier = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
	"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=:AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

// workspaceState returns a state of n workspaces with two keys each.
func workspaceState(n int) *agreed.State {
	state := agreed.New()
	state.Revision = 1
	state.Catalog.Workspaces = make(map[string]note.Workspace, n)
	state.Catalog.Keys = make(map[string]note.Key, 2*n)
	for i := range n {
		name := fmt.Sprintf("workspace-%d", i)
		state.Catalog.Workspaces[name] = note.Workspace{Name: name, Rate: 100, Burst: 50, Class: note.ClassInteractive}
		for k := range 2 {
			id := fmt.Sprintf("%s-key-%d", name, k)
			state.Catalog.Keys[id] = note.Key{ID: id, Workspace: name, Verifier: fmt.Sprintf("%s%d", sampleVerifier, i)}
		}
	}
	return state
}

// databaseState returns a state of n databases with three endpoints each.
func databaseState(n int) *agreed.State {
	state := agreed.New()
	state.Catalog.Services = make(map[string]note.Service, n)
	state.Groups = make(map[string]agreed.Group, n)
	state.Endpoints = make(map[string]agreed.Endpoint, 3*n)
	for i := range n {
		name := fmt.Sprintf("service-%d", i)
		state.Catalog.Services[name] = note.Service{Name: name, Endpoints: 3, Slots: 5, Connections: 50, Database: name, User: "bridge", Password: "password"}
		g := agreed.Group{Service: name, Term: 1, Phase: agreed.PhaseActive, Timeline: 1}
		for e := range 3 {
			id := fmt.Sprintf("%s-%d", name, e)
			g.Members = append(g.Members, id)
			state.Endpoints[id] = agreed.Endpoint{ID: id, Service: name, Addr: "10.0.0.1:5432", Domain: "domain-1"}
		}
		g.Primary = g.Members[0]
		state.Groups[name] = g
	}
	return state
}

// patchRuns is the number of applications over which patchSeconds averages.
const patchRuns = 20

// patchSeconds returns the time to apply a delta that changes one workspace.
func patchSeconds(state *agreed.State) (float64, error) {
	changed := *state
	changed.Revision++
	changed.Catalog.Workspaces = make(map[string]note.Workspace, len(state.Catalog.Workspaces))
	for name, w := range state.Catalog.Workspaces {
		changed.Catalog.Workspaces[name] = w
	}
	w := changed.Catalog.Workspaces["workspace-0"]
	w.Rate++
	changed.Catalog.Workspaces["workspace-0"] = w
	delta := agreed.Diff(state, &changed)
	begin := time.Now()
	for range patchRuns {
		if _, err := agreed.Patch(state, delta); err != nil {
			return 0, err
		}
	}
	return time.Since(begin).Seconds() / patchRuns, nil
}

// Load of each (host, key) pair and simulated times of the quota measurement.
const (
	pairRequestsPerSecond = 10
	quotaTick             = 100 * time.Millisecond
	quotaWarmUp           = 5 * time.Second
	quotaWindow           = 10 * time.Second
	quotaHolders          = 10
)

// quotaCost is the cost of all pairs over a simulated time.
type quotaCost struct {
	holder, owner time.Duration // time spent in the calls, including encoding and decoding
	bytes         int           // encoded requests and replies
}

// measureQuota measures quotaHolders holders and one owner that exchange encoded
// messages in this process. A pair is one key at one holder.
func (r *run) measureQuota() error {
	var holder, owner, bytes, memory []Point
	for _, keys := range r.plan.QuotaKeys {
		before := heapBytes()
		q := newQuotaFleet(keys)
		if _, err := q.advance(quotaWarmUp); err != nil {
			return err
		}
		cost, err := q.advance(quotaWindow)
		if err != nil {
			return err
		}
		// The heap holds the state of the holders and the owner together. The model
		// attributes all of it to each of them, which is an upper bound.
		size := heapBytes() - before
		pairs := float64(keys * quotaHolders)
		seconds := quotaWindow.Seconds()
		holder = append(holder, Point{pairs, cost.holder.Seconds() / seconds})
		owner = append(owner, Point{pairs, cost.owner.Seconds() / seconds})
		bytes = append(bytes, Point{pairs, float64(cost.bytes) / seconds})
		memory = append(memory, Point{pairs, size})
		runtime.KeepAlive(q)
	}
	r.addSlope(SlopeQuotaHolderCPU, "active pairs", "CPU s/s", holder)
	r.addSlope(SlopeQuotaOwnerCPU, "active pairs", "CPU s/s", owner)
	r.addSlope(SlopeQuotaBytes, "active pairs", "B/s", bytes)
	r.addSlope(SlopeQuotaMemory, "active pairs", "B", memory)
	return nil
}

// quotaFleet is one quota owner and its holders under a simulated clock.
type quotaFleet struct {
	owner   *quota.Owner
	holders []*quota.Holder
	keys    []string
	now     time.Time
}

// newQuotaFleet returns a fleet of quotaHolders holders that share the given
// number of keys. The limits are twice the demand.
func newQuotaFleet(keys int) *quotaFleet {
	q := &quotaFleet{now: time.Now()}
	q.owner = quota.NewOwner(quota.Config{}, "control-1", 1, q.now)
	q.owner.SetEpoch(q.now, 1, []string{"control-1"})
	for i := range keys {
		key := fmt.Sprintf("rate:workspace-%d", i)
		q.keys = append(q.keys, key)
		rate := float64(2 * pairRequestsPerSecond * quotaHolders)
		q.owner.SetLimit(q.now, key, quota.Limit{Rate: rate, Burst: rate / 2}, true)
	}
	for i := range quotaHolders {
		h := quota.NewHolder(quota.Config{}, fmt.Sprintf("entry-%d", i), 1, time.Time{})
		h.SetEpoch(1, []string{"control-1"})
		q.holders = append(q.holders, h)
	}
	return q
}

// advance runs the fleet for a simulated time and returns its cost.
func (q *quotaFleet) advance(d time.Duration) (quotaCost, error) {
	var cost quotaCost
	for end := q.now.Add(d); q.now.Before(end); {
		q.now = q.now.Add(quotaTick)
		q.owner.SetOwnerLease(q.now.Add(time.Second))
		for _, h := range q.holders {
			for _, key := range q.keys {
				h.Offer(q.now, key, 1)
				h.Take(q.now, key, 1)
			}
			if err := q.exchange(h, &cost); err != nil {
				return cost, err
			}
		}
	}
	return cost, nil
}

// exchange sends the due requests of a holder to the owner, delivers the replies
// and adds the cost of both sides.
func (q *quotaFleet) exchange(h *quota.Holder, cost *quotaCost) error {
	begin := time.Now()
	batches := h.Requests(q.now)
	for _, b := range batches {
		request, err := cbor.Marshal(b.Request)
		if err != nil {
			return err
		}
		cost.holder += time.Since(begin)
		begin = time.Now()
		reply, err := q.handle(request)
		if err != nil {
			return err
		}
		cost.owner += time.Since(begin)
		begin = time.Now()
		var decoded quota.Reply
		if err := cbor.Unmarshal(reply, &decoded); err != nil {
			return err
		}
		h.Receive(q.now, decoded)
		cost.bytes += len(request) + len(reply)
	}
	cost.holder += time.Since(begin)
	return nil
}

// handle decodes a request, passes it to the owner and returns the encoded reply.
func (q *quotaFleet) handle(request []byte) ([]byte, error) {
	var decoded quota.Request
	if err := cbor.Unmarshal(request, &decoded); err != nil {
		return nil, err
	}
	return cbor.Marshal(q.owner.Handle(q.now, decoded))
}
