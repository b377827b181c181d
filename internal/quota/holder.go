package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// Holder spends the shares of one entry host. It is not safe for concurrent
// use.
type Holder struct {
	cfg               Config
	host              string
	incarnation       uint64
	epoch             uint64
	owners            []string
	ownerIncarnations map[string]uint64 // incarnations of the owners, by host
	seq               uint64
	sent              []sentRequest   // oldest first
	unitKeys          map[string]bool // keys that are limits of units
	keys              map[string]*heldKey
	order             []*heldKey // the keys in the order of their first use
	// census tells, by owner, whether it has been told of all leases.
	leaseReports map[string]*leaseReport
	// quiet is since when no token was spent, at most since the process started.
	quietSince time.Time
}

// census is what a holder has told an owner of its leases.
type leaseReport struct {
	// process is the owner's, zero while it is not known.
	incarnation uint64
	seq         uint64 // of the last request that named all
	confirmed   bool
	nextAttempt time.Time
}

// maxQuiet bounds the time that a holder tells, far above the time in which any
// burst fills.
const maxQuietPeriod = time.Hour

// censusInterval is the time between two attempts to tell an owner.
const leaseReportInterval = 100 * time.Millisecond

// sentRequest remembers when a request was sent.
type sentRequest struct {
	seq uint64
	at  time.Time
}

// Decision answers Take.
type Decision struct {
	// Granted tells that the tokens are spent. Otherwise Wait is the time after
	// which another attempt makes sense.
	Granted bool
	Wait    time.Duration
	// Overloaded tells that the demand of all hosts is above the limit, so that a
	// request which cannot wait is refused for its workspace's own load.
	Overloaded bool
}

// NewHolder returns the holder of an entry host.
func NewHolder(cfg Config, host string, incarnation uint64) *Holder {
	return &Holder{
		cfg: cfg.withDefaults(), host: host, incarnation: incarnation,
		ownerIncarnations: map[string]uint64{}, unitKeys: map[string]bool{}, keys: map[string]*heldKey{},
		leaseReports: map[string]*leaseReport{},
	}
}

// SetEpoch tells the holder which hosts own keys in an epoch. It
// refuses grants of earlier epochs from then on, and goes on using the leases
// that it has.
func (h *Holder) SetEpoch(epoch uint64, owners []string) {
	if epoch <= h.epoch {
		return
	}
	h.epoch, h.owners = epoch, slices.Clone(owners)
	clear(h.leaseReports)
	for _, k := range h.keys {
		k.nextRequest = time.Time{}
	}
}

// SetUnits declares that a key is a limit of units, which are returned by Put.
func (h *Holder) SetUnits(key string) { h.unitKeys[key] = true }

// Offer notes the arrival of a request for n tokens. It is called once per
// request, however often Take is tried for it, and followed by a granted Take or
// by Withdraw.
func (h *Holder) Offer(now time.Time, key string, n float64) {
	k := h.key(now, key)
	k.offered += n
	k.backlog += n
	k.lastUse = now
}

// Withdraw notes that a request for n tokens gave up.
func (h *Holder) Withdraw(key string, n float64) {
	if k := h.keys[key]; k != nil {
		k.backlog = max(0, k.backlog-n)
	}
}

// Take spends n tokens, or takes n units, if the holder's share allows it.
func (h *Holder) Take(now time.Time, key string, n float64) Decision {
	k := h.key(now, key)
	k.advance(now)
	k.lastUse = now
	switch {
	case !k.valid(now):
		k.needsMore = true
		return Decision{Wait: requestInterval, Overloaded: k.overloaded}
	case k.isUnits && k.inUse+n <= k.bucket.share.Burst:
		k.inUse += n
		k.backlog = max(0, k.backlog-n)
		return Decision{Granted: true}
	case k.isUnits:
		k.needsMore = true
		return Decision{Wait: requestInterval, Overloaded: k.overloaded}
	case k.bucket.level >= n:
		k.bucket.level -= n
		h.quietSince = now
		k.backlog = max(0, k.backlog-n)
		return Decision{Granted: true}
	}
	k.needsMore = true
	return Decision{Wait: k.waitTime(n), Overloaded: k.overloaded}
}

// Release returns n units.
func (h *Holder) Release(now time.Time, key string, n float64) {
	k := h.keys[key]
	if k == nil {
		return
	}
	k.inUse = max(0, k.inUse-n)
	k.lastUse = now
}

// Refund gives back n tokens that were taken and not used, as far as the share
// holds them.
func (h *Holder) Refund(now time.Time, key string, n float64) {
	k := h.keys[key]
	if k == nil || k.isUnits || !k.valid(now) {
		return
	}
	k.advance(now)
	k.bucket.add(n)
}

// Units returns how many units of a key the holder may use now, and how many
// are in use. A holder that uses more must give some back.
func (h *Holder) Units(now time.Time, key string) (allowed, inUse float64) {
	k := h.keys[key]
	if k == nil {
		return 0, 0
	}
	if k.valid(now) {
		allowed = k.bucket.share.Burst
	}
	return allowed, k.inUse
}

func (h *Holder) key(now time.Time, name string) *heldKey {
	k := h.keys[name]
	if k == nil {
		k = &heldKey{name: name, isUnits: h.unitKeys[name], measuredAt: now}
		k.bucket.refilledAt = now
		h.keys[name] = k
		h.order = append(h.order, k)
	}
	return k
}

// Batch is a request and the owner that it is for.
type Batch struct {
	Owner   string
	Request Request
}

// Requests returns the requests that are due, one per owner. It should be
// called every 100 ms.
func (h *Holder) Requests(now time.Time) []Batch {
	if h.quietSince.IsZero() {
		h.quietSince = now
	}
	h.pruneSent(now)
	b := batcher{holder: h, index: map[string]int{}}
	kept := h.order[:0]
	for _, k := range h.order {
		k.advance(now)
		k.measure(now)
		if h.isIdle(now, k) {
			b.add(k, KeyRequest{Key: k.name, Release: true, Returned: k.bucket.level + k.returned})
			delete(h.keys, k.name)
			continue
		}
		kept = append(kept, k)
		if k.due(now) {
			b.add(k, k.request(now))
			k.requested(now, h.cfg)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
	h.reportAllLeases(now, &b)
	for _, r := range b.batches {
		h.sent = append(h.sent, sentRequest{seq: r.Request.Seq, at: now})
	}
	return b.batches
}

// takeCensus names all leases to the owners that have not been told. An owner
// whose process is not known yet is asked for it.
func (h *Holder) reportAllLeases(now time.Time, b *batcher) {
	for _, owner := range h.owners {
		c := h.leaseReports[owner]
		if c == nil || c.incarnation != h.ownerIncarnations[owner] {
			c = &leaseReport{incarnation: h.ownerIncarnations[owner]}
			h.leaseReports[owner] = c
		}
		if c.confirmed || now.Before(c.nextAttempt) {
			continue
		}
		c.nextAttempt = now.Add(leaseReportInterval)
		i := b.request(owner)
		r := &b.batches[i].Request
		r.Complete, c.seq = c.incarnation != 0, r.Seq
		if r.Complete {
			r.QuietMS = uint32(min(now.Sub(h.quietSince), maxQuietPeriod).Milliseconds())
		}
		r.Keys = slices.DeleteFunc(r.Keys, func(a KeyRequest) bool { return !a.Release })
		for _, k := range h.order {
			if rendezvous.Owner(h.owners, k.name) == owner {
				b.add(k, k.request(now))
				k.requested(now, h.cfg)
			}
		}
	}
}

// told notes that an owner has answered the request that named all leases.
func (h *Holder) confirmLeaseReport(r Reply) {
	if c := h.leaseReports[r.Owner]; c != nil && r.Complete && c.incarnation == r.Incarnation && c.seq == r.Seq {
		c.confirmed = true
	}
}

// idle reports whether a share should be given back. The holder then forgets
// the key and ignores answers to earlier requests: when the key comes into use
// again, only answers to later requests count.
func (h *Holder) isIdle(now time.Time, k *heldKey) bool {
	return k.inUse == 0 && now.Sub(k.lastUse) > h.cfg.IdleTimeout
}

// batcher collects asks into one request per owner.
type batcher struct {
	holder  *Holder
	batches []Batch
	index   map[string]int // by owner
}

func (b *batcher) add(k *heldKey, a KeyRequest) {
	h := b.holder
	owner := rendezvous.Owner(h.owners, k.name)
	if owner == "" {
		return
	}
	r := &b.batches[b.request(owner)].Request
	r.Keys = append(r.Keys, a)
	if k.firstSeq == 0 {
		k.firstSeq = r.Seq
	}
}

// request returns the index of the request to an owner, which it begins.
func (b *batcher) request(owner string) int {
	if i, ok := b.index[owner]; ok {
		return i
	}
	h := b.holder
	h.seq++
	i := len(b.batches)
	b.index[owner] = i
	b.batches = append(b.batches, Batch{Owner: owner, Request: Request{
		Host: h.host, Incarnation: h.incarnation, Epoch: h.epoch,
		OwnerIncarnation: h.ownerIncarnations[owner], Seq: h.seq,
	}})
	return i
}

// forgetSent drops requests whose answers could only grant ended leases.
func (h *Holder) pruneSent(now time.Time) {
	old := 0
	for old < len(h.sent) && now.Sub(h.sent[old].at) > h.cfg.Lease {
		old++
	}
	h.sent = slices.Delete(h.sent, 0, old)
}

func (h *Holder) sentAt(seq uint64) (time.Time, bool) {
	i, found := slices.BinarySearchFunc(h.sent, seq, func(s sentRequest, seq uint64) int { return cmp.Compare(s.seq, seq) })
	if !found {
		return time.Time{}, false
	}
	return h.sent[i].at, true
}

// Receive applies the grants of a reply. A reply of an earlier epoch or of a
// former process of the owner, and one whose leases have already run out,
// changes nothing.
func (h *Holder) Receive(now time.Time, r Reply) {
	at, known := h.sentAt(r.Seq)
	if !known || r.Epoch != h.epoch || r.HolderIncarnation != h.incarnation || r.Incarnation < h.ownerIncarnations[r.Owner] {
		return
	}
	if r.Incarnation > h.ownerIncarnations[r.Owner] {
		h.noteOwnerRestart(r.Owner, r.Incarnation)
	}
	h.confirmLeaseReport(r)
	expires := at.Add(time.Duration(r.LeaseMS) * time.Millisecond)
	for _, g := range r.Grants {
		k := h.keys[g.Key]
		if k == nil || k.firstSeq == 0 || r.Seq < k.firstSeq {
			continue
		}
		k.apply(now, g, Stamp{Epoch: r.Epoch, Incarnation: r.Incarnation, ID: g.ID}, expires)
	}
}

// meet notes a new process of an owner and asks it for its keys at once.
func (h *Holder) noteOwnerRestart(owner string, incarnation uint64) {
	h.ownerIncarnations[owner] = incarnation
	for _, k := range h.order {
		if rendezvous.Owner(h.owners, k.name) == owner {
			k.nextRequest = time.Time{}
		}
	}
}

// Keys returns the number of keys in use.
func (h *Holder) Keys() int { return len(h.keys) }
