package wire

import "sync"

// Outbox is an unbounded queue of messages for one receiver. Sending never blocks, so a slow
// receiver cannot delay the sender. Messages keep their order.
type Outbox[T any] struct {
	mu     sync.Mutex
	queue  []T
	closed bool
	wake   chan struct{}
}

// NewOutbox creates an empty outbox.
func NewOutbox[T any]() *Outbox[T] {
	return &Outbox[T]{wake: make(chan struct{}, 1)}
}

// Send queues a message. After Close it does nothing.
func (o *Outbox[T]) Send(message T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.queue = append(o.queue, message)
	o.signal()
}

// Close drops the queued messages and ends the loop of the receiver.
func (o *Outbox[T]) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.queue = nil
	o.signal()
}

func (o *Outbox[T]) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives a value when messages may be queued or the outbox is closed.
func (o *Outbox[T]) Wake() <-chan struct{} { return o.wake }

// Drain removes and returns all queued messages. It returns false once the outbox is closed.
func (o *Outbox[T]) Drain() ([]T, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	return batch, !o.closed
}
