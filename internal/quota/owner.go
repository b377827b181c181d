package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// Owner grants shares of the keys that one control host owns. It is not safe for
// concurrent use.
type Owner struct {
	cfg         Config
	host        string
	incarnation uint64
	epoch       uint64
	owners      []string
	// ownedSince is when this process last took over keys: its start or the latest
	// change of the epoch.
	ownedSince    time.Time
	ownerLeaseEnd time.Time
	limits        map[string]Limit
	neverLeased   map[string]bool // keys of which no lease was ever granted
	// leasedUntil is until when leases of keys whose limit was removed may be in use.
	leasedUntil map[string]time.Time
	keys        map[string]*ownedKey
	lastID      uint64
	// holders are the processes that may hold leases, and absent those that may only hold
	// leases of units. reported contains the processes that have reported all their leases
	// to this owner in this epoch. leasesKnown is set once it contains all holders, and
	// unitLeasesKnown once it contains the absent ones as well.
	holders         []HolderID
	absent          []HolderID
	reported        map[HolderID]bool
	leasesKnown     bool
	unitLeasesKnown bool
	// spentAt is the latest time at which a token of a rate may have been spent, and
	// unlistedSpentAt that of the other rates, according to the holders' lease reports.
	spentAt         map[string]time.Time
	unlistedSpentAt time.Time
	// survived is set if a process that may hold or have spent tokens was not new when it
	// reported its leases (Request.New).
	survived bool
}

// NewOwner returns the Owner of a control host. The incarnation must be greater
// than that of any former process of the host.
func NewOwner(cfg Config, host string, incarnation uint64, now time.Time) *Owner {
	return &Owner{
		cfg: cfg.withDefaults(), host: host, incarnation: incarnation, ownedSince: now,
		limits: map[string]Limit{}, neverLeased: map[string]bool{}, leasedUntil: map[string]time.Time{}, keys: map[string]*ownedKey{},
		reported: map[HolderID]bool{}, spentAt: map[string]time.Time{},
	}
}

// SetEpoch sets the hosts that own keys in an epoch. If the epoch directly follows
// the current one, keys that stay with this host keep their state. After a gap
// another host may have owned them in between, so they are taken over as if new.
// It ignores an epoch that is not newer than the current one.
func (o *Owner) SetEpoch(now time.Time, epoch uint64, owners []string) {
	if epoch <= o.epoch {
		return
	}
	next := epoch == o.epoch+1
	o.epoch, o.owners, o.ownedSince = epoch, slices.Clone(owners), now
	clear(o.neverLeased)
	clear(o.reported)
	clear(o.spentAt)
	o.leasesKnown, o.unitLeasesKnown, o.unlistedSpentAt, o.survived = false, false, time.Time{}, false
	for key := range o.keys {
		if !next || rendezvous.Owner(o.owners, key) != o.host {
			delete(o.keys, key)
		}
	}
}

// SetOwnerLease sets the time until which the host may act as owner: the end of its
// configuration lease.
func (o *Owner) SetOwnerLease(until time.Time) { o.ownerLeaseEnd = until }

// SetLimit sets the limit of a key. If neverLeased is set, no lease of the key can
// exist because the key is new in the fleet; its whole burst is then available at
// once. A zero limit removes the key; if it is set again, it is in quarantine until the leases of
// before have expired.
func (o *Owner) SetLimit(now time.Time, key string, limit Limit, neverLeased bool) {
	if limit == (Limit{}) {
		delete(o.limits, key)
		delete(o.keys, key)
		delete(o.neverLeased, key)
		o.leasedUntil[key] = now.Add(o.cfg.addDrift(o.cfg.ShareLease))
		o.observeSpent(key, now) // holders may still spend their leases of the key
		return
	}
	o.limits[key] = limit
	if neverLeased && !now.Before(o.leasedUntil[key]) {
		o.neverLeased[key] = true
	}
	if k := o.keys[key]; k != nil {
		k.setLimit(now, limit)
	}
}

// SetHolders sets the processes that may hold leases, and those that have given up their
// shares of rates and may only hold units (EndRates). Together they must include all that
// were registered when the epoch began.
func (o *Owner) SetHolders(now time.Time, holders, absent []HolderID) {
	for _, former := range o.holders {
		if !o.reported[former] && !hasProcessOf(holders, former) {
			o.unlistedSpentAt, o.survived = now, true // it may have spent tokens until it left
		}
	}
	o.holders, o.absent = holders, absent
	o.endQuarantine(now)
}

// hasProcessOf reports whether the holders include a process or a newer one of its host. The
// report of the newer one covers what the former one has spent (Request.IdleMS).
func hasProcessOf(holders []HolderID, id HolderID) bool {
	return slices.ContainsFunc(holders, func(h HolderID) bool { return h.Host == id.Host && h.Incarnation >= id.Incarnation })
}

// recordLeaseReport records that a holder has reported all its leases, and how long
// ago it last spent a token of each rate. Once all holders have reported, no lease is
// unknown, and the buckets have refilled since the last token was spent.
func (o *Owner) recordLeaseReport(now time.Time, id HolderID, req Request) {
	o.reported[id] = true
	o.survived = o.survived || !req.New
	ago := func(ms uint32) time.Time {
		return now.Add(-o.cfg.subtractDrift(time.Duration(ms) * time.Millisecond))
	}
	for _, kr := range req.Keys {
		o.observeSpent(kr.Key, ago(kr.SpentMS))
	}
	if since := ago(req.IdleMS); since.After(o.unlistedSpentAt) {
		o.unlistedSpentAt = since
	}
	o.endQuarantine(now)
}

// observeSpent records that a token of a key may have been spent at a time.
func (o *Owner) observeSpent(key string, at time.Time) {
	if at.After(o.spentAt[key]) {
		o.spentAt[key] = at
	}
}

// idleTime returns for how long no token of a key has been spent.
func (o *Owner) idleTime(now time.Time, key string) time.Duration {
	last := o.unlistedSpentAt
	if at := o.spentAt[key]; at.After(last) {
		last = at
	}
	return now.Sub(last)
}

// LeasesKnown reports whether every holder of rates has reported its leases to this owner in
// the current epoch.
func (o *Owner) LeasesKnown() bool { return o.leasesKnown }

// endQuarantine makes the whole limit of all keys available of which every possible holder
// has reported its leases.
func (o *Owner) endQuarantine(now time.Time) {
	if len(o.holders) == 0 {
		return
	}
	unreported := func(id HolderID) bool { return !o.reported[id] }
	presentReported := !slices.ContainsFunc(o.holders, unreported)
	rates := !o.leasesKnown && presentReported
	o.leasesKnown = o.leasesKnown || rates
	// A host that has returned holds no shares of rates, but may hold units.
	units := !o.unitLeasesKnown && presentReported && !slices.ContainsFunc(o.absent, unreported)
	o.unitLeasesKnown = o.unitLeasesKnown || units
	for _, k := range o.keys {
		ends := rates
		if k.limit.Rate == 0 {
			ends = units
		}
		if !ends || k.createdAt.Before(o.ownedSince) && !k.quarantined() {
			continue // known before, or kept from the former epoch with all its leases
		}
		k.quarantineEnd = now
		k.advance(now)
		k.fullyAvailableAt, k.holderCount = now, len(o.holders)
		k.creditIdleTime(now, o.idleTime(now, k.name), !o.survived)
	}
}

// Handle answers a request. A request for another epoch or another incarnation of
// this host, or one that arrives after the end of the owner lease, gets a reply
// without grants; the reply carries the incarnation that the holder must address.
func (o *Owner) Handle(now time.Time, req Request) Reply {
	reply := Reply{
		Owner: o.host, Epoch: o.epoch, Incarnation: o.incarnation,
		HolderIncarnation: req.Incarnation, Seq: req.Seq,
		LeaseMS: uint32(o.cfg.ShareLease.Milliseconds()),
	}
	if req.Epoch != o.epoch || req.OwnerIncarnation != o.incarnation || !now.Before(o.ownerLeaseEnd) {
		return reply
	}
	if reply.Complete = req.Complete; reply.Complete {
		defer o.recordLeaseReport(now, HolderID{req.Host, req.Incarnation}, req)
	}
	for _, kr := range req.Keys {
		if g, ok := o.handleKey(now, HolderID{req.Host, req.Incarnation}, req.Seq, kr); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

// handleKey applies the request for one key. It returns no grant for a release, for
// a key that this host does not own, and for a request that is not newer than the
// latest one of the holder.
func (o *Owner) handleKey(now time.Time, id HolderID, seq uint64, kr KeyRequest) (Grant, bool) {
	k := o.key(now, kr.Key)
	if k == nil {
		return Grant{}, false
	}
	hs := k.holders[id]
	if hs == nil {
		hs = &holderState{}
		k.holders[id] = hs
	}
	if seq <= hs.seq {
		return Grant{}, false
	}
	hs.seq = seq
	k.advance(now)
	k.applyRequest(now, hs, kr)
	if kr.Release {
		return Grant{}, false
	}
	o.lastID++
	return k.grant(now, hs, kr, Stamp{Epoch: o.epoch, Incarnation: o.incarnation, ID: o.lastID}), true
}

// key returns the state of a key, which it creates if needed, or nil if the key has no
// limit or this host does not own it. A new key is in quarantine until all leases of
// former owners have expired, unless none were granted or all are known. A former
// owner may grant leases for the duration of an owner lease after ownedSince.
func (o *Owner) key(now time.Time, key string) *ownedKey {
	if k := o.keys[key]; k != nil {
		return k
	}
	limit, known := o.limits[key]
	if !known || rendezvous.Owner(o.owners, key) != o.host {
		return nil
	}
	quarantineEnd := o.ownedSince.Add(o.cfg.addDrift(o.cfg.OwnerLease + o.cfg.ShareLease))
	leasesKnown := o.leasesKnown
	if limit.Rate == 0 {
		leasesKnown = o.unitLeasesKnown
	}
	if o.neverLeased[key] || leasesKnown {
		quarantineEnd = o.ownedSince
	}
	if until := o.leasedUntil[key]; until.After(quarantineEnd) {
		quarantineEnd = until
	}
	k := newOwnedKey(o.cfg, key, limit, now, quarantineEnd, len(o.holders))
	if o.neverLeased[key] {
		k.pool.level = limit.Burst
		delete(o.neverLeased, key)
	} else if leasesKnown {
		k.creditIdleTime(now, o.idleTime(now, key), !o.survived)
	}
	if leasesKnown {
		k.fullyAvailableAt, k.holderCount = now, len(o.holders)
	}
	o.keys[key] = k
	return k
}

// RemoveHolder reclaims the shares of a process that can no longer use them. The
// caller must be certain that the configuration lease of the process has expired.
func (o *Owner) RemoveHolder(now time.Time, host string, incarnation uint64) {
	for _, k := range o.keys {
		if hs := k.holders[HolderID{host, incarnation}]; hs != nil {
			k.advance(now)
			k.removeHolder(HolderID{host, incarnation}, hs)
		}
	}
}

// EndRates reclaims the shares of rates of a process whose configuration lease has expired,
// and which gives them up before it acts again (Holder.EndRates). It keeps its shares of
// units: the units may still be in use.
func (o *Owner) EndRates(now time.Time, host string, incarnation uint64) {
	for _, k := range o.keys {
		if hs := k.holders[HolderID{host, incarnation}]; hs != nil && k.limit.Rate > 0 {
			k.advance(now)
			k.removeHolder(HolderID{host, incarnation}, hs)
		}
	}
}

// Tick reclaims expired leases. It should be called at least once a second.
func (o *Owner) Tick(now time.Time) {
	for _, k := range o.keys {
		k.expire(now)
	}
	maps.DeleteFunc(o.leasedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// KeyStatus describes a key at its owner.
type KeyStatus struct {
	Limit Limit
	// Pool is the number of tokens that the owner can grant, Leased the burst that holders may
	// be using, Waiting the number of tokens that requests wait for.
	Pool, Leased, Waiting float64
	// Demand is in tokens per second.
	Demand  float64
	Holders int
}

// Status returns the status of a key, or false if the owner has none of it.
func (o *Owner) Status(key string) (KeyStatus, bool) {
	k := o.keys[key]
	if k == nil {
		return KeyStatus{}, false
	}
	return KeyStatus{
		Limit: k.limit, Pool: k.pool.level, Leased: k.leased.Burst, Waiting: k.waiting, Demand: k.demand, Holders: len(k.holders),
	}, true
}

// Pairs returns the number of (holder, key) pairs in the owner's state.
func (o *Owner) Pairs() int {
	n := 0
	for _, k := range o.keys {
		n += len(k.holders)
	}
	return n
}
