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
	cfg         Config
	host        string
	incarnation uint64
	epoch       uint64
	owners      []string
	processes   map[string]uint64 // incarnations of the owners, by host
	seq         uint64
	sent        []sentRequest   // oldest first
	units       map[string]bool // keys that are limits of units
	keys        map[string]*heldKey
	order       []*heldKey // the keys in the order of their first use
	// census tells, by owner, whether it has been told of all leases.
	census map[string]*census
	// quiet is since when no token was spent, at most since the process started.
	quiet time.Time
}

// census is what a holder has told an owner of its leases.
type census struct {
	// process is the owner's, zero while it is not known.
	process uint64
	seq     uint64 // of the last request that named all
	done    bool
	next    time.Time
}

// maxQuiet bounds the time that a holder tells, far above the time in which any
// burst fills.
const maxQuiet = time.Hour

// censusInterval is the time between two attempts to tell an owner.
const censusInterval = 100 * time.Millisecond

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
		processes: map[string]uint64{}, units: map[string]bool{}, keys: map[string]*heldKey{},
		census: map[string]*census{},
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
	clear(h.census)
	for _, k := range h.keys {
		k.nextAsk = time.Time{}
	}
}

// SetUnits declares that a key is a limit of units, which are returned by Put.
func (h *Holder) SetUnits(key string) { h.units[key] = true }

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
		k.short = true
		return Decision{Wait: askInterval, Overloaded: k.over}
	case k.units && k.inUse+n <= k.bucket.share.Burst:
		k.inUse += n
		k.backlog = max(0, k.backlog-n)
		return Decision{Granted: true}
	case k.units:
		k.short = true
		return Decision{Wait: askInterval, Overloaded: k.over}
	case k.bucket.level >= n:
		k.bucket.level -= n
		h.quiet = now
		k.backlog = max(0, k.backlog-n)
		return Decision{Granted: true}
	}
	k.short = true
	return Decision{Wait: k.wait(n), Overloaded: k.over}
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
	if k == nil || k.units || !k.valid(now) {
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
		k = &heldKey{name: name, units: h.units[name], measured: now}
		k.bucket.filled = now
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
	if h.quiet.IsZero() {
		h.quiet = now
	}
	h.forgetSent(now)
	b := batcher{holder: h, at: map[string]int{}}
	kept := h.order[:0]
	for _, k := range h.order {
		k.advance(now)
		k.measure(now)
		if h.idle(now, k) {
			b.add(k, KeyRequest{Key: k.name, Release: true, Returned: k.bucket.level + k.returned})
			delete(h.keys, k.name)
			continue
		}
		kept = append(kept, k)
		if k.due(now) {
			b.add(k, k.ask(now))
			k.asked(now, h.cfg)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
	h.takeCensus(now, &b)
	for _, r := range b.batches {
		h.sent = append(h.sent, sentRequest{seq: r.Request.Seq, at: now})
	}
	return b.batches
}

// takeCensus names all leases to the owners that have not been told. An owner
// whose process is not known yet is asked for it.
func (h *Holder) takeCensus(now time.Time, b *batcher) {
	for _, owner := range h.owners {
		c := h.census[owner]
		if c == nil || c.process != h.processes[owner] {
			c = &census{process: h.processes[owner]}
			h.census[owner] = c
		}
		if c.done || now.Before(c.next) {
			continue
		}
		c.next = now.Add(censusInterval)
		i := b.request(owner)
		r := &b.batches[i].Request
		r.Complete, c.seq = c.process != 0, r.Seq
		if r.Complete {
			r.QuietMS = uint32(min(now.Sub(h.quiet), maxQuiet).Milliseconds())
		}
		r.Keys = slices.DeleteFunc(r.Keys, func(a KeyRequest) bool { return !a.Release })
		for _, k := range h.order {
			if rendezvous.Owner(h.owners, k.name) == owner {
				b.add(k, k.ask(now))
				k.asked(now, h.cfg)
			}
		}
	}
}

// told notes that an owner has answered the request that named all leases.
func (h *Holder) told(r Reply) {
	if c := h.census[r.Owner]; c != nil && r.Complete && c.process == r.Incarnation && c.seq == r.Seq {
		c.done = true
	}
}

// idle reports whether a share should be given back. The holder then forgets
// the key and ignores answers to earlier requests: when the key comes into use
// again, only answers to later requests count.
func (h *Holder) idle(now time.Time, k *heldKey) bool {
	return k.inUse == 0 && now.Sub(k.lastUse) > h.cfg.IdleTimeout
}

// batcher collects asks into one request per owner.
type batcher struct {
	holder  *Holder
	batches []Batch
	at      map[string]int // by owner
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
	if i, ok := b.at[owner]; ok {
		return i
	}
	h := b.holder
	h.seq++
	i := len(b.batches)
	b.at[owner] = i
	b.batches = append(b.batches, Batch{Owner: owner, Request: Request{
		Host: h.host, Incarnation: h.incarnation, Epoch: h.epoch,
		OwnerIncarnation: h.processes[owner], Seq: h.seq,
	}})
	return i
}

// forgetSent drops requests whose answers could only grant ended leases.
func (h *Holder) forgetSent(now time.Time) {
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
	if !known || r.Epoch != h.epoch || r.HolderIncarnation != h.incarnation || r.Incarnation < h.processes[r.Owner] {
		return
	}
	if r.Incarnation > h.processes[r.Owner] {
		h.meet(r.Owner, r.Incarnation)
	}
	h.told(r)
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
func (h *Holder) meet(owner string, incarnation uint64) {
	h.processes[owner] = incarnation
	for _, k := range h.order {
		if rendezvous.Owner(h.owners, k.name) == owner {
			k.nextAsk = time.Time{}
		}
	}
}

// Keys returns the number of keys in use.
func (h *Holder) Keys() int { return len(h.keys) }
