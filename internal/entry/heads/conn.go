package heads

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// minBufferBytes is the size of the first buffer of a head.
const minBufferBytes = 1 << 10

var (
	// errRefused is returned to net/http after a refusal has been sent. net/http does not answer read errors.
	errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head was refused")}
	// errMisframed is returned if net/http and this package find different ends of a body.
	errMisframed = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("bytes after the body of a request")}
)

// conn is an accepted connection. It passes the head of a request to net/http when it is complete, and bodies
// without a copy. Reads follow one another, as net/http does them.
type conn struct {
	net.Conn
	guard    *Guard
	listener *listener
	// element is the place of the connection among those without a request, nil while it has one. removed is set once
	// the listener does not count the connection any more. The mutex of the listener guards both.
	element *list.Element
	removed bool

	// pending holds received bytes that net/http has not read. The first deliver bytes may be read, and the first
	// scanned bytes are counted in head.
	pending          []byte
	deliver, scanned int
	head             scanner
	// headDeadline is when the current head must be complete, zero before its first byte.
	headDeadline time.Time
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
	// running is set from the begin to the end of a request.
	running bool
	refused atomic.Bool

	// bodyLeft is what is left of a body with a length; chunks is set for a body in chunks.
	bodyLeft int64
	chunks   *chunks

	buffer, request reservation
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.refused.Load():
		return 0, errRefused
	case c.deliver > 0:
		return c.takePending(p[:min(len(p), c.deliver)]), nil
	case c.bodyLeft > 0:
		n, err := c.readAny(p[:min(int64(len(p)), c.bodyLeft)])
		c.bodyLeft -= int64(n)
		return n, err
	case c.chunks != nil:
		return c.readChunks(p)
	case len(p) == 1:
		return c.readEarly(p)
	case c.running:
		return 0, errMisframed
	}
	if err := c.gather(p); err != nil {
		return 0, err
	}
	return c.takePending(p[:min(len(p), c.deliver)]), nil
}

// takePending moves pending bytes to p and returns their number.
func (c *conn) takePending(p []byte) int {
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.deliver = max(c.deliver-n, 0)
	c.scanned = max(c.scanned-n, 0)
	if len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// readAny reads pending bytes or, if there are none, from the connection.
func (c *conn) readAny(p []byte) (int, error) {
	if len(c.pending) > 0 {
		return c.takePending(p), nil
	}
	return c.Conn.Read(p)
}

// readChunks reads a body in chunks up to its end.
func (c *conn) readChunks(p []byte) (int, error) {
	n, err := c.readAny(p)
	used, ended, scanErr := c.chunks.scan(p[:n])
	if scanErr != nil {
		return 0, scanErr
	}
	if c.chunks.trailer.bytes > 0 && c.request.add(c.chunks.takeTrailerSize()) != nil {
		c.guard.report(reasonNoMemory, c)
		return 0, errNoMemory
	}
	if ended {
		c.pending = append(append([]byte(nil), p[used:n]...), c.pending...)
		c.chunks = nil
	}
	return used, err
}

// readEarly reads one byte of the next head without waiting for the rest. While a request runs, net/http reads one
// byte to learn whether the caller has left.
func (c *conn) readEarly(p []byte) (int, error) {
	n, err := c.readAny(p)
	if n == 0 {
		return 0, err
	}
	if c.scanned > 0 { // It came from the pending bytes, which are counted.
		return n, err
	}
	if _, ended := c.head.scan(p[:n]); ended {
		c.head = scanner{}
	}
	return n, err
}

// gather reads the head of a request until it is complete and counts against the budget. p is used as a buffer.
func (c *conn) gather(p []byte) error {
	if err := c.buffer.set(int64(cap(c.pending))); err != nil {
		return c.closeIncomplete(reasonNoMemory)
	}
	for {
		n, ended := c.head.scan(c.pending[c.scanned:])
		c.scanned += n
		if c.head.bytes > c.guard.maxBytes {
			return c.refuse(reasonTooLarge)
		}
		if ended {
			return c.beginRequest()
		}
		if err := c.receive(p); err != nil {
			return err
		}
	}
}

// receive reads once from the connection and appends to the pending bytes.
func (c *conn) receive(p []byte) error {
	if err := c.setHeadDeadline(); err != nil {
		return err
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return c.endIncomplete(err)
	}
	if missing := len(c.pending) + n; missing > cap(c.pending) {
		grown := max(minBufferBytes, 2*cap(c.pending), missing)
		if c.buffer.set(int64(grown)) != nil {
			return c.closeIncomplete(reasonNoMemory)
		}
		c.pending = append(make([]byte, 0, grown), c.pending...)
	}
	c.pending = append(c.pending, p[:n]...)
	return nil // An error comes again with the next read.
}

// setHeadDeadline bounds the time for the head once it has begun.
func (c *conn) setHeadDeadline() error {
	if c.head.bytes == 0 {
		return nil
	}
	if c.headDeadline.IsZero() {
		c.headDeadline = time.Now().Add(c.guard.headTimeout)
	}
	if !c.readDeadline.IsZero() && c.readDeadline.Before(c.headDeadline) {
		return nil
	}
	return c.Conn.SetReadDeadline(c.headDeadline)
}

// endIncomplete counts a head that did not arrive in time and returns the error of the connection.
func (c *conn) endIncomplete(err error) error {
	var timeout net.Error
	if c.head.bytes > 0 && errors.As(err, &timeout) && timeout.Timeout() {
		c.guard.report(reasonTimeout, c)
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// closeIncomplete gives up a head that is not complete. net/http closes the connection.
func (c *conn) closeIncomplete(r reason) error {
	c.guard.report(r, c)
	c.drop()
	return errRefused
}

// beginRequest reserves the memory for the request of a complete head and lets net/http read it.
func (c *conn) beginRequest() error {
	if c.request.add(c.head.parsedSize()) != nil {
		return c.refuse(reasonNoMemory)
	}
	if !c.listener.setBusy(c) {
		c.drop()
		return errRefused
	}
	c.buffer.release()
	c.deliver = c.scanned
	c.head = scanner{}
	c.headDeadline = time.Time{}
	return nil
}

// beginBody is called before the handler of a request may read its body.
func (c *conn) beginBody(r *http.Request) {
	c.running = true
	switch {
	case r.ContentLength > 0:
		c.bodyLeft = r.ContentLength
	case r.ContentLength < 0:
		c.chunks = &chunks{}
	}
}

// endRequest is called when a request has been answered and the connection may be used for the next one.
func (c *conn) endRequest() {
	if c.deliver > 0 || c.bodyLeft > 0 || c.chunks != nil {
		c.refused.Store(true) // net/http has found another end of the request.
	}
	c.running = false
	c.request.release()
	c.listener.setIdle(c)
}

// drop forgets what was received of a refused head.
func (c *conn) drop() {
	c.refused.Store(true)
	c.pending, c.deliver, c.scanned = nil, 0, 0
	c.buffer.release()
}

// Write implements net.Conn. After a refusal, nothing else is sent.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.readDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }

// CloseWrite closes the writing side. net/http uses it before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	c.buffer.release()
	c.request.release()
	return c.Conn.Close()
}
