package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// Holder requests and spends the shares of one entry host. It is not safe for
// concurrent use.
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
	// leaseReports tracks the report of all leases to each owner, by host.
	leaseReports map[string]*leaseReport
	// spentAt is when a token of a rate was last spent, for those spent from within
	// spentMemory. No other process of the host has spent any since startedAt.
	spentAt   map[string]time.Time
	startedAt time.Time
	// ratesSince is when EndRates was last called.
	ratesSince time.Time
	// unanswered is when the oldest request was sent that an owner has not answered, by host.
	unanswered map[string]time.Time
}

// leaseReport tracks whether an owner has acknowledged a request that lists all
// leases of its keys (Request.Complete).
type leaseReport struct {
	// incarnation is the incarnation of the owner, zero while unknown.
	incarnation uint64
	seq         uint64 // of the latest request that listed all leases
	confirmed   bool
	nextAttempt time.Time
}

// spentMemory is how long a holder remembers that it spent a token of a key. Most bursts
// refill in that time.
const spentMemory = 10 * time.Second

// leaseReportInterval is the retry interval of the report of all leases.
const leaseReportInterval = 100 * time.Millisecond

// sentRequest records when a request was sent.
type sentRequest struct {
	seq uint64
	at  time.Time
}

// Decision is the result of Take.
type Decision struct {
	// Granted is set if the tokens were spent or the units taken. Otherwise Wait is
	// the time after which to retry.
	Granted bool
	Wait    time.Duration
	// Overloaded is set if Granted is not and the demand of all hosts exceeds the
	// limit. A request that cannot wait may then be refused, because the load of its
	// own workspace is the cause.
	Overloaded bool
}

// NewHolder returns the holder of an entry host. Former processes of the host have spent no
// token since startedAt. It is zero if that is not known: then they have ended when Requests is
// first called, under a lease of this process.
func NewHolder(cfg Config, host string, incarnation uint64, startedAt time.Time) *Holder {
	return &Holder{
		cfg: cfg.withDefaults(), host: host, incarnation: incarnation, startedAt: startedAt,
		ownerIncarnations: map[string]uint64{}, unitKeys: map[string]bool{}, keys: map[string]*heldKey{},
		leaseReports: map[string]*leaseReport{}, spentAt: map[string]time.Time{}, unanswered: map[string]time.Time{},
	}
}

// SetEpoch sets the hosts that own keys in an epoch. The holder rejects grants of
// earlier epochs from then on, but keeps using its current leases. It ignores an
// epoch that is not newer than the current one.
func (h *Holder) SetEpoch(epoch uint64, owners []string) {
	if epoch <= h.epoch {
		return
	}
	h.epoch, h.owners = epoch, slices.Clone(owners)
	clear(h.leaseReports)
	maps.DeleteFunc(h.unanswered, func(owner string, _ time.Time) bool { return !slices.Contains(owners, owner) })
	for _, k := range h.keys {
		k.nextRequest = time.Time{}
	}
}

// ObserveOwner records the incarnation of an owner as known from the agreed state. A new
// process of an owner has lost its record of leases, and grants the rest of a limit only
// once every holder has reported its leases, including those that use none of its keys.
func (h *Holder) ObserveOwner(host string, incarnation uint64) {
	if incarnation > h.ownerIncarnations[host] {
		h.recordOwnerRestart(host, incarnation)
	}
}

// EndRates ends the leases of all rates and rejects the grants of requests that were sent
// before now. It is called when the host's configuration lease has lapsed: the owners take
// back the shares of a host without one (Owner.EndRates).
func (h *Holder) EndRates(now time.Time) {
	h.ratesSince = now
	for _, k := range h.keys {
		if !k.isUnitLimit {
			k.expires = time.Time{}
			k.advance(now)
		}
	}
}

// SetUnits declares that a key is a limit of units, which are given back by
// Release. It must be called before the first use of the key.
func (h *Holder) SetUnits(key string) { h.unitKeys[key] = true }

// Offer records the arrival of a request for n tokens. It is called once per
// request, however often Take is retried for it, and is followed by a granted
// Take or by Withdraw.
func (h *Holder) Offer(now time.Time, key string, n float64) {
	k := h.key(now, key)
	k.offered += n
	k.backlog += n
	k.lastUse = now
}

// Withdraw records that a request for n tokens no longer waits.
func (h *Holder) Withdraw(key string, n float64) {
	if k := h.keys[key]; k != nil {
		k.backlog = max(0, k.backlog-n)
	}
}

// Take spends n tokens, or takes n units, if the holder's lease is valid and its share
// covers them.
func (h *Holder) Take(now time.Time, key string, n float64) Decision {
	k := h.key(now, key)
	k.advance(now)
	k.lastUse = now
	switch {
	case !k.valid(now):
		k.needsMore = true
		return Decision{Wait: requestInterval, Overloaded: k.overloaded}
	case k.isUnitLimit && k.inUse+n <= k.bucket.share.Burst:
		k.inUse += n
		k.retryDelay = 0
		k.backlog = max(0, k.backlog-n)
		return Decision{Granted: true}
	case k.isUnitLimit:
		k.needsMore = true
		return Decision{Wait: requestInterval, Overloaded: k.overloaded}
	case k.bucket.level >= n:
		k.bucket.level -= n
		k.retryDelay = 0
		h.spentAt[key] = now
		k.backlog = max(0, k.backlog-n)
		return Decision{Granted: true}
	}
	k.needsMore = true
	return Decision{Wait: k.waitTime(n), Overloaded: k.overloaded}
}

// Release gives back n units that were taken by Take.
func (h *Holder) Release(now time.Time, key string, n float64) {
	k := h.keys[key]
	if k == nil {
		return
	}
	k.inUse = max(0, k.inUse-n)
	k.lastUse = now
}

// Refund returns n tokens that were taken but not used, up to the burst of the
// share.
func (h *Holder) Refund(now time.Time, key string, n float64) {
	k := h.keys[key]
	if k == nil || k.isUnitLimit || !k.valid(now) {
		return
	}
	k.advance(now)
	k.bucket.add(n)
}

// Units returns how many units of a key the holder may use now, and how many are
// in use. It allows none once the lease has expired. If inUse exceeds allowed, the
// caller must release the difference.
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

// key returns the state of a key, which it creates on first use.
func (h *Holder) key(now time.Time, name string) *heldKey {
	k := h.keys[name]
	if k == nil {
		k = &heldKey{name: name, isUnitLimit: h.unitKeys[name], measuredAt: now}
		k.bucket.refilledAt = now
		h.keys[name] = k
		h.order = append(h.order, k)
	}
	return k
}

// Batch is a request with the host of the owner to which it is addressed.
type Batch struct {
	Owner   string
	Request Request
}

// Requests returns the requests that are due, at most one per owner, and forgets the
// keys that are idle. It should be called every 100 ms.
func (h *Holder) Requests(now time.Time) []Batch {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	maps.DeleteFunc(h.spentAt, func(_ string, at time.Time) bool { return now.Sub(at) > spentMemory })
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
			k.recordRequest(now, h.cfg)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
	h.reportAllLeases(now, &b)
	for _, r := range b.batches {
		h.sent = append(h.sent, sentRequest{seq: r.Request.Seq, at: now})
		if _, waiting := h.unanswered[r.Owner]; !waiting && r.Request.ExpectsReply() {
			h.unanswered[r.Owner] = now
		}
	}
	return b.batches
}

// reportAllLeases adds requests that list all leases, for the owners that have
// not acknowledged one. The request to an owner whose incarnation is still unknown is
// not marked complete, since the owner ignores it; its reply carries the incarnation.
func (h *Holder) reportAllLeases(now time.Time, b *batcher) {
	for _, owner := range h.owners {
		report := h.leaseReports[owner]
		if report == nil || report.incarnation != h.ownerIncarnations[owner] {
			report = &leaseReport{incarnation: h.ownerIncarnations[owner]}
			h.leaseReports[owner] = report
		}
		if report.confirmed || now.Before(report.nextAttempt) {
			continue
		}
		report.nextAttempt = now.Add(leaseReportInterval)
		i := b.request(owner)
		r := &b.batches[i].Request
		r.Complete, report.seq = report.incarnation != 0, r.Seq
		r.IdleMS = uint32(h.idleTime(now, "").Milliseconds())
		r.New = len(h.spentAt) == 0 && now.Sub(h.startedAt) < spentMemory
		r.Keys = slices.DeleteFunc(r.Keys, func(kr KeyRequest) bool { return !kr.Release })
		for _, k := range h.order {
			if rendezvous.Owner(h.owners, k.name) == owner {
				kr := k.request(now)
				kr.SpentMS = uint32(h.idleTime(now, k.name).Milliseconds())
				b.add(k, kr)
				k.recordRequest(now, h.cfg)
			}
		}
		for _, key := range slices.Sorted(maps.Keys(h.spentAt)) {
			if h.keys[key] == nil && rendezvous.Owner(h.owners, key) == owner {
				r := &b.batches[i].Request
				r.Keys = append(r.Keys, KeyRequest{Key: key, Release: true, SpentMS: uint32(h.idleTime(now, key).Milliseconds())})
			}
		}
	}
}

// idleTime returns for how long no token of a key has been spent, as far as the process
// remembers. For the empty key that is the time that it remembers.
func (h *Holder) idleTime(now time.Time, key string) time.Duration {
	idle := min(now.Sub(h.startedAt), spentMemory)
	if at, ok := h.spentAt[key]; ok {
		idle = min(idle, now.Sub(at))
	}
	return idle
}

// confirmLeaseReport records that an owner has acknowledged the latest request
// that listed all leases.
func (h *Holder) confirmLeaseReport(r Reply) {
	if report := h.leaseReports[r.Owner]; report != nil && r.Complete && report.incarnation == r.Incarnation && report.seq == r.Seq {
		report.confirmed = true
	}
}

// isIdle reports whether the holder should release its share of a key and drop the
// key. Once the key is in use again, only replies to later requests are applied
// (heldKey.firstSeq).
func (h *Holder) isIdle(now time.Time, k *heldKey) bool {
	return k.inUse == 0 && (now.Sub(k.lastUse) > h.cfg.IdleTimeout || k.isSpent(now))
}

// RetryIn returns the time until a further request for more of a key may be sent.
func (h *Holder) RetryIn(now time.Time, key string) time.Duration {
	if k := h.keys[key]; k != nil {
		return max(0, k.retryAt.Sub(now))
	}
	return 0
}

// ownerPatience is how long an owner may leave a request unanswered before it counts as
// unknown: many round trips between failure domains (3 ms), and half of the shortest latency
// target of a route (200 ms).
const ownerPatience = 100 * time.Millisecond

// UnknownIn returns the time until the owner of a key counts as unknown if it does not answer,
// zero if it does already: it has left a request unanswered for ownerPatience, or does not know
// all leases, or the key has none.
func (h *Holder) UnknownIn(now time.Time, key string) time.Duration {
	owner := rendezvous.Owner(h.owners, key)
	if k := h.keys[key]; owner == "" || k != nil && k.unknown {
		return 0
	}
	since, waiting := h.unanswered[owner]
	if !waiting {
		return ownerPatience
	}
	return max(0, ownerPatience-now.Sub(since))
}

// Backlog returns the time until the requests that wait for a key at all holders will have
// their tokens, as its owner expects, zero if there are enough or it is not known.
func (h *Holder) Backlog(now time.Time, key string) time.Duration {
	if k := h.keys[key]; k != nil {
		return max(0, k.backlogUntil.Sub(now))
	}
	return 0
}

// batcher collects key requests into one request per owner.
type batcher struct {
	holder  *Holder
	batches []Batch
	index   map[string]int // into batches, by owner
}

// add appends a key request to the request for the key's owner, if it has one.
func (b *batcher) add(k *heldKey, kr KeyRequest) {
	h := b.holder
	owner := rendezvous.Owner(h.owners, k.name)
	if owner == "" {
		return
	}
	r := &b.batches[b.request(owner)].Request
	r.Keys = append(r.Keys, kr)
	if k.firstSeq == 0 {
		k.firstSeq = r.Seq
	}
}

// request returns the index of the request to an owner and creates it if needed.
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

// pruneSent drops the send times of requests older than a lease: the grants in their
// replies have already expired.
func (h *Holder) pruneSent(now time.Time) {
	old := 0
	for old < len(h.sent) && now.Sub(h.sent[old].at) > h.cfg.ShareLease {
		old++
	}
	h.sent = slices.Delete(h.sent, 0, old)
}

// sentAt returns when a request was sent, or false if it was pruned or never sent.
func (h *Holder) sentAt(seq uint64) (time.Time, bool) {
	i, found := slices.BinarySearchFunc(h.sent, seq, func(s sentRequest, seq uint64) int { return cmp.Compare(s.seq, seq) })
	if !found {
		return time.Time{}, false
	}
	return h.sent[i].at, true
}

// Receive applies the grants of a reply. It ignores replies of another epoch, of a
// former process of the owner, to a former process of this host, and those whose
// leases have already expired.
func (h *Holder) Receive(now time.Time, r Reply) {
	at, ok := h.sentAt(r.Seq)
	if !ok || r.Epoch != h.epoch || r.HolderIncarnation != h.incarnation || r.Incarnation < h.ownerIncarnations[r.Owner] {
		return
	}
	if r.Incarnation > h.ownerIncarnations[r.Owner] {
		h.recordOwnerRestart(r.Owner, r.Incarnation)
	}
	delete(h.unanswered, r.Owner)
	h.confirmLeaseReport(r)
	expires := at.Add(time.Duration(r.LeaseMS) * time.Millisecond)
	for _, g := range r.Grants {
		k := h.keys[g.Key]
		if k == nil || k.firstSeq == 0 || r.Seq < k.firstSeq || !k.isUnitLimit && at.Before(h.ratesSince) {
			continue
		}
		k.apply(now, g, Stamp{Epoch: r.Epoch, Incarnation: r.Incarnation, ID: g.ID}, expires)
	}
}

// recordOwnerRestart records a new incarnation of an owner and makes requests for
// all its keys due at once.
func (h *Holder) recordOwnerRestart(owner string, incarnation uint64) {
	h.ownerIncarnations[owner] = incarnation
	for _, k := range h.order {
		if rendezvous.Owner(h.owners, k.name) == owner {
			k.nextRequest = time.Time{}
		}
	}
}

// Keys returns the number of keys in use.
func (h *Holder) Keys() int { return len(h.keys) }
