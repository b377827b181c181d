package lease

import "time"

// maxOutstanding bounds the requests and grants that a Holder remembers.
const maxOutstanding = 16

// Holder is the lease of one process. It is not safe for concurrent use.
type Holder struct {
	cfg     Config
	seq     uint64
	sent    map[uint64]time.Time // by number of the request
	grants  []grant
	settled uint64
}

// grant allows to act on a revision or later ones until a time.
type grant struct {
	revision uint64
	until    time.Time
}

// NewHolder returns a Holder without a lease. Its requests are numbered above
// seq, which must exceed all numbers that the process has used before.
func NewHolder(cfg Config, seq uint64) *Holder {
	return &Holder{cfg: cfg, seq: seq, sent: make(map[uint64]time.Time)}
}

// Renew returns the next request. The lease that it asks for runs from now.
func (h *Holder) Renew(now time.Time, applied uint64) Renew {
	h.seq++
	if applied > 0 {
		h.sent[h.seq] = now
	}
	delete(h.sent, h.seq-maxOutstanding)
	return Renew{Seq: h.seq, Applied: applied}
}

// Release gives up the leases that are on their way, and those in use unless they
// are kept. It returns what tells the broker so: a broker that is not told, or was
// suspended, counts each request as a lease from when it reads it.
func (h *Holder) Release(keep bool) Renew {
	h.seq++
	clear(h.sent)
	if !keep {
		h.grants = nil
	}
	return Renew{Seq: h.seq, Release: true, Keeps: keep}
}

// Granted takes an answer. Answers to unknown requests are ignored.
func (h *Holder) Granted(ok RenewOK) {
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

// ValidUntil returns the end of the lease for a host that has applied the
// revision, on the holder's clock. It is the zero time when no grant allows to
// act on that revision.
func (h *Holder) ValidUntil(applied uint64) time.Time {
	var until time.Time
	for _, g := range h.grants {
		if g.revision <= applied && g.until.After(until) {
			until = g.until
		}
	}
	return until
}

// Settled returns the greatest settled revision that the holder was told of.
func (h *Holder) Settled() uint64 { return h.settled }
