package quota

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultShareLease = 8 * time.Second
	DefaultOwnerLease = 3 * time.Second
	// DefaultRenewInterval bounds how long a new holder of a contended key waits
	// until the other holders' shares shrink.
	DefaultRenewInterval = time.Second
	DefaultIdleTimeout   = 2 * time.Second
	DefaultDrift         = 0.001
)

// Config holds the settings shared by owners and holders. Zero values select
// the defaults.
type Config struct {
	// ShareLease is how long a holder may use a share after its request was sent.
	ShareLease time.Duration
	// OwnerLease is how long a control host that has been replaced may still act as
	// owner: the duration of its configuration lease.
	OwnerLease time.Duration
	// RenewInterval is the interval between requests for a key with steady demand.
	// For a key with low demand (Grant.LowDemand) it is half of ShareLease.
	RenewInterval time.Duration
	// IdleTimeout is the time without use after which a holder releases a share.
	IdleTimeout time.Duration
	// Drift is the maximum relative difference between the clock rates of two hosts.
	Drift float64
}

func (c Config) withDefaults() Config {
	c.ShareLease = cmp.Or(c.ShareLease, DefaultShareLease)
	c.OwnerLease = cmp.Or(c.OwnerLease, DefaultOwnerLease)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.Drift = cmp.Or(c.Drift, DefaultDrift)
	return c
}

// addDrift returns d extended by the drift allowance.
func (c Config) addDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift)
}

// subtractDrift returns d reduced by the drift allowance.
func (c Config) subtractDrift(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.Drift)
}

// Limit is the fleet-wide limit of a key. A limit without a rate is a number of
// units that are released after use, such as connections.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens, or is the number of units.
	Burst float64
	// IdleBurst is the number of tokens beyond Burst that accrue while nobody can spend any,
	// as after the loss of an owner or of the whole fleet. The requests of that time wait.
	IdleBurst float64
	// RestartBurst is the number of tokens that are granted when all processes are new, in
	// place of those that were left in the buckets of the former ones.
	RestartBurst float64
}

// Share is the part of a limit granted to one holder, in the units of Limit.
type Share struct {
	Rate  float64 `cbor:"1,keyasint,omitempty"`
	Burst float64 `cbor:"2,keyasint,omitempty"`
}

func (s Share) plus(o Share) Share  { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }
func (s Share) minus(o Share) Share { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }
func (s Share) max(o Share) Share   { return Share{max(s.Rate, o.Rate), max(s.Burst, o.Burst)} }
func (s Share) min(o Share) Share   { return Share{min(s.Rate, o.Rate), min(s.Burst, o.Burst)} }

// Stamp orders the grants of a key: by epoch, then by the owner's incarnation,
// then by the order in which the owner made them.
type Stamp struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	ID          uint64 `cbor:"3,keyasint"`
}

// Compare returns -1, 0 or 1 as s is older than, equal to or newer than o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Epoch, o.Epoch), cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.ID, o.ID))
}

// Request is sent by a holder to an owner and covers all keys whose renewal is
// due.
type Request struct {
	// Host and Incarnation name the sender. A message leaves them out, since its connection tells.
	Host        string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Epoch identifies the set of owners that the holder uses.
	Epoch uint64 `cbor:"3,keyasint"`
	// OwnerIncarnation is the incarnation of the owner last seen by the holder. An
	// owner ignores a request for another incarnation: it may have been sent to a
	// former process and report shares that have been granted to others since.
	OwnerIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	// Seq increases with each request of the holder.
	Seq  uint64       `cbor:"5,keyasint"`
	Keys []KeyRequest `cbor:"6,keyasint"`
	// Complete is set if the request lists every lease that the holder has of the
	// owner's keys. Once all holders have sent such a request in the current epoch,
	// the owner need not wait for unreported leases to expire.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// IdleMS is the time in which the process has spent no token of the rates that are not
	// listed in Keys, in milliseconds, rounded down. It is sent with Complete.
	IdleMS uint32 `cbor:"8,keyasint,omitempty"`
	// New is set if the process has spent no token since it started, within the time that it
	// remembers, so that it may have lost the tokens of its former process. It is sent with
	// Complete.
	New bool `cbor:"9,keyasint,omitempty"`
}

// ExpectsReply reports whether the owner has to answer: not if the holder only gives back shares.
func (r Request) ExpectsReply() bool {
	return r.Complete || len(r.Keys) == 0 || slices.ContainsFunc(r.Keys, func(kr KeyRequest) bool { return !kr.Release })
}

// KeyRequest is the part of a request for one key.
type KeyRequest struct {
	Key string `cbor:"1,keyasint"`
	// Demand is in tokens per second, or in units.
	Demand float32 `cbor:"2,keyasint,omitempty"`
	// Level is the number of unspent tokens in the holder's bucket.
	Level float32 `cbor:"3,keyasint,omitempty"`
	// Returned is the number of tokens that exceed the holder's new burst and go
	// back to the owner.
	Returned float64 `cbor:"4,keyasint,omitempty"`
	// Lease is the lease in use, nil for none.
	Lease *HeldLease `cbor:"5,keyasint,omitempty"`
	// Release is set if the holder no longer uses any lease of the key.
	Release bool `cbor:"6,keyasint,omitempty"`
	// Waiting is the number of tokens that requests wait for.
	Waiting float32 `cbor:"7,keyasint,omitempty"`
	// SpentMS is the time since the process last spent a token of the key, in milliseconds,
	// rounded down. It is set in complete requests.
	SpentMS uint32 `cbor:"8,keyasint,omitempty"`
}

// HolderID identifies a process that holds shares.
type HolderID struct {
	Host        string
	Incarnation uint64
}

// HeldLease is a lease as its holder reports it.
type HeldLease struct {
	Stamp Stamp `cbor:"1,keyasint"`
	// Share includes units still in use beyond the granted ones.
	Share Share `cbor:"2,keyasint"`
	// RemainingMS is the time until the lease ends, in milliseconds, rounded up.
	// Zero reports units that are still in use after the end of their lease.
	RemainingMS uint32 `cbor:"3,keyasint"`
}

// Reply answers a Request with the same Seq.
type Reply struct {
	// Owner is the sender, left out of a message as well.
	Owner       string `cbor:"1,keyasint,omitempty"`
	Epoch       uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// HolderIncarnation is the incarnation in the request. It lets a restarted host
	// discard replies to its former process.
	HolderIncarnation uint64  `cbor:"4,keyasint"`
	Seq               uint64  `cbor:"5,keyasint"`
	LeaseMS           uint32  `cbor:"6,keyasint"`
	Grants            []Grant `cbor:"7,keyasint,omitempty"`
	// Complete acknowledges a complete request.
	Complete bool `cbor:"8,keyasint,omitempty"`
}

// Grant replaces the holder's share of a key.
type Grant struct {
	Key   string `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"`
	Share Share  `cbor:"3,keyasint"`
	// Tokens is the number of tokens moved from the owner's bucket to the holder's.
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	// Overloaded is set if the total demand of all holders exceeds the limit.
	Overloaded bool `cbor:"5,keyasint,omitempty"`
	// LowDemand is set if the total demand is below half of the limit, so that a new
	// holder can be served from the free part.
	LowDemand bool `cbor:"6,keyasint,omitempty"`
	// BacklogMS is the time in which the requests that wait at all holders will have their
	// tokens, in milliseconds, while tokens are granted one by one.
	BacklogMS uint32 `cbor:"8,keyasint,omitempty"`
	// Unknown is set while the owner grants nothing because it does not know all leases.
	Unknown bool `cbor:"7,keyasint,omitempty"`
}
