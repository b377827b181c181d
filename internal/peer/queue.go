package peer

import (
	"sync"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Limits of the outgoing queue of one peer, in messages and bytes.
const (
	queueMessages = 1024
	queueBytes    = 2 * MaxMessage
)

// outgoing is an encoded message in the queue.
type outgoing struct {
	kind Kind
	data []byte
	// callID is the ID of the call whose request this is; zero for other messages.
	callID uint64
	// incarnation is that of the process that the message is for; zero for any process of
	// the host.
	incarnation uint64
}

// queue is the bounded queue of outgoing messages to one peer. Adding a message never
// blocks.
type queue struct {
	mu    sync.Mutex
	items []outgoing
	bytes int
	// taken: the message that was taken last may not be written yet.
	taken  bool
	wake   chan struct{} // receives a token when a message is added
	onDrop func(Kind)    // called for each message dropped
}

func newQueue(onDrop func(Kind)) *queue {
	return &queue{wake: make(chan struct{}, 1), onDrop: onDrop}
}

// put appends a message. When the queue is full, it drops the oldest droppable messages
// to make room. When there are none left, it drops the new message and returns a
// result.Error with code QueueFull.
func (q *queue) put(msg outgoing) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.full(len(msg.data)) {
		if !q.dropOldestDroppable() {
			q.onDrop(msg.kind)
			return result.New(result.QueueFull, "outgoing queue to the peer is full")
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

// full reports whether a message of size bytes must not be added. An empty queue accepts a
// message of any size.
func (q *queue) full(size int) bool {
	return len(q.items) >= queueMessages || (len(q.items) > 0 && q.bytes+size > queueBytes)
}

func (q *queue) dropOldestDroppable() bool {
	for i, msg := range q.items {
		if !msg.kind.droppable() {
			continue
		}
		q.bytes -= len(msg.data)
		q.items = append(q.items[:i], q.items[i+1:]...)
		q.onDrop(msg.kind)
		return true
	}
	return false
}

// idle reports whether all messages have been written or dropped.
func (q *queue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) == 0 && !q.taken
}

// take removes and returns the oldest message. It returns false when the queue is empty. The
// message taken before has been dealt with.
func (q *queue) take() (outgoing, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken = len(q.items) > 0
	if !q.taken {
		return outgoing{}, false
	}
	msg := q.items[0]
	q.items[0] = outgoing{}
	q.items = q.items[1:]
	q.bytes -= len(msg.data)
	return msg, true
}

// clear drops all messages and returns them.
func (q *queue) clear() []outgoing {
	var dropped []outgoing
	for {
		msg, ok := q.take()
		if !ok {
			return dropped
		}
		q.onDrop(msg.kind)
		dropped = append(dropped, msg)
	}
}
