// Package lease implements the configuration lease: the right of a host to act
// on the agreed state for a bounded time. It has two state machines, free of
// I/O and clocks of their own:
//
//   - Holder, on a host that acts on the agreed state. It measures its lease
//     from when it sent a request, by its own monotonic clock.
//   - Broker, on a control host. It collects the requests of its subscribers
//     and answers them after one round that confirms the leader. On the leader
//     that round is a confirmation of its quorum, on the others a request of
//     their own to the leader. So nobody can prolong a lease alone.
//
// From the requests the leader knows the least revision that any holder of a
// valid lease may act on; see Broker.Settle.
package lease

import "time"

// Config holds the times of the configuration lease. All hosts of a fleet use
// the same.
type Config struct {
	// Duration is the length of a lease on the holder's clock.
	Duration time.Duration
	// Drift bounds the difference of the rates of two hosts' clocks, as a
	// fraction. Brokers count leases longer by this much.
	Drift float64
	// RenewInterval is the time between two requests of a holder.
	RenewInterval time.Duration
	// Exclusive: no two processes can have one identity at a time, as when the
	// identity is an address that a process is bound to. A registered process
	// then proves that former ones of its host have ended.
	ExclusiveIdentity bool
}

// DefaultConfig returns the times used in production.
func DefaultConfig() Config {
	return Config{
		Duration:      3 * time.Second,
		Drift:         0.01,
		RenewInterval: 700 * time.Millisecond,
	}
}

// counted returns how long a broker counts a lease.
func (c Config) counted() time.Duration {
	return c.Duration + time.Duration(c.Drift*float64(c.Duration))
}

// ID names one process of a host.
type ID struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Renew asks for a lease.
type Renew struct {
	// Seq grows with each request of the sender.
	Seq uint64 `cbor:"1,keyasint"`
	// Applied is the revision that the sender has applied. A relay sends the
	// least revision applied by the holders behind it.
	Applied uint64 `cbor:"2,keyasint"`
	// Relay marks the request of a broker on behalf of Holders.
	Relay   bool `cbor:"3,keyasint,omitempty"`
	Holders []ID `cbor:"4,keyasint,omitempty"`
	// Base is set in place of Holders when they are those of the answered
	// request with that number.
	Base uint64 `cbor:"5,keyasint,omitempty"`
	// Release tells that the sender takes no lease from an answer that is still on
	// its way. Unless it Keeps those that it has, it uses no lease of this broker any
	// more.
	Release bool `cbor:"6,keyasint,omitempty"`
	Keeps   bool `cbor:"7,keyasint,omitempty"`
}

// RenewOK grants what the Renew with the same Seq asked for.
type RenewOK struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Revision is the least revision that the lease allows to act on.
	Revision uint64 `cbor:"2,keyasint"`
	// Settled is a revision that every holder of a valid lease has applied.
	Settled uint64 `cbor:"3,keyasint"`
}
