package control_test

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

// BenchmarkNoteToLastSubscriber measures the time from the proposal of a note until
// the last of n hosts may act on it. Three control hosts run on loopback.
func BenchmarkNoteToLastSubscriber(b *testing.B) {
	for _, n := range []int{9, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, names := benchFleet(b, n)
			var times []time.Duration
			number := uint64(0)
			for b.Loop() {
				number++
				begin := time.Now()
				f.propose("c0", testNote(number, "note"), 0)
				f.waitNote(number, names...)
				f.waitValid(names...)
				times = append(times, time.Since(begin))
			}
			slices.Sort(times)
			b.ReportMetric(milliseconds(times[len(times)/2]), "p50-ms")
			b.ReportMetric(milliseconds(times[len(times)-1]), "worst-ms")
		})
	}
}

// BenchmarkIdle measures the message bytes per second of an entry host and of a
// control host, and the processor time, while the state does not change.
func BenchmarkIdle(b *testing.B) {
	const window = 10 * time.Second
	for _, n := range []int{9, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, names := benchFleet(b, n)
			for b.Loop() {
				before, beforeControl, beforeCPU := f.bytes(names), f.bytes(controlNames), cpuTime(b)
				time.Sleep(window)
				perHost := float64(len(names)) * window.Seconds()
				perControl := float64(len(controlNames)) * window.Seconds()
				b.ReportMetric((f.bytes(names)-before)/perHost, "B/s/host")
				b.ReportMetric((f.bytes(controlNames)-beforeControl)/perControl, "B/s/control")
				b.ReportMetric(float64(cpuTime(b)-beforeCPU)/float64(window)*100, "cpu-%")
			}
		})
	}
}

var controlNames = []string{"c0", "c1", "c2"}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchFleet starts three control hosts and n entry hosts.
func benchFleet(b *testing.B, n int) (*fleet, []string) {
	f := newFleet(b, 3)
	var names []string
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		names = append(names, name)
		f.start(name)
	}
	f.waitValid(names...)
	return f, names
}

// bytes returns the bytes of messages that the hosts have sent and received.
func (f *fleet) bytes(names []string) float64 {
	total := 0.0
	for _, name := range names {
		total += f.hosts[name].metric(f.t, "galenabridge_peer_bytes_total")
	}
	return total
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkNoteWithoutLeader measures the time from the isolation of the control
// leader until a note is in force on the last of nine entry hosts. The note is
// proposed through another control host immediately after the isolation.
func BenchmarkNoteWithoutLeader(b *testing.B) {
	var times []time.Duration
	for b.Loop() {
		times = append(times, noteWithoutLeader(b))
	}
	slices.Sort(times)
	b.ReportMetric(milliseconds(times[len(times)/2]), "p50-ms")
	b.ReportMetric(milliseconds(times[len(times)-1]), "worst-ms")
}

func noteWithoutLeader(b *testing.B) time.Duration {
	f, names := benchFleet(b, 9)
	defer f.stop()
	old := f.leader("c0", "c1", "c2")
	through := "c0"
	if old == through {
		through = "c1"
	}
	begin := time.Now()
	f.net.isolate(old, true)
	f.propose(through, testNote(1, "note"), 0)
	f.waitNote(1, names...)
	f.waitValid(names...)
	return time.Since(begin)
}

// stop ends all hosts.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.stop()
	}
}
