package control

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// usageSenderTick is how often a UsageSender looks for a due report. It adds to the interval of
// reports, and with it to what a killed host can lose.
const usageSenderTick = 20 * time.Millisecond

// flushTimeout bounds the last report of a host that stops, which delays its deregistration. It is
// some round trips on a link that is not saturated.
const flushTimeout = 100 * time.Millisecond

// UsageSender sends the usage reports of an entry host to the control host that its Subscriber
// uses.
type UsageSender struct {
	peer       *peer.Node
	subscriber *Subscriber
	counter    *metering.Counter
	log        *log.Logger
}

// NewUsageSender returns the reporter of a counter.
func NewUsageSender(n *peer.Node, s *Subscriber, counter *metering.Counter, logger *log.Logger) *UsageSender {
	return &UsageSender{peer: n, subscriber: s, counter: counter, log: logger}
}

// Run sends reports until ctx ends.
func (r *UsageSender) Run(ctx context.Context) error {
	ticker := time.NewTicker(usageSenderTick)
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
func (r *UsageSender) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.send(ctx, r.counter.Flush(clock.Now(), time.Now()))
}

// send sends a report and passes its outcome to the counter.
func (r *UsageSender) send(ctx context.Context, o metering.Outgoing) {
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
