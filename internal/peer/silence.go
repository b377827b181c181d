package peer

import (
	"sync"
	"time"
)

// silenceWatch reports when a request was sent and nothing has been heard from the peer
// for maxSilence. After half of that time it pings the peer, so that a slow answer to the
// request is not taken for silence.
type silenceWatch struct {
	node       *Node
	callID     uint64
	host       string
	maxSilence time.Duration
	silent     chan struct{}

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchSilence starts a watch for a call. The channel is closed when the peer is silent.
// stop ends the watch.
func (n *Node) watchSilence(callID uint64, host string, maxSilence time.Duration) (silent <-chan struct{}, stop func()) {
	if maxSilence <= 0 {
		return nil, func() {}
	}
	w := &silenceWatch{node: n, callID: callID, host: host, maxSilence: maxSilence, silent: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(maxSilence/2, w.check)
	return w.silent, w.stop
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check closes the channel, or sets the timer for the next check.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	quiet := w.node.quietTime(w.callID, w.host)
	switch {
	case quiet >= w.maxSilence:
		w.stopped = true
		close(w.silent)
		return
	case quiet >= w.maxSilence/2:
		w.node.pingCallee(w.callID, w.host)
		w.timer.Reset(w.maxSilence - quiet)
	default:
		w.timer.Reset(w.maxSilence/2 - quiet)
	}
}

// quietTime returns for how long nothing was heard from the process that the request of a call
// was sent to, since it was sent. It is zero if the request is not sent or the call has ended.
func (n *Node) quietTime(callID uint64, host string) time.Duration {
	n.mu.Lock()
	call, l := n.pending[callID], n.links[host]
	if call == nil || !call.sent || l == nil {
		n.mu.Unlock()
		return 0
	}
	sentAt, sentTo := call.sentAt, call.sentTo
	n.mu.Unlock()
	quiet := time.Since(sentAt)
	if c := l.newestTo(sentTo); c != nil {
		quiet = min(quiet, since(&c.lastHeard))
	}
	return quiet
}

// pingCallee pings the process that the request of a call was sent to, if it is connected.
func (n *Node) pingCallee(callID uint64, host string) {
	n.mu.Lock()
	call, l := n.pending[callID], n.links[host]
	n.mu.Unlock()
	if call == nil || l == nil {
		return
	}
	if c := l.newestTo(call.sentTo); c != nil {
		c.pingInBackground()
	}
}
