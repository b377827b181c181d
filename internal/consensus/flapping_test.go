package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ticksPerHour = int(time.Hour / DefaultTickInterval)

// outage describes the outages of one host by the means of its exponentially
// distributed times up and down, in ticks. A zero up time means no outage.
type outage struct {
	up, down float64
	// link cuts the links of the host instead of stopping its process.
	link bool
}

// flappingHost is a host whose next change between up and down is due at a tick.
type flappingHost struct {
	outage
	host   string
	due    int
	isDown bool
}

// update takes the host down or up when that is due.
func (h *flappingHost) update(c *cluster, now int) {
	if h.up == 0 || now < h.due {
		return
	}
	if h.due == 0 {
		h.due = now + 1 + int(c.rng.ExpFloat64()*h.up)
		return
	}
	h.isDown = !h.isDown
	mean := h.up
	if h.isDown {
		mean = h.down
	}
	h.due = now + 1 + int(c.rng.ExpFloat64()*mean)
	switch {
	case h.link:
		c.isolate(h.host, h.isDown)
	case h.isDown:
		c.stop(h.host)
	default:
		c.start(h.host)
	}
}

// servingLeader returns the disk identity of a leader that can commit, zero for
// none.
func (c *cluster) servingLeader() uint64 {
	p := c.leader()
	if p == nil || p.node.log.commit < p.node.leaderState.termStartIndex || c.reachableVoters(p) < p.node.quorum() {
		return 0
	}
	return p.node.disk
}

// reachableVoters counts the voters with which p can exchange messages, itself
// included.
func (c *cluster) reachableVoters(p *process) int {
	count := 0
	for _, h := range c.hosts {
		if c.procs[h].node != nil && (h == p.cfg.Host || !c.cutLinks[[2]string{p.cfg.Host, h}]) {
			count++
		}
	}
	return count
}

// simulateHour returns the time without a serving leader and the number of leader
// changes in one simulated hour.
func simulateHour(b *testing.B, seed uint64, first, others outage) (down time.Duration, changes int) {
	c := newCluster(b, seed)
	hosts := []string{"a", "b", "c"}
	var all []*flappingHost
	for i, h := range hosts {
		c.add(h, hosts)
		all = append(all, &flappingHost{outage: others, host: h})
		if i == 0 {
			all[0].outage = first
		}
	}
	c.snapshotEvery = 20
	c.runUntil("a leader", func() bool { return c.servingLeader() != 0 })
	last := c.servingLeader()
	for now := range ticksPerHour {
		for _, h := range all {
			h.update(c, now)
		}
		c.round()
		switch leader := c.servingLeader(); {
		case leader == 0:
			down += DefaultTickInterval
		case leader != last:
			changes++
			last = leader
		}
	}
	return down, changes
}

// BenchmarkFlappingVoter measures unavailability and leader changes of three
// voters with outages, per simulated hour.
func BenchmarkFlappingVoter(b *testing.B) {
	second := float64(time.Second / DefaultTickInterval)
	flapping := outage{up: 10 * second, down: 2 * second}
	restarts := outage{up: 300 * second, down: 2 * second}
	cases := []struct {
		name          string
		first, others outage
	}{
		{"one_flaps", flapping, outage{}},
		{"one_flaps_others_restart", flapping, restarts},
		{"one_link_flaps_others_restart", outage{up: flapping.up, down: flapping.down, link: true}, restarts},
		{"all_restart", restarts, restarts},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			seeds := rand.New(rand.NewPCG(1, 1))
			var down time.Duration
			var changes int
			for range b.N {
				d, n := simulateHour(b, seeds.Uint64(), tc.first, tc.others)
				down += d
				changes += n
			}
			b.ReportMetric(down.Seconds()/float64(b.N), "unavailable_s/h")
			b.ReportMetric(float64(changes)/float64(b.N), "leader_changes/h")
		})
	}
}
