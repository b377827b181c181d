// Package consensus orders commands in a replicated log by the Raft algorithm
// (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, learners,
// single-member membership changes and chunked snapshots.
//
// The package performs no I/O and reads no clock. A driver owns one Node and
// calls it from one goroutine:
//
//	every Config.TickInterval:  node.Tick()
//	on a message from a peer:   node.Step(m)
//	then, while node.HasReady():
//		rd := node.Ready()
//		store.Save(rd.Durable)             // synced before any message is sent
//		restore the state from rd.Install, when set
//		send rd.Messages
//		apply rd.Committed, complete rd.Confirmed, fail rd.FailedConfirms
//		node.Advance(rd)
//
// No other method may be called between Ready and Advance. When Save fails,
// the driver must not send, apply or advance; it may call Ready again later.
//
// A node is identified by its disk identity, a random number stored in its data
// folder, and not by its host. A host that lost its disk returns with another
// identity, so it cannot vote a second time in a term whose vote was lost.
package consensus
