package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// segmentBytes is the size of the largest transfer that is not divided.
const segmentBytes = 8 << 10

// segment is a piece of data on the way to its reader.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// pipe carries data from one host to another at the width of both links. It has one writer and one reader.
type pipe struct {
	up, down *direction
	// blocks makes a write wait until the link has sent it. The dialing side does not wait: HTTP/2 clients write under
	// a lock, and a goroutine that waits for a lock stops the clock of a synctest bubble.
	blocks bool
	closed chan struct{}
	close  sync.Once

	mu      sync.Mutex
	queue   []segment
	arrived chan struct{} // Has an element if the queue may not be empty.
	rest    []byte        // Of the segment that is being read.
}

func newPipe(up, down *direction, blocks bool) *pipe {
	return &pipe{up: up, down: down, blocks: blocks, closed: make(chan struct{}), arrived: make(chan struct{}, 1)}
}

func (p *pipe) write(data []byte) (int, error) {
	for written := 0; written < len(data); {
		piece := append([]byte(nil), data[written:min(written+segmentBytes, len(data))]...)
		sentAt := p.up.reserve(len(piece))
		if p.blocks {
			time.Sleep(time.Until(sentAt))
		}
		select {
		case <-p.closed:
			return written, net.ErrClosed
		default:
		}
		p.enqueue(segment{piece, later(sentAt, p.down.reserve(len(piece)))})
		written += len(piece)
	}
	return len(data), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *pipe) enqueue(s segment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = append(p.queue, s)
	select {
	case p.arrived <- struct{}{}:
	default:
	}
}

// dequeue returns the next segment, or false if there is none.
func (p *pipe) dequeue() (segment, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return segment{}, false
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	return next, true
}

func (p *pipe) read(buffer []byte) (int, error) {
	for len(p.rest) == 0 {
		if next, found := p.dequeue(); found {
			time.Sleep(time.Until(next.arrivesAt))
			p.rest = next.data
			continue
		}
		select {
		case <-p.arrived:
		case <-p.closed:
			return 0, io.EOF
		}
	}
	n := copy(buffer, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// conn is one end of a connection. It has no deadlines.
type conn struct {
	local, remote string
	in, out       *pipe
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) { return c.in.read(buffer) }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn. Data on the way is lost.
func (c *conn) Close() error {
	for _, p := range []*pipe{c.in, c.out} {
		p.close.Do(func() { close(p.closed) })
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
