// Package quota distributes fleet-wide limits among hosts by leases: the rate
// and burst of a workspace, the connections and the slots of an endpoint.
//
// Each key has one owner among the control hosts, chosen by rendezvous hashing.
// An entry host is a holder: it requests shares of the keys that it uses from
// their owners, and spends its shares without further requests. A share is a
// token bucket with a rate and a burst, or a number of units. The rates and the
// bursts of all shares, including the owner's own pool, never add up to more than
// the limit. Tokens accrue only at these rates and are otherwise only moved between
// buckets. All hosts together therefore spend at most rate*w + burst tokens in any
// interval of length w.
//
// At the holder, a lease starts when the request is sent. At the owner, it starts
// when the request arrives and lasts longer by the drift allowance, so it never ends
// before the holder's. An owner that takes over a key adopts the leases that holders
// report. It grants the rest of the limit only once every lease of former owners has
// expired or every holder has reported all its leases.
//
// The package performs no I/O and reads no clock.
package quota
