package control

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// firstRead numbers the confirmations of linearizable reads above those of
// lease rounds, which are below startSeq plus the rounds of a process.
const firstReadID = uint64(1) << 63

// documentResult answers a read of the document.
type documentResult struct {
	document agreed.Document
	err      error
}

// reads are the linearizable reads that wait for a confirmation of the leader.
type pendingReads struct {
	next    uint64
	pending map[uint64]chan documentResult // buffered
}

func newPendingReads() pendingReads {
	return pendingReads{next: firstReadID, pending: make(map[uint64]chan documentResult)}
}

// failAll gives up every read.
func (r *pendingReads) failAll() {
	for id := range r.pending {
		r.finish(id, documentResult{err: result.New(result.NotLeader, "the leader changed")})
	}
}

// finish answers a read and reports whether there was one with the number.
func (r *pendingReads) finish(id uint64, d documentResult) bool {
	reply, ok := r.pending[id]
	if ok {
		delete(r.pending, id)
		reply <- d
	}
	return ok
}

func (h *Host) failRead(id uint64) bool {
	return h.reads.finish(id, documentResult{err: result.New(result.NotLeader, "the leader changed")})
}

// finishRead answers a read after the leader was confirmed; the state then
// includes whatever was committed before the read began.
func (h *Host) finishRead(id uint64) bool {
	return h.reads.finish(id, documentResult{document: h.state.Document})
}

// readEvent asks for the document.
type readEvent struct {
	reply chan documentResult
}

func (e readEvent) handle(h *Host, _ time.Time) {
	if !h.leading || h.saveErr != nil {
		e.reply <- documentResult{err: h.errNotLeader()}
		return
	}
	h.reads.next++
	h.reads.pending[h.reads.next] = e.reply
	if err := h.node.ConfirmQuorum(h.reads.next); err != nil {
		h.reads.finish(h.reads.next, documentResult{err: err})
	}
}

// documentRequest asks the leader for the document.
type documentRequest struct{}

// Document returns the document in force, read at the leader after the call.
// It returns an error when no leader can be confirmed before ctx ends.
func (h *Host) Document(ctx context.Context) (agreed.Document, error) {
	for {
		d, err := h.documentOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return d, err
		}
		select {
		case <-ctx.Done():
			return d, err
		case <-time.After(retryInterval):
		}
	}
}

func (h *Host) documentOnce(ctx context.Context) (agreed.Document, error) {
	info := h.leaderInfo.Load()
	switch {
	case info.leading:
		return h.localDocument(ctx)
	case info.leader == "" || info.leader == h.opts.Peer.Host():
		return agreed.Document{}, result.New(result.NotLeader, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var d agreed.Document
	err := h.opts.Peer.Call(ctx, info.leader, h.controlAddr(info.leader), peer.KindDocument, documentRequest{}, &d)
	return d, err
}

func (h *Host) localDocument(ctx context.Context) (agreed.Document, error) {
	reply := make(chan documentResult, 1)
	if !h.post(readEvent{reply: reply}) {
		return agreed.Document{}, result.New(result.QueueFull, "%v", errTaskUnavailable)
	}
	select {
	case d := <-reply:
		return d.document, d.err
	case <-ctx.Done():
		return agreed.Document{}, result.New(result.NoQuorum, "the leader could not be confirmed in time")
	}
}

func (h *Host) serveDocument(ctx context.Context, _ peer.Identity, _ documentRequest) (agreed.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return h.localDocument(ctx)
}

// SetSeeds replaces the control hosts that are asked while this host belongs to
// no group.
func (h *Host) SetSeeds(hosts []string) {
	h.post(hostSeedsEvent{hosts: hosts})
}

type hostSeedsEvent struct {
	hosts []string
}

func (e hostSeedsEvent) handle(h *Host, _ time.Time) {
	if h.opts.OpenMembership {
		h.node.SetPeers(e.hosts)
	}
}
