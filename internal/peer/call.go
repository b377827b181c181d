package peer

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/supervise"
)

// pendingCall is a request that awaits its reply.
type pendingCall struct {
	host string
	kind Kind
	// sent is set right before the request is written to a connection. Until then the
	// request can be withdrawn.
	sent   bool
	sentAt time.Time
	// sentTo is the incarnation of the process that the request was written to. Only that
	// process can reply.
	sentTo uint64
	// outcome receives the reply, or the error with which the call failed.
	outcome chan callOutcome
}

// callOutcome is the reply to a request, or the error if none can arrive any more.
type callOutcome struct {
	reply envelope
	err   error
}

var (
	// ErrUnreachable is returned by Call when the peer could not be connected to, the
	// connection was lost, or this Node was stopped. Unless the error is ErrNotSent too,
	// the peer may have handled the request.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrNotSent is returned by Call, in addition to the cause, when no part of the
	// request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrSilent is returned by CallWatched when nothing was heard from the peer for the
	// given time. The peer may have handled the request.
	ErrSilent = errors.New("peer is silent")
)

// notSentError is the failure of a request that was not sent. It matches ErrNotSent and
// its cause.
type notSentError struct{ cause error }

func (e notSentError) Error() string        { return ErrNotSent.Error() + ": " + e.cause.Error() }
func (e notSentError) Unwrap() error        { return e.cause }
func (e notSentError) Is(target error) bool { return target == ErrNotSent }

// Call sends a request to host and decodes the response into reply, which may be
// nil. It returns a result.Error when the peer responded with one or the request
// could not be queued, ErrUnreachable when the connection failed, or the error of ctx.
func (n *Node) Call(ctx context.Context, host, addr string, kind Kind, msg, reply any) error {
	return n.CallWatched(ctx, host, addr, kind, msg, reply, 0)
}

// CallWatched is Call, except that it also fails, with ErrSilent, when the request was
// sent and nothing was heard from the peer for maxSilence, not even an answer to a ping.
// Zero means no such limit.
func (n *Node) CallWatched(ctx context.Context, host, addr string, kind Kind, msg, reply any, maxSilence time.Duration) error {
	body, err := Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	id, call := n.startCall(host, kind)
	if err := n.send(host, addr, envelope{Kind: kind, ID: id, Body: body}); err != nil {
		n.abandonCall(id, err)
		return err
	}
	silent, stop := n.watchSilence(id, host, maxSilence)
	defer stop()
	select {
	case <-ctx.Done():
		err = n.abandonCall(id, ctx.Err())
	case <-n.ctx.Done():
		err = n.abandonCall(id, ErrUnreachable)
	case <-silent:
		err = n.abandonCall(id, ErrSilent)
	case out := <-call.outcome:
		if out.err != nil {
			return out.err
		}
		return decodeReply(out.reply, reply)
	}
	return err
}

func decodeReply(answer envelope, reply any) error {
	if answer.Code != 0 || answer.Detail != "" {
		return &result.Error{Code: answer.Code, Detail: answer.Detail}
	}
	if reply == nil {
		return nil
	}
	return Unmarshal(answer.Body, reply)
}

// dropMessage deals with a message of a caller for which there was no memory, of which data is the
// beginning. A request was not handled, and its sender is told so. The call that awaits a reply fails
// with budget.ErrFull.
func (n *Node) dropMessage(from Identity, data []byte) {
	head, ok := decodeHead(data)
	if !ok {
		return
	}
	if head.Reply {
		n.failCalls(func(call *pendingCall) bool {
			return call == n.pending[head.ID] && call.host == from.Host && call.sent && call.sentTo == from.Incarnation && call.kind == head.Kind
		}, budget.ErrFull)
		return
	}
	if head.ID != 0 {
		n.reply(from, head, nil, result.New(result.HostFull, "%v", budget.ErrFull))
	}
}

func (n *Node) startCall(host string, kind Kind) (uint64, *pendingCall) {
	call := &pendingCall{host: host, kind: kind, outcome: make(chan callOutcome, 1)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCallID++
	n.pending[n.lastCallID] = call
	return n.lastCallID, call
}

// abandonCall removes a call that ends for the given cause, and returns its error. A
// request that was not sent will not be.
func (n *Node) abandonCall(id uint64, cause error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	call := n.pending[id]
	delete(n.pending, id)
	if call != nil && !call.sent {
		return notSentError{cause}
	}
	return cause
}

// markSent records that a request is about to be written to the process with the given
// incarnation. It returns false when the call has been abandoned; the request must then not
// be written.
func (n *Node) markSent(id, incarnation uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	call := n.pending[id]
	if call == nil {
		return false
	}
	call.sent, call.sentAt, call.sentTo = true, time.Now(), incarnation
	return true
}

// finishCall passes a reply to its caller. A reply to a call that has ended is ignored. So is
// one of another kind, or from another process than the request was written to: it belongs to
// another request.
func (n *Node) finishCall(from Identity, e envelope) {
	n.mu.Lock()
	call := n.pending[e.ID]
	if call == nil || !call.sent {
		n.mu.Unlock()
		return
	}
	if call.host != from.Host || call.sentTo != from.Incarnation || call.kind != e.Kind {
		n.mu.Unlock()
		n.metrics.misdirected.WithLabelValues(e.Kind.String()).Inc()
		n.opts.Logger.Error("peer_reply_misdirected", "peer", from.Host, "incarnation", from.Incarnation, "kind", e.Kind, "expected_kind", call.kind)
		return
	}
	delete(n.pending, e.ID)
	n.mu.Unlock()
	call.outcome <- callOutcome{reply: e}
}

// failSentCalls fails the requests that were sent to a host and not answered. Those that are
// still queued are sent on the next connection.
func (n *Node) failSentCalls(host string) {
	n.failCalls(func(call *pendingCall) bool { return call.host == host && call.sent }, ErrUnreachable)
}

// failCallsTo fails the requests that were sent to a process, which cannot reply any more.
func (n *Node) failCallsTo(process Identity) {
	n.failCalls(func(call *pendingCall) bool {
		return call.host == process.Host && call.sent && call.sentTo == process.Incarnation
	}, ErrUnreachable)
}

func (n *Node) failCalls(selected func(*pendingCall) bool, cause error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, call := range n.pending {
		if selected(call) {
			delete(n.pending, id)
			call.outcome <- callOutcome{err: cause}
		}
	}
}

// failSentCall fails a request whose message could not be written completely.
func (n *Node) failSentCall(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if call := n.pending[id]; call != nil {
		delete(n.pending, id)
		call.outcome <- callOutcome{err: ErrUnreachable}
	}
}

// failUnsentCall fails a request that was removed from the queue without being written.
func (n *Node) failUnsentCall(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	call := n.pending[id]
	if call == nil || call.sent {
		return
	}
	delete(n.pending, id)
	call.outcome <- callOutcome{err: notSentError{ErrUnreachable}}
}

// serveCall runs the handler of a request in a new goroutine and sends the reply. It
// does not block: when too many handlers are running, the request fails with QueueFull.
func (n *Node) serveCall(from Identity, e envelope) {
	n.mu.Lock()
	handle := n.callHandlers[e.Kind]
	n.mu.Unlock()
	slots := n.callSlots
	if kinds[e.Kind].fromCallers {
		slots = n.callerSlots
	}
	select {
	case slots <- struct{}{}:
	default:
		n.reply(from, e, nil, result.New(result.QueueFull, "too many concurrent requests from peers"))
		return
	}
	go func() {
		defer func() { <-slots }()
		if handle == nil {
			n.reply(from, e, nil, result.New(result.UnsupportedFeature, "no handler for %s", e.Kind))
			return
		}
		answer, err := n.runHandler(handle, from, e)
		n.reply(from, e, answer, err)
	}()
}

// errHandlerFailed is the answer to a request whose handler panicked. It has no result code: the
// request may have been handled in part.
var errHandlerFailed = errors.New("the request failed unexpectedly")

// runHandler runs the handler of a request. A panic fails the request only.
func (n *Node) runHandler(handle CallHandler, from Identity, e envelope) (answer any, err error) {
	err = errHandlerFailed
	defer supervise.Recover(n.opts.Logger, "peer "+e.Kind.String())
	return handle(n.ctx, from, e.Body)
}

// reply sends the reply to a request to the process that made it.
func (n *Node) reply(to Identity, request envelope, answer any, err error) {
	e := envelope{Kind: request.Kind, ID: request.ID, Reply: true}
	if err == nil && answer != nil {
		e.Body, err = Marshal(answer)
	}
	if err != nil {
		e.Body = nil
		e.Code = result.CodeOf(err)
		e.Detail = replyDetail(err)
	}
	if err := n.sendTo(to, e); err != nil {
		n.opts.Logger.Debug("peer_reply_lost", "peer", to.Host, "kind", request.Kind, "err", err.Error())
	}
}

// replyDetail returns the text of an error. It may quote what another process sent, and a message
// that is not UTF-8 text would end the connection.
func replyDetail(err error) string {
	var e *result.Error
	if errors.As(err, &e) {
		return strings.ToValidUTF8(e.Detail, "\uFFFD")
	}
	return strings.ToValidUTF8(err.Error(), "\uFFFD")
}
