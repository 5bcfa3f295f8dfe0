package shard

// requestList is a doubly linked list of waiting requests, ordered by the start of their wait.
// The requests hold the links, so removal takes constant time and does not allocate.
type requestList struct {
	first, last *request
}

// insert adds a request at the position given by the start of its wait, which may have been at
// another arbiter.
func (l *requestList) insert(q *request) {
	after := l.last
	for after != nil && after.queuedAt.After(q.queuedAt) {
		after = after.previous
	}
	q.previous = after
	if after == nil {
		q.next = l.first
		l.first = q
	} else {
		q.next = after.next
		after.next = q
	}
	if q.next == nil {
		l.last = q
	} else {
		q.next.previous = q
	}
}

func (l *requestList) remove(q *request) {
	if q.previous == nil {
		l.first = q.next
	} else {
		q.previous.next = q.next
	}
	if q.next == nil {
		l.last = q.previous
	} else {
		q.next.previous = q.previous
	}
	q.previous, q.next = nil, nil
}
