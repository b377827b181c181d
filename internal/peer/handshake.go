package peer

import (
	"context"
	"crypto/tls"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// maxHandshake is the maximum size of a handshake frame and of the HTTP headers, in
// bytes. It applies until the peer is authenticated.
const maxHandshake = 4 << 10

// dialHandshake runs the dialer's side of the handshake. The dialer sends its hello, the
// acceptor responds with its hello and proof, the dialer sends its proof, and the acceptor
// confirms with an empty frame. Either side may end the handshake with a refusal. The peer
// must identify itself as host.
func (n *Node) dialHandshake(ctx context.Context, ws *websocket.Conn, state *tls.ConnectionState, host string) (Identity, error) {
	ownHello, err := n.newHello()
	if err != nil {
		return Identity{}, err
	}
	if err := writeFrame(ctx, ws, handshakeFrame{Hello: ownHello}); err != nil {
		return Identity{}, err
	}
	answer, err := readFrame(ctx, ws)
	if err != nil {
		return Identity{}, err
	}
	peer, err := n.verify(answer, roleAcceptor, ownHello, answer.Hello, state)
	if err != nil {
		return Identity{}, n.refuse(ctx, ws, err)
	}
	if peer.Host != host {
		return Identity{}, n.refuse(ctx, ws, result.New(result.PeerAuth, "host %q answers at the address of %q", peer.Host, host))
	}
	if err := writeFrame(ctx, ws, handshakeFrame{Proof: n.proof(roleDialer, ownHello, answer.Hello)}); err != nil {
		return Identity{}, err
	}
	_, err = readFrame(ctx, ws)
	return peer, err
}

// acceptHandshake runs the acceptor's side of the handshake; see dialHandshake.
func (n *Node) acceptHandshake(ctx context.Context, ws *websocket.Conn, state *tls.ConnectionState) (Identity, error) {
	first, err := readFrame(ctx, ws)
	if err != nil {
		return Identity{}, n.refuse(ctx, ws, err)
	}
	if _, err := n.checkHello(first.Hello); err != nil {
		return Identity{}, n.refuse(ctx, ws, err)
	}
	ownHello, err := n.newHello()
	if err != nil {
		return Identity{}, err
	}
	proof := n.proof(roleAcceptor, first.Hello, ownHello)
	if err := writeFrame(ctx, ws, handshakeFrame{Hello: ownHello, Proof: proof}); err != nil {
		return Identity{}, err
	}
	second, err := readFrame(ctx, ws)
	if err != nil {
		return Identity{}, n.refuse(ctx, ws, err)
	}
	second.Hello = first.Hello
	peer, err := n.verify(second, roleDialer, first.Hello, ownHello, state)
	if err != nil {
		return Identity{}, n.refuse(ctx, ws, err)
	}
	return peer, writeFrame(ctx, ws, handshakeFrame{})
}

// verify checks the hello, the proof and the certificate of the peer, which sent frame in
// the given role, and records the peer's incarnation. dialer and acceptor are the encoded
// hellos of the two sides. The incarnation is recorded last: an unauthenticated peer must
// not be able to replace another process.
func (n *Node) verify(frame handshakeFrame, role string, dialer, acceptor []byte, state *tls.ConnectionState) (Identity, error) {
	h, err := n.checkHello(frame.Hello)
	if err != nil {
		return Identity{}, err
	}
	if err := n.checkProof(frame.Proof, role, dialer, acceptor); err != nil {
		return Identity{}, err
	}
	if err := n.checkCertificate(state, h.Host); err != nil {
		return Identity{}, err
	}
	if err := n.admit(h); err != nil {
		return Identity{}, err
	}
	return Identity{Host: h.Host, Incarnation: h.Incarnation, Addr: h.Addr}, nil
}

// refuse returns cause. When cause is a result.Error of this host, it also counts the
// refusal, logs it and sends the result code to the peer. Failures of the connection are
// not refusals.
func (n *Node) refuse(ctx context.Context, ws *websocket.Conn, cause error) error {
	var e *result.Error
	if !errors.As(cause, &e) || errors.Is(cause, errRefusedByPeer) {
		return cause
	}
	n.metrics.countRefusal(e.Code)
	n.opts.Logger.Warn("peer_refused", "code", e.Code, "detail", e.Detail)
	_ = writeFrame(ctx, ws, handshakeFrame{Code: e.Code, Detail: e.Detail})
	return cause
}

// errRefusedByPeer matches refusals that were received from the peer.
var errRefusedByPeer = errors.New("refused by the peer")

// refusal is a result.Error with which the peer ended the handshake. It matches
// errRefusedByPeer.
type refusal struct {
	cause *result.Error
}

func (r refusal) Error() string        { return "refused by the peer: " + r.cause.Error() }
func (r refusal) Unwrap() error        { return r.cause }
func (r refusal) Is(target error) bool { return target == errRefusedByPeer }

func writeFrame(ctx context.Context, ws *websocket.Conn, frame handshakeFrame) error {
	data, err := Marshal(frame)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}

func readFrame(ctx context.Context, ws *websocket.Conn) (handshakeFrame, error) {
	var frame handshakeFrame
	_, data, err := ws.Read(ctx)
	if err != nil {
		return frame, err
	}
	if err := Unmarshal(data, &frame); err != nil {
		return frame, err
	}
	if frame.Code != 0 {
		return frame, refusal{&result.Error{Code: frame.Code, Detail: frame.Detail}}
	}
	return frame, nil
}
