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
	since     time.Time
	authority time.Time
	limits    map[string]Limit
	fresh     map[string]bool // limits without any former lease
	keys      map[string]*ownedKey
	lastID    uint64
	// holders are the processes that may hold leases, told those that have named
	// all their leases to this owner in this epoch, and known is set once all have.
	holders []HolderID
	told    map[HolderID]bool
	known   bool
	// quiet is since when no process that was told of has spent a token, as it
	// said when it named its leases.
	quiet time.Time
}

// NewOwner returns the owner of a control host. The incarnation must be greater
// than that of any former process of the host.
func NewOwner(cfg Config, host string, incarnation uint64, now time.Time) *Owner {
	return &Owner{
		cfg: cfg.withDefaults(), host: host, incarnation: incarnation, since: now,
		limits: map[string]Limit{}, fresh: map[string]bool{}, keys: map[string]*ownedKey{},
		told: map[HolderID]bool{},
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
	o.epoch, o.owners, o.since = epoch, slices.Clone(owners), now
	clear(o.fresh)
	clear(o.told)
	o.known, o.quiet = false, time.Time{}
	for key := range o.keys {
		if !next || rendezvous.Owner(o.owners, key) != o.host {
			delete(o.keys, key)
		}
	}
}

// SetOwnerLease tells until when the host may act as an owner: the end of its
// configuration lease.
func (o *Owner) SetOwnerLease(until time.Time) { o.authority = until }

// SetLimit sets the limit of a key. Fresh tells that no lease of the key can
// exist because the key is new in the fleet; its whole burst is then available
// at once. A zero limit removes the key.
func (o *Owner) SetLimit(now time.Time, key string, limit Limit, fresh bool) {
	if limit == (Limit{}) {
		delete(o.limits, key)
		delete(o.keys, key)
		o.quiet = now // leases of the key may be spent on
		return
	}
	o.limits[key] = limit
	if fresh {
		o.fresh[key] = true
	}
	if k := o.keys[key]; k != nil {
		k.setLimit(now, limit)
	}
}

// SetHolders tells the owner which processes may hold leases: all that were
// registered when its epoch began, at least.
func (o *Owner) SetHolders(now time.Time, holders []HolderID) {
	o.holders = holders
	o.open(now)
}

// learn notes that a holder has named all its leases and for how long it has
// spent nothing. When all holders have, no unknown lease is left to wait for, and
// keys without any lease have filled since the last of them has spent.
func (o *Owner) learn(now time.Time, id HolderID, quiet time.Duration) {
	o.told[id] = true
	if since := now.Add(-quiet); since.After(o.quiet) {
		o.quiet = since
	}
	o.open(now)
}

// LeasesKnown reports whether every holder has named its leases to this owner in the
// present epoch, and since when none of them has spent a token by then.
func (o *Owner) LeasesKnown() (bool, time.Time) { return o.known, o.quiet }

// open ends the wait for unknown leases once every holder has named its own.
func (o *Owner) open(now time.Time) {
	if o.known || len(o.holders) == 0 {
		return
	}
	for _, holder := range o.holders {
		if !o.told[holder] {
			return
		}
	}
	o.known = true
	for _, k := range o.keys {
		k.quarantine = now
		k.advance(now)
		k.opened, k.holders = now, len(o.holders)
		if k.unleased() {
			k.pool.credit(now.Sub(o.quiet))
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
	if req.Epoch != o.epoch || req.OwnerIncarnation != o.incarnation || !now.Before(o.authority) {
		return reply
	}
	if reply.Complete = req.Complete; reply.Complete {
		quiet := time.Duration(req.QuietMS) * time.Millisecond
		defer o.learn(now, HolderID{req.Host, req.Incarnation}, o.cfg.shorter(quiet))
	}
	for _, a := range req.Keys {
		if g, ok := o.ask(now, HolderID{req.Host, req.Incarnation}, req.Seq, a); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

func (o *Owner) ask(now time.Time, id HolderID, seq uint64, a KeyRequest) (Grant, bool) {
	k := o.key(now, a.Key)
	if k == nil {
		return Grant{}, false
	}
	g := k.grantees[id]
	if g == nil {
		g = &grantee{}
		k.grantees[id] = g
	}
	if seq <= g.seq {
		return Grant{}, false
	}
	g.seq = seq
	k.advance(now)
	k.report(now, g, a)
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
	quarantine := o.since.Add(o.cfg.longer(o.cfg.OwnerLease + o.cfg.Lease))
	if o.fresh[key] || o.known {
		quarantine = o.since
	}
	k := newOwnedKey(o.cfg, key, limit, now, quarantine)
	if o.fresh[key] {
		k.pool.level = limit.Burst
		delete(o.fresh, key)
	} else if o.known {
		k.pool.credit(now.Sub(o.quiet))
	}
	if o.known {
		k.opened, k.holders = now, len(o.holders)
	}
	o.keys[key] = k
	return k
}

// RemoveHolder reclaims the shares of a process that can no longer use them: the
// caller knows that its configuration lease has run out.
func (o *Owner) RemoveHolder(now time.Time, host string, incarnation uint64) {
	for _, k := range o.keys {
		if g := k.grantees[HolderID{host, incarnation}]; g != nil {
			k.advance(now)
			k.drop(HolderID{host, incarnation}, g)
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
		n += len(k.grantees)
	}
	return n
}
