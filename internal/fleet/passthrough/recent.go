package passthrough

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecentIdle is the longest time for which a connection may be idle before it carries a request
	// that may run only once. Some targets forget connections that were idle for 300 ms.
	maxRecentIdle = 250 * time.Millisecond
	// newOnlyTime is how long only new connections are opened to a target after a reused one failed.
	newOnlyTime = 30 * time.Second
	// maxNewOnly bounds the number of such targets that are remembered.
	maxNewOnly = 1024
	// maxIdleRecent is the maximum number of idle connections to all targets. Each uses about 8 KB.
	maxIdleRecent = 512
	// maxCallsPerConnection bounds the record of the calls that a connection has carried.
	maxCallsPerConnection = 64
)

// ReusedConnectionError is returned if a reused connection failed before the first byte of the
// response. The target may have executed the call.
type ReusedConnectionError struct {
	// Address is the host and port of the target.
	Address string
	Err     error
}

// Error implements error.
func (e *ReusedConnectionError) Error() string {
	return fmt.Sprintf("reused connection to %s failed: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ReusedConnectionError) Unwrap() error { return e.Err }

// recentConnections sends calls on connections that were idle for a short time, or on new ones.
// Unlike http.Transport, it writes each call to at most one connection.
type recentConnections struct {
	dialer   *net.Dialer
	counters *counters
	seed     maphash.Seed

	mu     sync.Mutex
	closed bool
	// idle holds the idle connections by address, in the order of their release. count is their number.
	idle  map[string][]*connection
	count int
	// newOnly holds the addresses to which a reused connection failed, and until when only new ones
	// are used.
	newOnly map[string]time.Time
}

func newRecentConnections(dialer *net.Dialer, c *counters) *recentConnections {
	return &recentConnections{
		dialer: dialer, counters: c, seed: maphash.MakeSeed(),
		idle: map[string][]*connection{}, newOnly: map[string]time.Time{},
	}
}

// addressOf returns the host and port to which a URL connects.
func addressOf(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// usesNewOnly reports whether a reused connection to the address has failed a short time ago.
func (r *recentConnections) usesNewOnly(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, found := r.newOnly[address]
	if found && !time.Now().Before(until) {
		delete(r.newOnly, address)
		return false
	}
	return found
}

// send sends a call on an idle connection if there is one that may be used, otherwise on a new one.
// newRequest is called for each connection that is tried, but only one of them is written to.
func (r *recentConnections) send(ctx context.Context, call Call, newRequest func() (*http.Request, error)) (*http.Response, error) {
	request, err := newRequest()
	if err != nil {
		return nil, err
	}
	address := addressOf(request.URL)
	id := maphash.String(r.seed, call.RequestID)
	if c := r.take(address, id); c != nil {
		response, err := r.exchange(ctx, c, request, id, call.IsStray)
		if !errors.Is(err, errNothingWritten) {
			return response, err
		}
		if request, err = newRequest(); err != nil {
			return nil, err
		}
	}
	c, err := r.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return r.exchange(ctx, c, request, id, nil)
}

// sendOnce sends a call on a new connection, which is not used again.
func (r *recentConnections) sendOnce(ctx context.Context, request *http.Request) (*http.Response, error) {
	c, err := r.dial(ctx, addressOf(request.URL))
	if err != nil {
		return nil, err
	}
	c.singleUse = true
	request.Close = true
	return r.exchange(ctx, c, request, 0, nil)
}

// dial opens a connection to an address.
func (r *recentConnections) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := r.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	r.counters.opened.Inc(1)
	return newConnection(conn, address), nil
}

// take removes an idle connection from the pool that may carry the call with the given id, the one
// released last. It returns nil if there is none.
func (r *recentConnections) take(address string, id uint64) *connection {
	for {
		c := r.pop(address, id)
		if c == nil {
			return nil
		}
		cause, quiet := inspect(c.Conn)
		if cause == "" && max(quiet, time.Since(c.idleSince)) > maxRecentIdle {
			cause = droppedIdle
		}
		if cause == "" {
			r.counters.reused.Inc(1)
			c.reused = true
			return c
		}
		r.counters.dropped(cause)
		_ = c.Conn.Close()
	}
}

func (r *recentConnections) pop(address string, id uint64) *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.idle[address]
	for i := len(all) - 1; i >= 0; i-- {
		// A second response to the earlier call with this id could not be told from the response to the new one.
		if !slices.Contains(all[i].calls, id) {
			c := all[i]
			r.remove(c)
			return c
		}
	}
	return nil
}

// remove removes a connection from the pool and reports whether it was there. It needs the lock.
func (r *recentConnections) remove(c *connection) bool {
	all := r.idle[c.address]
	i := slices.Index(all, c)
	if i < 0 {
		return false
	}
	c.expiry.Stop()
	r.count--
	if len(all) == 1 {
		delete(r.idle, c.address)
		return true
	}
	r.idle[c.address] = slices.Delete(all, i, i+1)
	return true
}

// release puts a connection that has answered its call into the pool. It reports false if it closed
// the connection instead.
func (r *recentConnections) release(c *connection) bool {
	cause, quiet := inspect(c.Conn)
	if cause != "" || quiet >= maxRecentIdle || len(c.calls) >= maxCallsPerConnection || !r.add(c, quiet) {
		_ = c.Conn.Close()
		return false
	}
	return true
}

func (r *recentConnections) add(c *connection, quiet time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, newOnly := r.newOnly[c.address]
	if r.closed || newOnly || r.count >= maxIdleRecent || len(r.idle[c.address]) >= maxIdlePerTarget {
		return false
	}
	c.idleSince = time.Now().Add(-quiet)
	r.idle[c.address] = append(r.idle[c.address], c)
	r.count++
	c.expiry = time.AfterFunc(maxRecentIdle-quiet, func() { r.expire(c) })
	return true
}

func (r *recentConnections) expire(c *connection) {
	r.mu.Lock()
	// The connection may carry a call by now, or be idle again since then.
	isDue := time.Since(c.idleSince) >= maxRecentIdle && r.remove(c)
	r.mu.Unlock()
	if isDue {
		r.counters.dropped(droppedIdle)
		_ = c.Conn.Close()
	}
}

// recordFailure stops the reuse of connections to an address for newOnlyTime.
func (r *recentConnections) recordFailure(address string) {
	r.counters.failed.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if len(r.newOnly) >= maxNewOnly {
		r.forgetNewOnly(now)
	}
	r.newOnly[address] = now.Add(newOnlyTime)
	for _, c := range slices.Clone(r.idle[address]) {
		r.remove(c)
		_ = c.Conn.Close()
	}
}

// forgetNewOnly removes the addresses that are due, or one if none is.
func (r *recentConnections) forgetNewOnly(now time.Time) {
	var first string
	for address, until := range r.newOnly {
		if !now.Before(until) {
			delete(r.newOnly, address)
			continue
		}
		if first == "" || until.Before(r.newOnly[first]) {
			first = address
		}
	}
	if len(r.newOnly) >= maxNewOnly {
		delete(r.newOnly, first)
	}
}

// close closes the idle connections.
func (r *recentConnections) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, all := range r.idle {
		for _, c := range slices.Clone(all) {
			r.remove(c)
			_ = c.Conn.Close()
		}
	}
}
