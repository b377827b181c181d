package control

import (
	"context"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// usageTimeout bounds a call that carries usage reports. It is below the time after which an entry
// host replaces a silent control host.
const usageTimeout = 500 * time.Millisecond

// usageCollector connects the Collector of a control host to its peers. The goroutine of the Host
// owns it; it is nil if usage reports are disabled.
type usageCollector struct {
	*metering.Collector
	// state is the one whose registered processes and catalog the Collector has. controls are its
	// control hosts, in ascending order.
	state    *agreed.State
	controls []string
}

// newUsageCollector returns the collector and registers its handler, or nil if usage reports are
// disabled.
func newUsageCollector(h *Host) *usageCollector {
	if h.opts.Metering.Window <= 0 {
		return nil
	}
	peer.OnCall(h.opts.Peer, peer.KindUsage, h.serveUsage)
	self := metering.Process{Host: h.opts.Peer.Host(), Incarnation: h.opts.Peer.Incarnation()}
	return &usageCollector{Collector: metering.NewCollector(h.opts.Metering.Window, self)}
}

// usageEvent is a batch of usage reports that awaits its answer.
type usageEvent struct {
	from   peer.Identity
	batch  metering.Batch
	answer chan metering.Answer // buffered
}

func (e usageEvent) handle(h *Host, now time.Time) {
	h.tallies.setState(h.state, now)
	from := metering.Process{Host: e.from.Host, Incarnation: e.from.Incarnation}
	e.answer <- h.tallies.Receive(now, time.Now(), from, e.batch)
}

// serveUsage passes a batch to the goroutine of the Host and returns its answer.
func (h *Host) serveUsage(ctx context.Context, from peer.Identity, b metering.Batch) (metering.Answer, error) {
	e := usageEvent{from: from, batch: b, answer: make(chan metering.Answer, 1)}
	if !h.post(e) {
		return metering.Answer{}, errQueueFull
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	select {
	case a := <-e.answer:
		return a, nil
	case <-ctx.Done():
		return metering.Answer{}, ctx.Err()
	}
}

// setState passes the registered processes and the catalog to the collector.
func (u *usageCollector) setState(s *agreed.State, now time.Time) {
	if u.state == s {
		return
	}
	u.state, u.controls = s, nil
	u.SetDecided(s.Usage.Decided)
	members := make([]metering.Member, 0, len(s.Hosts))
	for _, host := range s.Hosts {
		p := metering.Process{Host: host.ID, Incarnation: host.Incarnation}
		members = append(members, metering.Member{Process: p, Entry: host.Entry, Control: host.Control})
		if host.Control {
			u.controls = append(u.controls, host.ID)
		}
	}
	slices.Sort(u.controls)
	u.SetMembers(now, members, func(workspace string) bool {
		_, ok := s.Catalog.Workspaces[workspace]
		return ok
	})
}

// role returns the part of the control host in the delivery of reports.
func (u *usageCollector) role(h *Host) metering.Role {
	st := h.node.Status()
	r := metering.Role{Leading: h.leading, Leader: st.Leader, Term: st.Term, Target: st.Leader}
	if h.leading {
		r.Target = u.secondHost(h.opts.Peer)
	}
	return r
}

// secondHost returns the control host that also stores what the leader receives: the one after
// this host in ascending order, in a cycle, among those that it has a connection to. It is empty
// if there is none.
func (u *usageCollector) secondHost(n *peer.Node) string {
	at, _ := slices.BinarySearch(u.controls, n.Host())
	for i := range u.controls {
		if host := u.controls[(at+i)%len(u.controls)]; host != n.Host() && n.Reaches(host) {
			return host
		}
	}
	return ""
}

// tick sends a batch if one is due. It does nothing if usage reports are disabled.
func (u *usageCollector) tick(h *Host, now time.Time) {
	if u == nil {
		return
	}
	u.setState(h.state, now)
	u.SetRole(u.role(h))
	u.Tick(now, time.Now())
	if shift := u.TakeShift(); shift != 0 {
		h.log.Warn("fleet_time_shifted", "shift_ms", shift.Milliseconds())
	}
	o, ok := u.Batch(now, time.Now())
	if !ok {
		return
	}
	addr := h.addr(o.Target)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
		defer cancel()
		var a metering.Answer
		err := h.opts.Peer.Call(ctx, o.Target, addr, peer.KindUsage, o.Batch, &a)
		h.post(usageAnswerEvent{o, a, err, clock.Now()}) // a lost answer counts as failed after a time
	}()
}

// usageAnswerEvent is the outcome of a batch that this host has sent.
type usageAnswerEvent struct {
	sent     metering.Outgoing
	answer   metering.Answer
	err      error
	received time.Time
}

func (e usageAnswerEvent) handle(h *Host, _ time.Time) {
	if e.err != nil {
		h.log.Debug("usage_batch_failed", "err", e.err.Error())
		h.tallies.Failed(e.sent)
		return
	}
	h.tallies.Answered(e.sent, e.answer, e.received)
}

// UsageReading is what a control host knows of a window. FleetTime is zero while it is unknown.
type UsageReading struct {
	metering.Tally
	FleetTime time.Time
}

// usageReadingEvent asks for a UsageReading.
type usageReadingEvent struct {
	window int64
	reply  chan UsageReading // buffered
}

func (e usageReadingEvent) handle(h *Host, now time.Time) {
	r := UsageReading{Tally: h.tallies.Tally(e.window)}
	if t, ok := h.tallies.FleetTime(now); ok {
		r.FleetTime = t
	}
	e.reply <- r
}

// UsageReading returns what this control host knows of a window. It fails with UnsupportedFeature if
// usage reports are disabled.
func (h *Host) UsageReading(ctx context.Context, window int64) (UsageReading, error) {
	if h.tallies == nil {
		return UsageReading{}, result.New(result.UnsupportedFeature, "usage reports are disabled")
	}
	e := usageReadingEvent{window: window, reply: make(chan UsageReading, 1)}
	if !h.post(e) {
		return UsageReading{}, errQueueFull
	}
	select {
	case r := <-e.reply:
		return r, nil
	case <-ctx.Done():
		return UsageReading{}, ctx.Err()
	}
}
