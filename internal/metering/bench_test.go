package metering_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// BenchmarkBegin measures the cost of a request at an entry host.
func BenchmarkBegin(b *testing.B) {
	c := metering.NewCounter(5*time.Second, metering.Process{Host: "e"})
	now := time.Unix(1000, 0)
	for range b.N {
		c.Begin(now, now, "miny420")
	}
}

// BenchmarkReport measures a report with a number of changed counts: its bytes, and the cost of
// encoding, decoding and storing it and of encoding the answer.
func BenchmarkReport(b *testing.B) {
	for _, counts := range []int{0, 1, 4, 50, 84, 1000} {
		b.Run(fmt.Sprint(counts), func(b *testing.B) {
			now, day := time.Unix(1000, 0), time.Unix(1_790_000_000, 0)
			process := metering.Process{Host: "10.20.30.40:7001", Incarnation: 1_790_000_000_000_000_000}
			collector := metering.NewCollector(5*time.Second, metering.Process{Host: "10.20.30.41:7001", Incarnation: 1})
			collector.SetMembers(now, []metering.Member{{Process: process, Entry: true}}, func(string) bool { return true })
			w := metering.WindowCounts{Window: day.UnixNano() / int64(5*time.Second), Counts: map[string]uint64{}}
			r := metering.Report{Process: process, DayNS: day.UnixNano(), Windows: []metering.WindowCounts{w}}
			for i := range b.N {
				for n := range counts {
					w.Counts[fmt.Sprintf("work%04d", n)] = uint64(i)
				}
				data, err := peer.Marshal(metering.Batch{MonoNS: now.UnixNano() + int64(i), Reports: []metering.Report{r}})
				var batch metering.Batch
				if err != nil || peer.Unmarshal(data, &batch) != nil {
					b.Fatal(err)
				}
				answer, err := peer.Marshal(collector.Receive(now, day, process, batch))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/report")
				b.ReportMetric(float64(len(answer)), "B/answer")
			}
		})
	}
}

// BenchmarkLeader measures what the leader of 2,000 entry hosts does in each tick without a batch to
// send, and a tally of a window with two counts of each host.
func BenchmarkLeader(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	self := metering.Process{Host: "leader", Incarnation: 1}
	collector := metering.NewCollector(5*time.Second, self)
	now, day := time.Unix(1000, 0), time.Unix(1_790_000_000, 0)
	members := []metering.Member{{Process: self, Control: true}}
	for i := range 2000 {
		members = append(members, metering.Member{Process: metering.Process{Host: fmt.Sprint("e", i), Incarnation: 1}, Entry: true})
	}
	collector.SetMembers(now, members, func(string) bool { return true })
	collector.SetRole(metering.Role{Leading: true, Leader: "leader", Term: 1})
	current := day.UnixNano() / int64(5*time.Second)
	for i, m := range members[1:] {
		r := metering.Report{Process: m.Process, DayNS: day.UnixNano()}
		for w := current - 11; w <= current; w++ {
			counts := map[string]uint64{fmt.Sprint("w", i%1000): 40, fmt.Sprint("w", (i+7)%1000): 42}
			r.Windows = append(r.Windows, metering.WindowCounts{Window: w, Counts: counts, Final: true})
		}
		collector.Receive(now, day, m.Process, metering.Batch{MonoNS: 1, Reports: []metering.Report{r}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("tick", func(b *testing.B) {
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		for i := range b.N {
			at := time.Duration(i) * 20 * time.Millisecond % (4 * time.Second)
			collector.Tick(now.Add(at), day.Add(at))
			collector.Batch(now.Add(at), day.Add(at))
		}
	})
	b.Run("tally", func(b *testing.B) {
		for range b.N {
			if t := collector.Tally(current); t.Heard != 2000 {
				b.Fatal(t.Heard)
			}
		}
	})
}
