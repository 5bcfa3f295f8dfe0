// Package proxy is a fault-injecting TCP proxy on loopback. It can delay, block, refuse and
// reset connections, and has a limited width.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Link has the faults of a proxy. The zero Link forwards all data without delay.
type Link struct {
	// Delay is added to each piece of data.
	Delay time.Duration
	// SilentUp and SilentDown block the data from and to the dialing side until they are unset.
	SilentUp   bool
	SilentDown bool
	// Refused resets new connections.
	Refused bool
}

// Proxy forwards connections to the upstream address. All connections share its width.
type Proxy struct {
	// up and down bound the bytes a second in the directions from and to the dialing side.
	up, down *rate.Limiter

	upstream string
	listener net.Listener
	tasks    sync.WaitGroup

	mu      sync.Mutex
	link    Link
	changed chan struct{}
	open    map[net.Conn]struct{}
	closed  bool
}

// New listens on an address and forwards to upstream.
func New(address, upstream string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", upstream, err)
	}
	p := &Proxy{up: newLimiter(), down: newLimiter(), upstream: upstream, listener: listener, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// newLimiter returns a limiter without a limit.
func newLimiter() *rate.Limiter { return rate.NewLimiter(rate.Inf, bufferBytes) }

// SetWidth bounds the bytes a second in each direction, also while faults are set and unset.
func (p *Proxy) SetWidth(bytesPerSecond float64) {
	p.up.SetLimit(rate.Limit(bytesPerSecond))
	p.down.SetLimit(rate.Limit(bytesPerSecond))
}

// Set replaces the faults of the proxy.
func (p *Proxy) Set(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// Close resets all connections and waits until they have ended.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	err := p.listener.Close()
	p.Reset()
	p.tasks.Wait()
	return err
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only on a connection that has ended.
	}
	_ = conn.Close() // Likewise.
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The dialing side has already closed the connection.
		}
		p.tasks.Go(func() { p.forward(conn) })
	}
}

func (p *Proxy) forward(down net.Conn) {
	defer down.Close()
	if !p.add(down) {
		reset(down)
		return
	}
	defer p.remove(down)
	up, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(down)
		return
	}
	defer up.Close()
	if !p.add(up) {
		reset(down)
		return
	}
	defer p.remove(up)
	var both sync.WaitGroup
	both.Go(func() { p.copyData(up, down, p.up, func(l Link) bool { return l.SilentUp }) })
	both.Go(func() { p.copyData(down, up, p.down, func(l Link) bool { return l.SilentDown }) })
	both.Wait()
}

// add registers an open connection. It returns false if the proxy refuses connections or is
// closed.
func (p *Proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.link.Refused {
		return false
	}
	p.open[conn] = struct{}{}
	return true
}

func (p *Proxy) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

const bufferBytes = 16 << 10

// copyData forwards the data of one direction until it ends. It forwards a reset as a reset and
// the end of the data as a half-close.
func (p *Proxy) copyData(to, from net.Conn, width *rate.Limiter, silent func(Link) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(width.ReserveN(time.Now(), n).Delay())
		if !p.awaitDelivery(silent) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // Fails only on a connection that has ended.
	}
}

// awaitDelivery waits for the delay, and then as long as the direction is silent. It returns
// false if the proxy was closed in the meantime.
func (p *Proxy) awaitDelivery(silent func(Link) bool) bool {
	p.mu.Lock()
	delay := p.link.Delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		blocked, changed, closed := silent(p.link), p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !blocked {
			return true
		}
		<-changed
	}
}
