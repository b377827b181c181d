package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ticksPerHour = int(time.Hour / DefaultTickInterval)

// outage describes how one host is interrupted, by mean times in ticks that are
// distributed exponentially. A zero up time means never.
type outage struct {
	up, down float64
	// link cuts the host off instead of stopping its process.
	link bool
}

// interrupted is a host whose next change of state is due at a tick.
type interrupted struct {
	outage
	host string
	due  int
	off  bool
}

func (h *interrupted) turn(c *cluster, now int) {
	if h.up == 0 || now < h.due {
		return
	}
	if h.due == 0 {
		h.due = now + 1 + int(c.rng.ExpFloat64()*h.up)
		return
	}
	h.off = !h.off
	mean := h.up
	if h.off {
		mean = h.down
	}
	h.due = now + 1 + int(c.rng.ExpFloat64()*mean)
	switch {
	case h.link:
		c.isolate(h.host, h.off)
	case h.off:
		c.stop(h.host)
	default:
		c.start(h.host)
	}
}

// serving returns the disk identity of a leader that can commit, zero for none.
func (c *cluster) serving() uint64 {
	p := c.leader()
	if p == nil || p.node.log.commit < p.node.lead.firstOwn || c.reach(p) < p.node.quorum() {
		return 0
	}
	return p.node.disk
}

// reach counts the voters that p can exchange messages with, itself included.
func (c *cluster) reach(p *process) int {
	count := 0
	for _, h := range c.hosts {
		if c.procs[h].node != nil && (h == p.cfg.Host || !c.cut[[2]string{p.cfg.Host, h}]) {
			count++
		}
	}
	return count
}

// simulateHour returns the time without a serving leader and the number of
// changes of leader in one hour.
func simulateHour(b *testing.B, seed uint64, first, others outage) (down time.Duration, changes int) {
	c := newCluster(b, seed)
	hosts := []string{"a", "b", "c"}
	var all []*interrupted
	for i, h := range hosts {
		c.add(h, hosts)
		all = append(all, &interrupted{outage: others, host: h})
		if i == 0 {
			all[0].outage = first
		}
	}
	c.compact = 20
	c.until("a leader", func() bool { return c.serving() != 0 })
	last := c.serving()
	for now := range ticksPerHour {
		for _, h := range all {
			h.turn(c, now)
		}
		c.round()
		switch leader := c.serving(); {
		case leader == 0:
			down += DefaultTickInterval
		case leader != last:
			changes++
			last = leader
		}
	}
	return down, changes
}

// BenchmarkFlappingVoter measures leader elections while voters are
// interrupted, by simulated hours of three voters.
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
