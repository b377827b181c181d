// Package quota shares limits of the fleet among hosts by leases: the rate and
// burst of a workspace, the connections and the slots of an endpoint.
//
// Each key has one owner among the control hosts, chosen by rendezvous hashing.
// An entry host is a holder: it asks the owners for shares of the keys that it
// uses, and spends from its shares without asking. A share is a token bucket
// with a rate and a burst, or a number of units. The sum of the rates and the
// sum of the bursts of all shares, the owner's own included, never passes the
// limit, and tokens move between buckets without being made. So the tokens
// spent by all hosts in any time w are at most rate*w + burst.
//
// A holder counts a lease from when it sent its request, the owner counts it
// longer by the drift allowance and from when the request arrived. An owner
// that takes a key over adopts the leases that holders report, and grants the
// rest of the limit only once every lease of the former owner has run out.
//
// The package performs no I/O and reads no clock.
package quota
