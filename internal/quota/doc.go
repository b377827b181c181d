// Package quota distributes fleet-wide limits among hosts by leases: the rate
// and burst of a workspace, the connections and the slots of an endpoint.
//
// Each key has one owner among the control hosts, chosen by rendezvous hashing.
// An entry host is a holder: it requests shares of the keys that it uses from
// their owners, and spends its shares without further requests. A share is a
// token bucket with a rate and a burst, or a number of units. The sum of the
// rates and the sum of the bursts of all shares, including the owner's own pool,
// never exceed the limit, and tokens are moved between buckets but never
// created. All hosts together therefore spend at most rate*w + burst tokens in
// any interval of length w.
//
// A holder counts a lease from when it sent its request. The owner counts it
// from when the request arrived, and longer by the drift allowance. An owner
// that takes over a key adopts the leases that holders report, and grants the
// rest of the limit only once every lease of the former owner has expired or
// every holder has reported all its leases.
//
// The package performs no I/O and reads no clock.
package quota
