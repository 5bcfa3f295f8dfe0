// Package passthrough sends requests to targets as their callers wrote them and returns
// the answers unchanged.
package passthrough

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 300 * time.Millisecond
	// probeInterval and probeCount find connections whose target has gone silent.
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// ackTimeout is how long sent bytes may stay unacknowledged.
	ackTimeout = 1500 * time.Millisecond
	// idleTimeout is shorter than targets keep idle connections open.
	idleTimeout = 2 * time.Second
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// ErrNotSent says that no connection could be opened, so that nothing was sent.
var ErrNotSent = errors.New("not sent")

// Call is one request for a target.
type Call struct {
	// Address is the base URL of the target.
	Address string
	Method  string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable calls may go over a connection that was used before. All others get a
	// connection of their own, on which no answer to another request can be waiting.
	Repeatable bool
}

// Client sends calls to targets.
type Client struct {
	reused *http.Transport
	fresh  *http.Transport
}

// New creates a client.
func New() *Client {
	return &Client{reused: newTransport(false), fresh: newTransport(true)}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacknowledged,
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// limitUnacknowledged makes the system give a connection up when its peer has gone.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err = errors.Join(err, optionErr); err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// Do sends a call and returns the answer, whose body the caller must close. An error that
// wraps ErrNotSent says that the target has not got any of it; after any other error the
// call may have run.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.Address, bodyReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: create request: %w", ErrNotSent, err)
	}
	// Opaque keeps the path as the caller wrote it.
	request.URL = &url.URL{Scheme: request.URL.Scheme, Host: request.URL.Host, Opaque: call.URI}
	request.Host = call.Host
	request.Header = call.Header
	request.ContentLength = int64(len(call.Body))
	transport := c.fresh
	if call.Repeatable {
		transport = c.reused
	} else {
		request.GetBody = nil // The transport must not send it a second time.
	}
	response, err := transport.RoundTrip(request)
	if err != nil && dialFailed(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	return response, nil
}

func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	return nil
}
