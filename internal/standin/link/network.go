// Package link is an in-memory network for tests whose hosts have links of limited width. It uses
// only the clock of the runtime, so a test in a synctest bubble plays it in simulated time.
package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Width is the width of the link of a host, in each direction, in bits a second.
type Width float64

// Mbit is a width of one megabit a second.
const Mbit Width = 1e6

// transferTime returns how long the link takes for a number of bytes.
func (w Width) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) * 8 / float64(w) * float64(time.Second))
}

// Network connects hosts by their addresses.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// NewNetwork creates a network without hosts.
func NewNetwork() *Network { return &Network{hosts: map[string]*Host{}} }

// Host is one host on the network, which listens on one address.
type Host struct {
	network  *Network
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	close    sync.Once
	up, down direction
}

// AddHost adds a host. The address has a host and a port.
func (n *Network) AddHost(address string, width Width) *Host {
	h := &Host{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{}), up: direction{width: width}, down: direction{width: width}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = h
	return h
}

// Dial connects to the address of another host. It has the signature of net.Dialer.DialContext.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	peer := h.network.hosts[address]
	h.network.mu.Unlock()
	if peer == nil {
		return nil, fmt.Errorf("dial %s: no such host", address)
	}
	toPeer, toSelf := newPipe(&h.up, &peer.down, false), newPipe(&peer.up, &h.down, true)
	local := &conn{local: h.address, remote: address, in: toSelf, out: toPeer}
	remote := &conn{local: address, remote: h.address, in: toPeer, out: toSelf}
	select {
	case peer.incoming <- remote:
		return local, nil
	case <-peer.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

// Receive blocks as long as the host's link takes to receive bytes from a sender with a link of no limit.
func (h *Host) Receive(bytes int) {
	for ; bytes > 0; bytes -= segmentBytes {
		time.Sleep(time.Until(h.down.reserve(min(bytes, segmentBytes))))
	}
}

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	select {
	case c := <-h.incoming:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *Host) Close() error {
	h.close.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return address(h.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// direction is one direction of the link of a host. Its transfers run one after another.
type direction struct {
	mu     sync.Mutex
	width  Width
	freeAt time.Time
}

// reserve returns when a transfer of a number of bytes ends that is queued now.
func (d *direction) reserve(bytes int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(d.width.transferTime(bytes))
	return d.freeAt
}
