package admit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArriveStartDone measures the cost of one request in a queue with a
// backlog of the given number of workspaces.
func BenchmarkArriveStartDone(b *testing.B) {
	for _, workspaces := range []int{1, 8, 200} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			q := New(DefaultConfig(5))
			now := epoch
			names := make([]string, workspaces)
			var running []uint64
			id := uint64(0)
			arrive := func() {
				id++
				r := req(id, names[id%uint64(workspaces)], precedence[0])
				r.Deadline = now.Add(time.Second)
				running = append(running, starts(q.Arrive(now, r))...)
			}
			for i := range names {
				names[i] = fmt.Sprintf("workspace%d", i)
			}
			for range 5 + 2*workspaces {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				arrive()
				running = append(running[1:], starts(q.Done(now, running[0]))...)
			}
		})
	}
}
