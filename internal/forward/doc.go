// Package forward carries statements from the hosts that callers are connected to, to the
// hosts that are at home for them (package route), and back. It chooses among the home
// hosts by what it has seen of them, and is the transport of package core's Forwarder.
//
// The choice needs no agreement: a home host acts under its own lease like any other, so
// two hosts that choose differently only use more connections.
package forward
