package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// urlPath is the URL path at which peers open a WebSocket.
const urlPath = "/peer"

// Listen binds the listener, so that Addr is valid before Run. Further calls have no effect.
func (n *Node) Listen() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		return nil
	}
	listener, err := n.opts.Transport.Listen(n.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.listener = listener
	return nil
}

// Run accepts peers until ctx ends, then closes every connection. It binds the
// listener unless Listen has done so. A Node runs once.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Listen(); err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(n.accept),
		TLSConfig:         n.opts.TLS.Clone(), // the server changes it
		ErrorLog:          n.opts.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		ReadHeaderTimeout: handshakeTimeout,
		IdleTimeout:       handshakeTimeout,
		MaxHeaderBytes:    maxHandshake,
	}
	stop := context.AfterFunc(ctx, func() {
		n.cancel()
		_ = server.Close()
	})
	defer stop()
	err := n.listenAndServe(server)
	n.stop()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve peers")
}

func (n *Node) listenAndServe(server *http.Server) error {
	if n.opts.TLS != nil {
		return server.ServeTLS(n.listener, "", "")
	}
	return server.Serve(n.listener)
}

// accept handles an incoming connection until it closes.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	select {
	case n.acceptSlots <- struct{}{}:
	default:
		http.Error(w, result.Lookup(result.TooManyHandshakes).Name, http.StatusServiceUnavailable)
		return
	}
	c, err := n.acceptConn(w, r)
	<-n.acceptSlots
	if err != nil {
		n.opts.Logger.Debug("peer_accept_failed", "remote", r.RemoteAddr, "err", err.Error())
		return
	}
	l := n.link(c.peer.Host)
	if !n.addTask() {
		c.close()
		return
	}
	defer n.tasks.Done()
	l.attach(c)
	l.serve(c)
}

// addTask is addTaskLocked for callers that do not hold n.mu.
func (n *Node) addTask() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addTaskLocked()
}

// stop closes all connections and waits for the goroutines added by addTask. It cancels
// under n.mu, so that none is added afterwards.
func (n *Node) stop() {
	n.mu.Lock()
	n.cancel()
	n.mu.Unlock()
	n.tasks.Wait()
}

// acceptConn upgrades the request to a WebSocket and runs the handshake.
func (n *Node) acceptConn(w http.ResponseWriter, r *http.Request) (*conn, error) {
	if r.URL.Path != urlPath {
		http.NotFound(w, r)
		return nil, errors.New("unknown path")
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(n.ctx, handshakeTimeout)
	defer stop()
	ws.SetReadLimit(maxHandshake)
	peer, err := n.acceptHandshake(ctx, ws, r.TLS)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	ws.SetReadLimit(MaxMessage)
	return newConn(n.ctx, ws, peer), nil
}

// dial connects to the peer of a link, runs the handshake and starts a goroutine that
// reads from the connection.
func (n *Node) dial(ctx context.Context, l *link, addr string) (*conn, error) {
	ctx, stop := context.WithTimeout(ctx, handshakeTimeout)
	defer stop()
	ws, state, err := n.dialWebSocket(ctx, l.host, addr)
	if err != nil {
		var certErr *tls.CertificateVerificationError
		if errors.As(err, &certErr) {
			n.metrics.countRefusal(result.PeerAuth)
		}
		return nil, err
	}
	ws.SetReadLimit(maxHandshake)
	peer, err := n.dialHandshake(ctx, ws, state, l.host)
	if err != nil {
		_ = ws.CloseNow()
		n.handleRefusal(l.host, err)
		return nil, err
	}
	ws.SetReadLimit(MaxMessage)
	c := newConn(n.ctx, ws, peer)
	if !n.addTask() {
		c.close()
		return nil, n.ctx.Err()
	}
	l.attach(c)
	go func() {
		defer n.tasks.Done()
		l.serve(c)
	}()
	return c, nil
}

func (n *Node) dialWebSocket(ctx context.Context, host, addr string) (*websocket.Conn, *tls.ConnectionState, error) {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return n.opts.Transport.Dial(ctx, addr)
		},
		TLSHandshakeTimeout: handshakeTimeout,
		IdleConnTimeout:     time.Second,
	}
	scheme := "ws://"
	if n.opts.TLS != nil {
		scheme = "wss://"
		transport.TLSClientConfig = n.opts.TLS.Clone()
		transport.TLSClientConfig.ServerName = host
	}
	ws, response, err := websocket.Dial(ctx, scheme+addr+urlPath, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, err
	}
	return ws, response.TLS, nil
}

// handleRefusal logs a refusal received from the peer. A refusal with code PeerIncarnation
// means that a newer process of this host exists.
func (n *Node) handleRefusal(host string, err error) {
	if !errors.Is(err, errRefusedByPeer) {
		return
	}
	code := result.CodeOf(err)
	n.opts.Logger.Warn("peer_refused_us", "peer", host, "code", code, "err", err.Error())
	if code == result.PeerIncarnation {
		n.reportReplaced()
	}
}
