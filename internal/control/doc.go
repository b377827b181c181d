// Package control keeps and distributes the agreed state.
//
// A Host is the control role of a host with a disk. It drives consensus and the
// store, applies commands, and serves subscribers: it pushes them numbered
// deltas and grants their configuration leases, on the leader after a
// confirmation of its quorum, elsewhere after a request of its own to the
// leader. The leader also ages out hosts and runs the failover of groups.
//
// A Subscriber runs on every host. It follows the agreed state through one
// control host at a time, registers its host and publishes a view.Publisher.
package control
