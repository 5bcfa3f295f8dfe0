// Package forward is a small TCP forwarder that can make its open connections go silent
// for good while new ones work.
package forward

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Forwarder passes connections on to a fixed address.
type Forwarder struct {
	listener net.Listener
	target   string
	done     sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	silent chan struct{} // Closed to make the connections opened so far go silent.
}

// New starts a forwarder to the target address on a free port of loopback.
func New(target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f := &Forwarder{listener: listener, target: target, silent: make(chan struct{})}
	f.done.Go(f.accept)
	return f, nil
}

// Address returns the address of the forwarder.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Silence makes the open connections go silent: they stay open and pass nothing on.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silent)
	f.silent = make(chan struct{})
}

// Close closes all connections and waits for their end.
func (f *Forwarder) Close() error {
	err := f.listener.Close()
	f.Silence()
	f.mu.Lock()
	for _, conn := range f.conns {
		conn.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
	return err
}

func (f *Forwarder) accept() {
	for {
		from, err := f.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", f.target)
		if err != nil {
			from.Close()
			continue
		}
		f.mu.Lock()
		f.conns = append(f.conns, from, to)
		silent := f.silent
		f.mu.Unlock()
		f.done.Go(func() { pass(from, to, silent) })
		f.done.Go(func() { pass(to, from, silent) })
	}
}

// pass copies data until the connection ends or goes silent.
func pass(from, to net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			to.Close()
			return
		}
	}
}
