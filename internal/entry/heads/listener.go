package heads

import (
	"container/list"
	"net"
	"sync"
)

// listener accepts at most a number of connections at a time. A further connection takes the place of the one that
// has been without a request for the longest time.
type listener struct {
	net.Listener
	guard          *Guard
	name           string
	maxConnections int

	mu   sync.Mutex
	open int
	// idle holds the connections without a request, *conn, in the order in which they became idle.
	idle list.List
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: socket, guard: l.guard, listener: l, buffer: reservation{budget: l.guard.budget}, request: reservation{budget: l.guard.budget}}
		evicted, accepted := l.add(c)
		if evicted != nil {
			l.guard.report(reasonConnections, evicted)
			evicted.Close()
		}
		if accepted {
			return c, nil
		}
		l.guard.report(reasonConnections, c)
		socket.Close()
	}
}

// add adds a connection. If there are too many, it returns the connection to close for it, or false if all others have
// requests.
func (l *listener) add(c *conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var evicted *conn
	if l.open >= l.maxConnections {
		oldest := l.idle.Front()
		if oldest == nil {
			return nil, false
		}
		evicted = oldest.Value.(*conn)
		l.removeLocked(evicted)
	}
	l.open++
	c.element = l.idle.PushBack(c)
	return evicted, true
}

// setBusy records that a connection has a request. It returns false if the connection was closed to make place for
// another one; the request must not run then.
func (l *listener) setBusy(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.idle.Remove(c.element)
		c.element = nil
	}
	return !c.removed
}

// setIdle records that a connection has no request any more.
func (l *listener) setIdle(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element == nil && !c.removed {
		c.element = l.idle.PushBack(c)
	}
}

// remove forgets a connection that is closed.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *listener) removeLocked(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	if c.element != nil {
		l.idle.Remove(c.element)
		c.element = nil
	}
}

// count returns the number of open connections.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}
