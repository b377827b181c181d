package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// pairBench runs holders and one owner over encoded messages, without loss.
type pairBench struct {
	b       *testing.B
	owner   *Owner
	holders []*Holder
	keys    []string
	now     time.Time
	bytes   int
}

const (
	benchInterval = 100 * time.Millisecond
	// benchDemand is the load per pair, in requests per second.
	benchDemand = 10
)

// newPairBench gives each key a limit of which the demand is the fraction load.
func newPairBench(b *testing.B, holders, keys int, load float64) *pairBench {
	p := &pairBench{b: b, now: start}
	p.owner = NewOwner(Config{}, "c0", 1, start)
	p.owner.SetEpoch(start, 1, []string{"c0"})
	for i := range keys {
		key := fmt.Sprintf("workspace/%d", i)
		p.keys = append(p.keys, key)
		demand := float64(benchDemand * holders)
		p.owner.SetLimit(start, key, Limit{Rate: demand / load, Burst: demand}, true)
	}
	for i := range holders {
		h := NewHolder(Config{}, fmt.Sprintf("entry-%d", i), 1, time.Time{})
		h.SetEpoch(1, []string{"c0"})
		p.holders = append(p.holders, h)
	}
	return p
}

func transfer[T any](p *pairBench, from T) T {
	data, err := cbor.Marshal(from)
	if err != nil {
		p.b.Fatal(err)
	}
	p.bytes += len(data)
	var to T
	if err := cbor.Unmarshal(data, &to); err != nil {
		p.b.Fatal(err)
	}
	return to
}

// offer issues one request per pair. The benchmark timer is stopped meanwhile.
func (p *pairBench) offer() {
	for _, h := range p.holders {
		for _, key := range p.keys {
			h.Offer(p.now, key, 1)
			if !h.Take(p.now, key, 1).Granted {
				h.Withdraw(key, 1)
			}
		}
	}
}

// exchange sends the requests that are due and delivers the replies.
func (p *pairBench) exchange() {
	for _, h := range p.holders {
		for _, batch := range h.Requests(p.now) {
			reply := p.owner.Handle(p.now, transfer(p, batch.Request))
			h.Receive(p.now, transfer(p, reply))
		}
	}
}

// second runs one simulated second of load and messages.
func (p *pairBench) second() {
	for range int(time.Second / benchInterval) {
		p.now = p.now.Add(benchInterval)
		p.owner.SetOwnerLease(p.now.Add(time.Second))
		p.b.StopTimer()
		p.offer()
		p.b.StartTimer()
		p.exchange()
	}
	p.owner.Tick(p.now)
}

// BenchmarkActivePair measures the cost of an active (host, key) pair for its
// holder and its owner together during one second of steady load.
func BenchmarkActivePair(b *testing.B) {
	for _, keys := range []int{100, 1000} {
		for _, load := range []float64{0.4, 0.9} {
			benchPairs(b, keys, load)
		}
	}
}

func benchPairs(b *testing.B, keys int, load float64) {
	b.Run(fmt.Sprintf("hosts=10/keys=%d/load=%.1f", keys, load), func(b *testing.B) {
		p := newPairBench(b, 10, keys, load)
		for range 10 { // until the shares are stable
			p.second()
		}
		p.bytes = 0
		b.ResetTimer()
		for range b.N {
			p.second()
		}
		pairs := float64(p.owner.Pairs() * b.N)
		b.ReportMetric(float64(p.bytes)/pairs, "B/pair/s")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/pairs, "ns/pair/s")
	})
}

// BenchmarkTake measures spending a token from a share.
func BenchmarkTake(b *testing.B) {
	h := NewHolder(Config{}, "e", 1, time.Time{})
	h.SetEpoch(1, []string{"c0"})
	o := NewOwner(Config{}, "c0", 1, start)
	o.SetEpoch(start, 1, []string{"c0"})
	o.SetOwnerLease(start.Add(time.Hour))
	o.SetLimit(start, "workspace/a", Limit{Rate: 1e12, Burst: 1e12}, true)
	h.Offer(start, "workspace/a", 1)
	for range 2 { // the first reply carries only the owner's incarnation
		for _, batch := range h.Requests(start) {
			h.Receive(start, o.Handle(start, batch.Request))
		}
	}
	for b.Loop() {
		h.Offer(start, "workspace/a", 1)
		if !h.Take(start, "workspace/a", 1).Granted {
			b.Fatal("not granted")
		}
	}
}
