// Package forward is a TCP forwarder that can silence its open connections permanently while
// new connections work.
package forward

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Forwarder forwards connections to a fixed address.
type Forwarder struct {
	listener net.Listener
	target   string
	tasks    sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	silenced chan struct{} // Closed to silence the connections opened so far.
}

// New starts a forwarder to the target address on a free loopback port.
func New(target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f := &Forwarder{listener: listener, target: target, silenced: make(chan struct{})}
	f.tasks.Go(f.accept)
	return f, nil
}

// Address returns the address of the forwarder.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Silence makes the forwarder discard all further data of the open connections, which stay open.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silenced)
	f.silenced = make(chan struct{})
}

// Close closes all connections and waits until their goroutines have ended.
func (f *Forwarder) Close() error {
	err := f.listener.Close()
	f.Silence()
	f.mu.Lock()
	for _, conn := range f.conns {
		conn.Close()
	}
	f.mu.Unlock()
	f.tasks.Wait()
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
		silenced := f.silenced
		f.mu.Unlock()
		f.tasks.Go(func() { copyData(from, to, silenced) })
		f.tasks.Go(func() { copyData(to, from, silenced) })
	}
}

// copyData copies data until the connection ends. Once silenced is closed, it discards the data.
func copyData(from, to net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silenced:
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
