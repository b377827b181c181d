// Package control replicates the agreed state among the control hosts and
// distributes it to all hosts.
//
// A Host is the control role of a host with a disk. It drives consensus and the
// store, applies committed commands, and serves subscribers: it pushes deltas
// between revisions and grants configuration leases. The leader grants leases
// after a quorum has confirmed its leadership; another control host first
// requests a lease from the leader as a relay. The leader also removes hosts
// whose lease has expired and runs the failover of groups.
//
// A Subscriber runs on every host. It receives the agreed state from one control
// host at a time (its upstream), keeps its host registered, renews the
// configuration lease, and publishes state and lease to a view.Publisher.
package control
