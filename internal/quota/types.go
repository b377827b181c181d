package quota

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultLease      = 8 * time.Second
	DefaultOwnerLease = 3 * time.Second
	// DefaultRenewInterval bounds how long a host that comes new to a contended key
	// waits for the others to give way.
	DefaultRenewInterval = time.Second
	DefaultIdleTimeout   = 2 * time.Second
	// DefaultDrift is the greatest relative difference between the clock rates
	// of two hosts.
	DefaultDrift = 0.001
)

// Config holds the settings that owners and holders share. Zero values select
// the defaults.
type Config struct {
	// Lease is how long a holder may use a share after its request was sent.
	Lease time.Duration
	// OwnerLease is how long a control host may act as owner after it was
	// replaced without knowing, which is the length of a configuration lease.
	OwnerLease time.Duration
	// RenewInterval is the interval of requests for a key whose demand is steady. For a
	// key that the owner calls calm it is half the lease.
	RenewInterval time.Duration
	// IdleTimeout is the time without demand after which a holder gives a share back.
	IdleTimeout time.Duration
	Drift       float64
}

func (c Config) withDefaults() Config {
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.OwnerLease = cmp.Or(c.OwnerLease, DefaultOwnerLease)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.Drift = cmp.Or(c.Drift, DefaultDrift)
	return c
}

// longer returns d prolonged by the drift allowance.
func (c Config) longer(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift)
}

// shorter returns d cut by the drift allowance.
func (c Config) shorter(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.Drift)
}

// Limit is what all hosts together may use of a key. A limit without a rate is
// a number of units that are returned after use, such as connections.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens, or the number of units.
	Burst float64
}

// Share is a part of a limit.
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

// Request is sent by a holder to an owner, for all keys that are due.
type Request struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Epoch numbers the set of owners that the holder knows.
	Epoch uint64 `cbor:"3,keyasint"`
	// OwnerIncarnation is the incarnation of the owner that the holder knows. An owner
	// believes no request that names another one: it may have been sent to a
	// former process, and report shares that were passed on since.
	OwnerIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	// Seq grows with each request of the holder.
	Seq  uint64       `cbor:"5,keyasint"`
	Keys []KeyRequest `cbor:"6,keyasint"`
	// Complete tells that the request names every key of the owner of which the
	// holder has a lease. An owner that all holders have told so in its epoch
	// knows all leases and need not wait for unknown ones.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// QuietMS is how long the process has spent no token, in milliseconds, rounded
	// down. It is sent with Complete.
	QuietMS uint32 `cbor:"8,keyasint,omitempty"`
}

// KeyRequest is the part of a request for one key.
type KeyRequest struct {
	Key string `cbor:"1,keyasint"`
	// Demand is in tokens per second, or units wanted.
	Demand float32 `cbor:"2,keyasint,omitempty"`
	// Level is the number of unspent tokens of the holder.
	Level float32 `cbor:"3,keyasint,omitempty"`
	// Returned tokens no longer fit the holder's share.
	Returned float64 `cbor:"4,keyasint,omitempty"`
	// Lease is the lease in use, nil for none.
	Lease *HeldLease `cbor:"5,keyasint,omitempty"`
	// Release tells that the holder no longer uses any lease of the key.
	Release bool `cbor:"6,keyasint,omitempty"`
}

// HolderID names a process that holds shares.
type HolderID struct {
	Host        string
	Incarnation uint64
}

// HeldLease reports a lease.
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
	Owner       string `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// HolderIncarnation is the incarnation in the request, so that an answer to a former
	// process of the host is not taken for one to the present process.
	HolderIncarnation uint64  `cbor:"4,keyasint"`
	Seq               uint64  `cbor:"5,keyasint"`
	LeaseMS           uint32  `cbor:"6,keyasint"`
	Grants            []Grant `cbor:"7,keyasint,omitempty"`
	// Complete confirms a complete request.
	Complete bool `cbor:"8,keyasint,omitempty"`
}

// Grant replaces the holder's share of a key.
type Grant struct {
	Key   string `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"`
	Share Share  `cbor:"3,keyasint"`
	// Tokens are moved from the owner's bucket to the holder's.
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	// Overloaded reports that the demand of all holders is above the limit.
	Overloaded bool `cbor:"5,keyasint,omitempty"`
	// LowDemand reports that the demand is so far below the limit that a new holder
	// can be served from what is free.
	LowDemand bool `cbor:"6,keyasint,omitempty"`
}
