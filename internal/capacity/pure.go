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

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureState builds agreed states of several sizes. The memory is that of a
// host which has decoded a snapshot.
func (r *run) measureState() error {
	var memory, encoded, apply []Point
	for _, n := range r.plan.Workspaces {
		state := workspaceState(n)
		data, err := state.Encode()
		if err != nil {
			return err
		}
		x := float64(n)
		bytes, err := decodedSize(data)
		if err != nil {
			return err
		}
		memory = append(memory, Point{x, bytes})
		encoded = append(encoded, Point{x, float64(len(data))})
		seconds, err := patchSeconds(state)
		if err != nil {
			return err
		}
		apply = append(apply, Point{x, seconds})
	}
	r.add(SlopeStateMemory, "workspaces with 2 keys", "B", memory)
	r.add(SlopeStateBytes, "workspaces with 2 keys", "B", encoded)
	r.add(SlopeApplyCPU, "workspaces with 2 keys", "s", apply)
	return r.measureRecords()
}

// measureRecords measures the memory of hosts and databases in the state.
func (r *run) measureRecords() error {
	var hosts, databases []Point
	for _, n := range []int{500, 1000, 2000} {
		state := agreed.New()
		state.Hosts = make(map[string]agreed.Host, n)
		for i := range n {
			id := fmt.Sprintf("host-%d", i)
			state.Hosts[id] = agreed.Host{ID: id, PeerAddr: "10.0.0.1:7070", Domain: "domain-1", Incarnation: uint64(i) + 1, Entry: true}
		}
		bytes, err := stateSize(state)
		if err != nil {
			return err
		}
		hosts = append(hosts, Point{float64(n), bytes})
		if bytes, err = stateSize(databaseState(n)); err != nil {
			return err
		}
		databases = append(databases, Point{float64(n), bytes})
	}
	r.add(SlopeHostMemory, "hosts", "B", hosts)
	r.add(SlopeDBMemory, "databases with 3 endpoints", "B", databases)
	r.measureAssignment()
	return nil
}

// Size of the fleet in which the assignment of watchers is measured.
const (
	assignHosts   = 2000
	assignDomains = 11
	assignRegions = 4
)

// measureAssignment times how long a host takes to find the endpoints that it
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
	r.add(SlopeAssignCPU, "endpoints at 2,000 hosts", "s", points)
}

func stateSize(state *agreed.State) (float64, error) {
	data, err := state.Encode()
	if err != nil {
		return 0, err
	}
	return decodedSize(data)
}

func decodedSize(data []byte) (float64, error) {
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

// verifier has the length of a real one.
const verifier = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
	"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=:AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

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
			state.Catalog.Keys[id] = note.Key{ID: id, Workspace: name, Verifier: fmt.Sprintf("%s%d", verifier, i)}
		}
	}
	return state
}

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

// patchRuns is the number of deltas over which one is timed.
const patchRuns = 20

// patchSeconds times the application of a delta that changes one workspace.
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

// Load of a measured (host, key) pair and length of the measurement.
const (
	pairDemand   = 10 // requests per second
	quotaTick    = 100 * time.Millisecond
	quotaSettle  = 5 * time.Second
	quotaMeasure = 10 * time.Second
	quotaHolders = 10
)

// quotaCost is the cost of one number of pairs.
type quotaCost struct {
	holder, owner time.Duration // processor time, codec included
	bytes         int
}

// measureQuota runs ten holders and one owner over encoded messages.
func (r *run) measureQuota() error {
	var holder, owner, bytes, memory []Point
	for _, keys := range r.plan.QuotaPairs {
		before := heapBytes()
		q := newQuotaFleet(keys)
		if _, err := q.advance(quotaSettle); err != nil {
			return err
		}
		cost, err := q.advance(quotaMeasure)
		if err != nil {
			return err
		}
		// Holders and owner share the heap; the page counts all of it for both.
		size := heapBytes() - before
		x := float64(keys * quotaHolders)
		seconds := quotaMeasure.Seconds()
		holder = append(holder, Point{x, cost.holder.Seconds() / seconds})
		owner = append(owner, Point{x, cost.owner.Seconds() / seconds})
		bytes = append(bytes, Point{x, float64(cost.bytes) / seconds})
		memory = append(memory, Point{x, size})
		runtime.KeepAlive(q)
	}
	r.add(SlopeQuotaHolderCPU, "active pairs", "CPU s/s", holder)
	r.add(SlopeQuotaOwnerCPU, "active pairs", "CPU s/s", owner)
	r.add(SlopeQuotaBytes, "active pairs", "B/s", bytes)
	r.add(SlopeQuotaMemory, "active pairs", "B", memory)
	return nil
}

type quotaFleet struct {
	owner   *quota.Owner
	holders []*quota.Holder
	keys    []string
	now     time.Time
}

func newQuotaFleet(keys int) *quotaFleet {
	q := &quotaFleet{now: time.Now()}
	q.owner = quota.NewOwner(quota.Config{}, "control-1", 1, q.now)
	q.owner.SetEpoch(q.now, 1, []string{"control-1"})
	for i := range keys {
		key := fmt.Sprintf("rate:workspace-%d", i)
		q.keys = append(q.keys, key)
		rate := float64(2 * pairDemand * quotaHolders)
		q.owner.SetLimit(q.now, key, quota.Limit{Rate: rate, Burst: rate / 2}, true)
	}
	for i := range quotaHolders {
		h := quota.NewHolder(quota.Config{}, fmt.Sprintf("entry-%d", i), 1)
		h.SetEpoch(1, []string{"control-1"})
		q.holders = append(q.holders, h)
	}
	return q
}

// advance runs the fleet for a simulated time.
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
		reply, err := q.answer(request)
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

func (q *quotaFleet) answer(request []byte) ([]byte, error) {
	var decoded quota.Request
	if err := cbor.Unmarshal(request, &decoded); err != nil {
		return nil, err
	}
	return cbor.Marshal(q.owner.Handle(q.now, decoded))
}
