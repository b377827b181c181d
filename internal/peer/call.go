package peer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// pendingCall is a request that awaits its reply. A closed reply channel means that the
// connection to the host was lost.
type pendingCall struct {
	host  string
	reply chan envelope
}

// ErrUnreachable is returned by Call when the peer could not be connected to, the
// connection was lost, or this Node was stopped. The peer may have handled the request.
var ErrUnreachable = errors.New("peer unreachable")

// Call sends a request to host and decodes the response into reply, which may be
// nil. It returns a result.Error when the peer responded with one or the request
// could not be queued, ErrUnreachable when the connection failed, or the error of ctx.
func (n *Node) Call(ctx context.Context, host, addr string, kind Kind, msg, reply any) error {
	body, err := Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	id, call := n.startCall(host)
	defer n.dropCall(id)
	if err := n.send(host, addr, envelope{Kind: kind, ID: id, Body: body}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrUnreachable
	case answer, ok := <-call.reply:
		if !ok {
			return ErrUnreachable
		}
		return decodeReply(answer, reply)
	}
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

func (n *Node) startCall(host string) (uint64, *pendingCall) {
	call := &pendingCall{host: host, reply: make(chan envelope, 1)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCallID++
	n.pending[n.lastCallID] = call
	return n.lastCallID, call
}

func (n *Node) dropCall(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, id)
}

// finishCall passes a reply to its caller. A reply is ignored when no call with its ID
// is pending or when it comes from another host than the request was sent to.
func (n *Node) finishCall(host string, e envelope) {
	n.mu.Lock()
	call := n.pending[e.ID]
	if call == nil || call.host != host {
		n.mu.Unlock()
		return
	}
	delete(n.pending, e.ID)
	n.mu.Unlock()
	call.reply <- e
}

// failCalls fails every pending request to host with ErrUnreachable.
func (n *Node) failCalls(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, call := range n.pending {
		if call.host == host {
			delete(n.pending, id)
			close(call.reply)
		}
	}
}

// serveCall runs the handler of a request in a new goroutine and sends the reply. It
// does not block: when maxCalls handlers are running, the request fails with QueueFull.
func (n *Node) serveCall(from Identity, e envelope) {
	n.mu.Lock()
	handle := n.callHandlers[e.Kind]
	n.mu.Unlock()
	select {
	case n.callSlots <- struct{}{}:
	default:
		n.reply(from, e, nil, result.New(result.QueueFull, "too many concurrent requests from peers"))
		return
	}
	go func() {
		defer func() { <-n.callSlots }()
		if handle == nil {
			n.reply(from, e, nil, result.New(result.UnsupportedFeature, "no handler for %s", e.Kind))
			return
		}
		answer, err := handle(n.ctx, from, e.Body)
		n.reply(from, e, answer, err)
	}()
}

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
	if err := n.send(to.Host, to.Addr, e); err != nil {
		n.opts.Logger.Debug("peer_reply_lost", "peer", to.Host, "kind", request.Kind, "err", err.Error())
	}
}

func replyDetail(err error) string {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}
