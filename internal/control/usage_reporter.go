package control

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// usageTick is how often a UsageReporter looks for a due report. It adds to the interval of
// reports, and with it to what a killed host can lose.
const usageTick = 20 * time.Millisecond

// flushTimeout bounds the last report of a host that stops, which delays its deregistration. It is
// some round trips on a link that is not saturated.
const flushTimeout = 100 * time.Millisecond

// UsageReporter sends the usage reports of an entry host to the control host that its Subscriber
// uses.
type UsageReporter struct {
	peer       *peer.Node
	subscriber *Subscriber
	counter    *metering.Counter
	log        *log.Logger
}

// NewUsageReporter returns the reporter of a counter.
func NewUsageReporter(n *peer.Node, s *Subscriber, counter *metering.Counter, logger *log.Logger) *UsageReporter {
	return &UsageReporter{peer: n, subscriber: s, counter: counter, log: logger}
}

// Run sends reports until ctx ends.
func (r *UsageReporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(usageTick)
	defer ticker.Stop()
	former := r.subscriber.upstream().Host
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if host := r.subscriber.upstream().Host; host != former {
			former = host
			r.counter.ResendAll()
		}
		if o, ok := r.counter.Report(clock.Now(), time.Now()); ok {
			go r.send(ctx, o)
		}
	}
}

// Flush sends what is not acknowledged, at the end of a process.
func (r *UsageReporter) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.send(ctx, r.counter.Flush(clock.Now(), time.Now()))
}

// send sends a report and passes its outcome to the counter.
func (r *UsageReporter) send(ctx context.Context, o metering.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	c := r.subscriber.upstream()
	var a metering.Answer
	if err := r.peer.Call(ctx, c.Host, c.Addr, peer.KindUsage, o.Batch, &a); err != nil {
		r.log.Debug("usage_report_failed", "control", c.Host, "err", err.Error())
		r.counter.Failed(o)
		return
	}
	r.counter.Answered(o, a, clock.Now())
}
