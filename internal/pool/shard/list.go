package shard

// requestList is a doubly linked list of waiting requests in the order in which they
// began to wait. Its links are in the requests, so that any of them is removed in
// constant time and without allocation.
type requestList struct {
	first, last *request
}

// insert adds a request. One that began to wait at another arbiter takes the place that
// its time gives it.
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

// remove takes a request out.
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
