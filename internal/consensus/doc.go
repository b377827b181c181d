// Package consensus orders the changes of the agreed state by a replicated log
// in the manner of Raft (Ongaro and Ousterhout, 2014) with pre-vote,
// check-quorum, learners, one-at-a-time voter changes and chunked snapshots.
//
// The package performs no I/O and reads no clock. A driver owns one Node and
// calls it from one goroutine:
//
//	every Config.TickInterval:  node.Tick()
//	on a message from a peer:   node.Step(m)
//	then, while node.HasReady():
//		rd := node.Ready()
//		store.Save(rd.Durable)             // synced before any message leaves
//		restore the state from rd.Install, when set
//		send rd.Messages
//		apply rd.Committed, answer rd.Confirmed and rd.Dropped
//		node.Advance(rd)
//
// No other method may be called between Ready and Advance. When Save fails,
// the driver must not send, apply or advance; it may call Ready again later.
//
// A node is identified by its disk identity, a random number kept in its data
// folder, and not by its host. A host that lost its disk returns with another
// identity and so cannot vote twice in a term that it forgot.
package consensus
