package control

import (
	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// orderGuard records where in the log the last order about each failure domain is. Orders carry
// neither a number nor a time, and one may be read long after its sender has gone: by a process that
// was suspended, or from a link that held it up. Its sender has then had it, and perhaps a newer
// one, accepted elsewhere. An order therefore names a position of the log that its sender has
// learned, and is refused once a newer order about the same domain has entered the log after it.
type orderGuard struct {
	// floor is the position of the snapshot from which the log was applied. Earlier orders are
	// not known, and may be as late as that.
	floor uint64
	// last holds the position of the last applied order by domain, pending the last one that this
	// leader has appended in its term.
	last    map[string]uint64
	pending map[string]pendingOrder
}

type pendingOrder struct {
	index  uint64
	domain note.Domain
}

func newOrderGuard(floor uint64) orderGuard {
	return orderGuard{floor: floor, last: map[string]uint64{}, pending: map[string]pendingOrder{}}
}

func (g *orderGuard) appended(d note.Domain, index uint64) {
	g.pending[d.Name] = pendingOrder{index: index, domain: d}
}

func (g *orderGuard) applied(d note.Domain, index uint64) {
	g.last[d.Name] = index
	if g.pending[d.Name].index <= index {
		delete(g.pending, d.Name)
	}
}

func (g *orderGuard) dropAppended() { clear(g.pending) }

// newest returns the position of the last order about a domain that the log may hold.
func (g *orderGuard) newest(domain string) uint64 {
	return max(g.floor, g.last[domain], g.pending[domain].index)
}

// checkOrder returns an outcome with a code if the precondition of an order does not hold. An order
// that repeats the last one changes nothing and passes, so that it is acknowledged again. Only a
// confirmed leader has applied what earlier leaders have accepted.
func (h *Host) checkOrder(c agreed.Command, after *uint64) (agreed.Outcome, error) {
	if after == nil || c.SetDomain == nil {
		return agreed.Outcome{}, nil
	}
	if !h.leading {
		return agreed.Outcome{}, h.errNotLeader()
	}
	if !h.confirmed {
		return agreed.Outcome{}, result.New(result.NotLeader, "the leader is not confirmed yet")
	}
	if *after > h.node.Status().Last {
		return agreed.Outcome{}, result.New(result.MalformedMessage, "position %d is beyond the log", *after)
	}
	d := c.SetDomain.Domain
	newest := h.orders.newest(d.Name)
	present, pending := h.state.Catalog.Domains[d.Name], h.orders.pending[d.Name]
	if pending.index != 0 {
		present = pending.domain
	}
	if newest <= *after || present == d {
		return agreed.Outcome{}, nil
	}
	h.log.Info("order_overtaken", "domain", d.Name, "out", d.Out, "after", *after, "newest", newest)
	out := agreed.Outcome{Code: result.OrderOvertaken, Revision: h.state.Revision, Position: newest}
	out.Detail = "a newer order about the failure domain was accepted after this one was sent"
	return out, nil
}
