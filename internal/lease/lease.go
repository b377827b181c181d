// Package lease implements the configuration lease: the right of a host to act
// on the agreed state for a bounded time. It has two state machines, which perform
// no I/O and read no clock:
//
//   - Holder, on a host that acts on the agreed state. It measures its lease
//     from when it sent a request, by its own monotonic clock.
//   - Broker, on a control host. It collects the requests of its subscribers
//     and answers them after one round that confirms the leader. On the leader
//     that round is a confirmation of its quorum, on the others (relays) a request
//     of their own to the leader. No host can extend a lease without a quorum.
//
// From the requests the leader derives the settled revision, which every holder of a
// valid lease has applied; see Broker.Settle.
//
// Invariants:
//
//   - No process may act on a revision below a settled revision that any leader
//     has reported.
//   - A lease ends at its holder no later than at the broker that counts it. The
//     holder measures Config.Duration from when it sent the request; the broker
//     measures a time longer by Config.Drift, from when the request arrived.
//   - A lease is counted from the arrival of the request, before it is granted, so
//     that every round reports the leases that it grants.
//   - A grant is bound to a revision: it allows no process to act on an older one.
package lease

import "time"

// Config holds the times of the configuration lease. All hosts of a fleet use
// the same.
type Config struct {
	// Duration is the length of a lease on the holder's clock.
	Duration time.Duration
	// Drift is the maximum difference between the rates of two hosts' clocks, as a
	// fraction. Brokers count leases longer by this fraction.
	Drift float64
	// RenewInterval is the time between two requests of a holder.
	RenewInterval time.Duration
	// ExclusiveIdentity is set when no two processes can have the same identity at a time, as
	// when the identity is an address that the process listens on. A registered
	// process is then proof that former ones of its host have ended.
	ExclusiveIdentity bool
}

// DefaultConfig returns the times used in production, without ExclusiveIdentity.
func DefaultConfig() Config {
	return Config{
		Duration:      3 * time.Second,
		Drift:         0.01,
		RenewInterval: 700 * time.Millisecond,
	}
}

// countedDuration returns how long a broker counts a lease from the arrival of the request.
func (c Config) countedDuration() time.Duration {
	return c.Duration + time.Duration(c.Drift*float64(c.Duration))
}

// ID identifies one process of a host.
type ID struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Renew requests a lease, or releases leases.
type Renew struct {
	// Seq grows with each request of the sender.
	Seq uint64 `cbor:"1,keyasint"`
	// Applied is the revision that the sender has applied, zero when it has no state.
	// A relay sends the least revision applied by its holders.
	Applied uint64 `cbor:"2,keyasint"`
	// Relay marks the request of a relay on behalf of Holders.
	Relay   bool `cbor:"3,keyasint,omitempty"`
	Holders []ID `cbor:"4,keyasint,omitempty"`
	// Base is set in place of Holders when they are the same as in the answered
	// request with that number.
	Base uint64 `cbor:"5,keyasint,omitempty"`
	// Release states that the sender ignores the answers to all earlier requests.
	// Unless KeepLeases is set, it also stops using the leases that this broker
	// granted.
	Release    bool `cbor:"6,keyasint,omitempty"`
	KeepLeases bool `cbor:"7,keyasint,omitempty"`
}

// RenewOK grants the lease requested by the Renew with the same Seq.
type RenewOK struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Revision is the least revision on which the lease allows its holder to act.
	Revision uint64 `cbor:"2,keyasint"`
	// Settled is a revision that every holder of a valid lease has applied.
	Settled uint64 `cbor:"3,keyasint"`
}
