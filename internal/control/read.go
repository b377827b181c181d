package control

import (
	"context"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// readIDBase is below the confirmation IDs of all linearizable reads and above those of
// lease rounds, which stay below initialSeq plus the number of rounds of a process.
const readIDBase = uint64(1) << 63

// documentResult is the result of a read of the document.
type documentResult struct {
	document agreed.Document
	err      error
}

// pendingReads are the linearizable reads that wait for a confirmation of the leader.
type pendingReads struct {
	lastID  uint64
	pending map[uint64]chan documentResult // buffered
}

func newPendingReads() pendingReads {
	return pendingReads{lastID: readIDBase, pending: make(map[uint64]chan documentResult)}
}

// failAll fails every pending read.
func (r *pendingReads) failAll() {
	for id := range r.pending {
		r.finish(id, documentResult{err: result.New(result.NotLeader, "the leader changed")})
	}
}

// finish answers a read and reports whether there was one with the ID.
func (r *pendingReads) finish(id uint64, d documentResult) bool {
	reply, ok := r.pending[id]
	if ok {
		delete(r.pending, id)
		reply <- d
	}
	return ok
}

// failRead fails a read and reports whether there was one with the ID.
func (h *Host) failRead(id uint64) bool {
	return h.pendingReads.finish(id, documentResult{err: result.New(result.NotLeader, "the leader changed")})
}

// finishRead answers a read after the leader was confirmed and reports whether there
// was one with the ID. The state then includes everything that was committed before
// the read began.
func (h *Host) finishRead(id uint64) bool {
	return h.pendingReads.finish(id, documentResult{document: h.state.Document})
}

// readEvent requests the document from this host as the leader.
type readEvent struct {
	reply chan documentResult
}

func (e readEvent) handle(h *Host, _ time.Time) {
	if !h.leading || h.saveErr != nil {
		e.reply <- documentResult{err: h.errNotLeader()}
		return
	}
	h.pendingReads.lastID++
	h.pendingReads.pending[h.pendingReads.lastID] = e.reply
	if err := h.node.ConfirmQuorum(h.pendingReads.lastID); err != nil {
		h.pendingReads.finish(h.pendingReads.lastID, documentResult{err: err})
	}
}

// documentRequest requests the document from the leader.
type documentRequest struct{}

// Document returns the document in force. The read is linearizable: it is answered
// by the leader once a quorum has confirmed it after the call. It is retried until
// ctx ends and then returns the last error.
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

// documentOnce reads the document locally or at the leader, without a retry.
func (h *Host) documentOnce(ctx context.Context) (agreed.Document, error) {
	info := h.knownLeader.Load()
	switch {
	case info.leading:
		return h.localDocument(ctx)
	case info.leader == "" || info.leader == h.opts.Peer.Host():
		return agreed.Document{}, result.New(result.NotLeader, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reply documentReply
	if err := h.opts.Peer.Call(ctx, info.leader, h.controlAddr(info.leader), peer.KindDocument, documentRequest{}, &reply); err != nil {
		return agreed.Document{}, err
	}
	return reply.document()
}

// localDocument reads the document on this host, which must be the leader.
func (h *Host) localDocument(ctx context.Context) (agreed.Document, error) {
	reply := make(chan documentResult, 1)
	if !h.post(readEvent{reply: reply}) {
		return agreed.Document{}, result.New(result.QueueFull, "%v", errQueueFull)
	}
	select {
	case d := <-reply:
		return d.document, d.err
	case <-ctx.Done():
		return agreed.Document{}, result.New(result.NoQuorum, "the leader could not be confirmed in time")
	}
}

// serveDocument answers a document request of another host as the leader.
func (h *Host) serveDocument(ctx context.Context, _ peer.Identity, _ documentRequest) (documentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	d, err := h.localDocument(ctx)
	return newDocumentReply(d), err
}

// SetSeeds replaces the control hosts that this host contacts while it is not in a
// consensus group. It has no effect without open membership.
func (h *Host) SetSeeds(hosts []string) {
	h.post(hostSeedsEvent{hosts: hosts})
}

// hostSeedsEvent replaces the seeds of the Host.
type hostSeedsEvent struct {
	hosts []string
}

func (e hostSeedsEvent) handle(h *Host, _ time.Time) {
	if h.opts.OpenMembership {
		h.node.SetPeers(append(slices.Clone(e.hosts), h.formerContacts...))
	}
}
