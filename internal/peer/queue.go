package peer

import (
	"sync"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Bounds of the outgoing queue of one peer.
const (
	queueMessages = 1024
	queueBytes    = 2 * MaxMessage
)

// outgoing is one encoded message.
type outgoing struct {
	kind Kind
	data []byte
}

// queue holds the messages to one peer. Adding to it never blocks.
type queue struct {
	mu      sync.Mutex
	items   []outgoing
	bytes   int
	wake    chan struct{}
	dropped func(Kind)
}

func newQueue(dropped func(Kind)) *queue {
	return &queue{wake: make(chan struct{}, 1), dropped: dropped}
}

// put appends a message. When the queue is full it drops the oldest soft
// message; a queue full of others refuses the new message.
func (q *queue) put(msg outgoing) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.full(len(msg.data)) {
		if !q.dropSoft() {
			q.dropped(msg.kind)
			return result.New(result.QueueFull, "outgoing queue of the peer is full")
		}
	}
	q.items = append(q.items, msg)
	q.bytes += len(msg.data)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

func (q *queue) full(size int) bool {
	return len(q.items) >= queueMessages || (len(q.items) > 0 && q.bytes+size > queueBytes)
}

func (q *queue) dropSoft() bool {
	for i, msg := range q.items {
		if !msg.kind.soft() {
			continue
		}
		q.bytes -= len(msg.data)
		q.items = append(q.items[:i], q.items[i+1:]...)
		q.dropped(msg.kind)
		return true
	}
	return false
}

// take removes the oldest message.
func (q *queue) take() (outgoing, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return outgoing{}, false
	}
	msg := q.items[0]
	q.items[0] = outgoing{}
	q.items = q.items[1:]
	q.bytes -= len(msg.data)
	return msg, true
}

// clear drops every message.
func (q *queue) clear() {
	for {
		msg, ok := q.take()
		if !ok {
			return
		}
		q.dropped(msg.kind)
	}
}
