package quota

import (
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// Owner grants shares of the keys that belong to one control host. It is not
// safe for concurrent use.
type Owner struct {
	cfg         Config
	host        string
	incarnation uint64
	epoch       uint64
	owners      []string
	// since is when this process last took keys over.
	ownedSince  time.Time
	leaseEnd    time.Time
	limits      map[string]Limit
	neverLeased map[string]bool // limits without any former lease
	keys        map[string]*ownedKey
	lastID      uint64
	// holders are the processes that may hold leases, told those that have named
	// all their leases to this owner in this epoch, and known is set once all have.
	holders     []HolderID
	reported    map[HolderID]bool
	leasesKnown bool
	// quiet is since when no process that was told of has spent a token, as it
	// said when it named its leases.
	quietSince time.Time
}

// NewOwner returns the owner of a control host. The incarnation must be greater
// than that of any former process of the host.
func NewOwner(cfg Config, host string, incarnation uint64, now time.Time) *Owner {
	return &Owner{
		cfg: cfg.withDefaults(), host: host, incarnation: incarnation, ownedSince: now,
		limits: map[string]Limit{}, neverLeased: map[string]bool{}, keys: map[string]*ownedKey{},
		reported: map[HolderID]bool{},
	}
}

// SetEpoch tells the owner which hosts own keys in an epoch. Keys that it
// already serves and keeps go on without interruption if the epoch is the next
// one; after a gap another host may have served them in between, and they are
// taken over as if new.
func (o *Owner) SetEpoch(now time.Time, epoch uint64, owners []string) {
	if epoch <= o.epoch {
		return
	}
	next := epoch == o.epoch+1
	o.epoch, o.owners, o.ownedSince = epoch, slices.Clone(owners), now
	clear(o.neverLeased)
	clear(o.reported)
	o.leasesKnown, o.quietSince = false, time.Time{}
	for key := range o.keys {
		if !next || rendezvous.Owner(o.owners, key) != o.host {
			delete(o.keys, key)
		}
	}
}

// SetOwnerLease tells until when the host may act as an owner: the end of its
// configuration lease.
func (o *Owner) SetOwnerLease(until time.Time) { o.leaseEnd = until }

// SetLimit sets the limit of a key. Fresh tells that no lease of the key can
// exist because the key is new in the fleet; its whole burst is then available
// at once. A zero limit removes the key.
func (o *Owner) SetLimit(now time.Time, key string, limit Limit, fresh bool) {
	if limit == (Limit{}) {
		delete(o.limits, key)
		delete(o.keys, key)
		o.quietSince = now // leases of the key may be spent on
		return
	}
	o.limits[key] = limit
	if fresh {
		o.neverLeased[key] = true
	}
	if k := o.keys[key]; k != nil {
		k.setLimit(now, limit)
	}
}

// SetHolders tells the owner which processes may hold leases: all that were
// registered when its epoch began, at least.
func (o *Owner) SetHolders(now time.Time, holders []HolderID) {
	o.holders = holders
	o.endQuarantine(now)
}

// learn notes that a holder has named all its leases and for how long it has
// spent nothing. When all holders have, no unknown lease is left to wait for, and
// keys without any lease have filled since the last of them has spent.
func (o *Owner) recordLeaseReport(now time.Time, id HolderID, quiet time.Duration) {
	o.reported[id] = true
	if since := now.Add(-quiet); since.After(o.quietSince) {
		o.quietSince = since
	}
	o.endQuarantine(now)
}

// LeasesKnown reports whether every holder has named its leases to this owner in the
// present epoch, and since when none of them has spent a token by then.
func (o *Owner) LeasesKnown() (bool, time.Time) { return o.leasesKnown, o.quietSince }

// open ends the wait for unknown leases once every holder has named its own.
func (o *Owner) endQuarantine(now time.Time) {
	if o.leasesKnown || len(o.holders) == 0 {
		return
	}
	for _, holder := range o.holders {
		if !o.reported[holder] {
			return
		}
	}
	o.leasesKnown = true
	for _, k := range o.keys {
		k.quarantineEnd = now
		k.advance(now)
		k.openedAt, k.holderCount = now, len(o.holders)
		if k.unleased() {
			k.pool.creditQuietPeriod(now.Sub(o.quietSince))
		}
	}
}

// Handle answers a request. A request of another epoch or for another process
// of this host, or one that arrives while the host has no authority, gets no
// grants; its answer tells the holder which process it must address.
func (o *Owner) Handle(now time.Time, req Request) Reply {
	reply := Reply{
		Owner: o.host, Epoch: o.epoch, Incarnation: o.incarnation,
		HolderIncarnation: req.Incarnation, Seq: req.Seq,
		LeaseMS: uint32(o.cfg.Lease.Milliseconds()),
	}
	if req.Epoch != o.epoch || req.OwnerIncarnation != o.incarnation || !now.Before(o.leaseEnd) {
		return reply
	}
	if reply.Complete = req.Complete; reply.Complete {
		quiet := time.Duration(req.QuietMS) * time.Millisecond
		defer o.recordLeaseReport(now, HolderID{req.Host, req.Incarnation}, o.cfg.subtractDrift(quiet))
	}
	for _, a := range req.Keys {
		if g, ok := o.handleKey(now, HolderID{req.Host, req.Incarnation}, req.Seq, a); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

func (o *Owner) handleKey(now time.Time, id HolderID, seq uint64, a KeyRequest) (Grant, bool) {
	k := o.key(now, a.Key)
	if k == nil {
		return Grant{}, false
	}
	g := k.holders[id]
	if g == nil {
		g = &holderState{}
		k.holders[id] = g
	}
	if seq <= g.seq {
		return Grant{}, false
	}
	g.seq = seq
	k.advance(now)
	k.applyRequest(now, g, a)
	if a.Release {
		return Grant{}, false
	}
	o.lastID++
	return k.grant(now, g, a, Stamp{Epoch: o.epoch, Incarnation: o.incarnation, ID: o.lastID}), true
}

// key returns the state of a key that this host owns, or nil.
func (o *Owner) key(now time.Time, key string) *ownedKey {
	if k := o.keys[key]; k != nil {
		return k
	}
	limit, known := o.limits[key]
	if !known || rendezvous.Owner(o.owners, key) != o.host {
		return nil
	}
	quarantine := o.ownedSince.Add(o.cfg.addDrift(o.cfg.OwnerLease + o.cfg.Lease))
	if o.neverLeased[key] || o.leasesKnown {
		quarantine = o.ownedSince
	}
	k := newOwnedKey(o.cfg, key, limit, now, quarantine)
	if o.neverLeased[key] {
		k.pool.level = limit.Burst
		delete(o.neverLeased, key)
	} else if o.leasesKnown {
		k.pool.creditQuietPeriod(now.Sub(o.quietSince))
	}
	if o.leasesKnown {
		k.openedAt, k.holderCount = now, len(o.holders)
	}
	o.keys[key] = k
	return k
}

// RemoveHolder reclaims the shares of a process that can no longer use them: the
// caller knows that its configuration lease has run out.
func (o *Owner) RemoveHolder(now time.Time, host string, incarnation uint64) {
	for _, k := range o.keys {
		if g := k.holders[HolderID{host, incarnation}]; g != nil {
			k.advance(now)
			k.removeHolder(HolderID{host, incarnation}, g)
		}
	}
}

// Tick reclaims leases that have run out. It should be called every second.
func (o *Owner) Tick(now time.Time) {
	for _, k := range o.keys {
		k.expire(now)
	}
}

// Pairs returns the number of (holder, key) pairs that the owner keeps.
func (o *Owner) Pairs() int {
	n := 0
	for _, k := range o.keys {
		n += len(k.holders)
	}
	return n
}
