package pacing

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/linkuse"
)

const (
	simLinkRate    = 250_000 // bytes a second
	simAnswerBytes = 960     // of an answer, and of the request that a home host gets for it
)

// simLink is a host's link: a FIFO queue of bytes.
type simLink struct {
	sim  *sim
	free time.Duration // when what was queued is sent
	use  *linkuse.Use  // nil on hosts that do not measure their link
}

// pass calls done once bytes have passed the link.
func (l *simLink) pass(bytes int, done func()) {
	l.free = max(l.free, l.sim.now) + time.Duration(float64(bytes)/simLinkRate*float64(time.Second))
	l.sim.after(l.free-l.sim.now, func() {
		if l.use != nil {
			l.use.Count(time.Unix(0, int64(l.sim.now)), bytes)
		}
		done()
	})
}

// saturatedSince reports whether the host knows that its link was saturated since a time.
func (l *simLink) saturatedSince(since time.Duration) bool {
	return l != nil && l.use != nil && l.use.SaturatedSince(time.Unix(0, int64(since)), time.Unix(0, int64(l.sim.now)))
}

// linkSim returns a simulation of four hosts before one endpoint, which they load to a part of
// what it can serve. Other services keep 60 answers waiting for the first host's link, 0.23 s,
// until a time.
func linkSim(seed uint64, load float64, measured bool, saturatedUntil time.Duration) *sim {
	s := newSim(seed, load, []float64{1, 1, 1, 1})
	for _, h := range s.hosts {
		h.link = &simLink{sim: s}
		if measured {
			h.link.use = linkuse.NewUse(simLinkRate, time.Unix(0, 0))
		}
	}
	var fill func()
	fill = func() {
		if s.now < saturatedUntil {
			s.hosts[0].link.pass(simAnswerBytes, fill)
		}
	}
	for range 60 {
		fill()
	}
	return s
}

// TestSaturatedLinkDoesNotPace has a host's own link delay the answers of an endpoint at half of
// its load. Without a measured link the limit of the host narrows, as it did in deployments of
// small hosts, where statements waited with slots free; with one it does not.
func TestSaturatedLinkDoesNotPace(t *testing.T) {
	for seed := range uint64(5) {
		for _, measured := range []bool{false, true} {
			s := linkSim(seed, 0.5, measured, 10*time.Second)
			start, least := StartOf(simSlots, len(s.hosts)), s.maxInProgress
			for s.now < 10*time.Second {
				s.run(s.now + 100*time.Millisecond)
				least = min(least, s.hosts[0].limit.Allowed(s.maxInProgress))
			}
			t.Logf("seed %d, link measured %t: %d statements allowed at least, %d at the start", seed, measured, least, start)
			if narrowed := least < start; narrowed == measured {
				t.Errorf("seed %d, link measured %t: narrowed %t", seed, measured, narrowed)
			}
		}
	}
}

// TestSlowEndpointPacesMeasuredLinks loads the endpoint with 1.5 times what it can serve, from the
// start and after a time in which a host's link was saturated. It guards against a measurement
// that hides a slow endpoint.
func TestSlowEndpointPacesMeasuredLinks(t *testing.T) {
	for _, saturated := range []time.Duration{0, 5 * time.Second} {
		s := linkSim(1, 1.5, true, saturated)
		s.run(saturated + 5*time.Second)
		s.atEndpoint, s.served, s.busy = 0, 0, 0
		const length = 20 * time.Second
		s.run(s.now + length)
		wait, used := s.atEndpoint/time.Duration(s.served), s.busy.Seconds()/(simSlots*length.Seconds())
		if wait > 2*DefaultConfig().DecreaseAbove || used < 0.95 {
			t.Errorf("link saturated for %v: mean wait in the endpoint's queue %v, want at most twice DecreaseAbove; %.2f of its slots used, want at least 0.95", saturated, wait, used)
		}
	}
}
