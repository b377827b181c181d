package lease

import "time"

// maxOutstanding bounds the unanswered requests and the grants that a Holder keeps.
const maxOutstanding = 16

// Holder is the lease of one process. It may have several grants, of which one is
// enough to act. It is not safe for concurrent use.
type Holder struct {
	cfg     Config
	seq     uint64
	sent    map[uint64]time.Time // unanswered requests, by number
	grants  []grant
	settled uint64
}

// grant allows its holder to act on a revision and later ones until a time.
type grant struct {
	revision uint64
	until    time.Time
}

// NewHolder returns a Holder without a lease. Its requests are numbered above
// seq, which must exceed all numbers that the process has used before.
func NewHolder(cfg Config, seq uint64) *Holder {
	return &Holder{cfg: cfg, seq: seq, sent: make(map[uint64]time.Time)}
}

// Renew returns the next request. The requested lease begins at now. A holder without
// state passes zero as applied and gets no lease from the answer.
func (h *Holder) Renew(now time.Time, applied uint64) Renew {
	h.seq++
	if applied > 0 {
		h.sent[h.seq] = now
	}
	delete(h.sent, h.seq-maxOutstanding)
	return Renew{Seq: h.seq, Applied: applied}
}

// Release cancels all outstanding requests and, unless keep is set, ends all grants.
// It returns the message for the broker. Without that message a broker counts each
// request as a lease from when it reads the request, which is late when the broker was
// suspended.
func (h *Holder) Release(keep bool) Renew {
	h.seq++
	clear(h.sent)
	if !keep {
		h.grants = nil
	}
	return Renew{Seq: h.seq, Release: true, KeepLeases: keep}
}

// HandleRenewOK handles an answer. Answers to requests that are not outstanding are
// ignored.
func (h *Holder) HandleRenewOK(ok RenewOK) {
	sent, known := h.sent[ok.Seq]
	if !known {
		return
	}
	delete(h.sent, ok.Seq)
	h.settled = max(h.settled, ok.Settled)
	h.grants = append(h.grants, grant{revision: ok.Revision, until: sent.Add(h.cfg.Duration)})
	if len(h.grants) > maxOutstanding {
		h.grants = h.grants[1:]
	}
}

// ObserveSettled raises the settled revision to one that the broker has sent unasked.
func (h *Holder) ObserveSettled(settled uint64) { h.settled = max(h.settled, settled) }

// ValidUntil returns the end of the lease for a host that has applied the revision, on
// the holder's clock. It is the zero time when no grant covers that revision.
func (h *Holder) ValidUntil(applied uint64) time.Time {
	var until time.Time
	for _, g := range h.grants {
		if g.revision <= applied && g.until.After(until) {
			until = g.until
		}
	}
	return until
}

// Settled returns the greatest settled revision that the holder has received.
func (h *Holder) Settled() uint64 { return h.settled }
