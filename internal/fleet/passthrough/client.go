// Package passthrough forwards requests of callers to targets without changing them and
// returns the unchanged answers.
package passthrough

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"redwinglock/internal/peer/http1"
)

const (
	dialTimeout = 300 * time.Millisecond
	// keepAliveInterval and keepAliveProbes configure the TCP probes that detect unreachable
	// targets.
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// ackTimeout is the maximum time that sent bytes may stay unacknowledged.
	ackTimeout = 1500 * time.Millisecond
	// idleTimeout is shorter than the time that targets keep idle connections open.
	idleTimeout = 2 * time.Second
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 8
)

// ErrNotSent is returned if no connection could be opened and nothing was sent.
var ErrNotSent = errors.New("not sent")

// Call is one request for a target.
type Call struct {
	// Address is the base URL of the target.
	Address string
	Method  string
	// URI is the unchanged path and query from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent calls may use an idle connection, on which the transport may retry them. All
	// other calls are sent at most once, on a new connection unless ReuseRecent is set.
	Idempotent bool
	// ReuseRecent lets a call that is not idempotent use a connection that was idle for at most
	// maxRecentIdle. It needs RequestID and IsStray.
	ReuseRecent bool
	// RequestID is the id that the response must have. A connection carries each id only once.
	RequestID string
	// IsStray reports whether a response belongs to another call.
	IsStray func(*http.Response) bool
}

// Client sends calls to targets.
type Client struct {
	counters *counters
	// keepAlive sends idempotent calls, and recent all others but those over TLS, which singleUse sends.
	keepAlive *http1.Transport
	singleUse *http1.Transport
	recent    *recentConnections
}

// Option changes a client.
type Option func(*Client)

// WithMetrics counts connections in a scope.
func WithMetrics(scope tally.Scope) Option {
	return func(c *Client) { c.counters = newCounters(scope) }
}

// New creates a client.
func New(options ...Option) *Client {
	c := &Client{counters: newCounters(tally.NoopScope)}
	for _, apply := range options {
		apply(c)
	}
	dialer := newDialer()
	c.keepAlive, c.singleUse = newTransport(dialer, false), newTransport(dialer, true)
	c.recent = newRecentConnections(dialer, c.counters)
	return c
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
}

func newTransport(dialer *net.Dialer, disableKeepAlives bool) *http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTimeout,
	})
}

// setUserTimeout makes the kernel close a connection if the peer does not acknowledge sent
// bytes within ackTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err = errors.Join(err, optionErr); err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// Do sends a call and returns the answer. The caller must close its body. If the error wraps
// ErrNotSent, the target received nothing. After any other error the target may have executed
// the call.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	response, err := c.send(ctx, call)
	switch {
	case err == nil:
		return response, nil
	case errors.Is(err, http1.ErrSent):
		return nil, fmt.Errorf("send: %w", err)
	case isDialError(err), errors.Is(err, ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("send: %w", err)
}

// send picks the connections for a call and sends it.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, err
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, c.counters.trace))
	if call.Idempotent {
		return c.keepAlive.RoundTrip(request)
	}
	if call.mayReuse() && request.URL.Scheme == "http" && !c.recent.usesNewOnly(addressOf(request.URL)) {
		return c.recent.send(ctx, call, func() (*http.Request, error) { return newRequest(ctx, call) })
	}
	if request.URL.Scheme == "http" && call.Method != http.MethodConnect {
		return c.recent.sendOnce(ctx, request)
	}
	request.GetBody = nil // Prevents the transport from resending the body in a retry.
	return c.singleUse.RoundTrip(request)
}

// mayReuse reports whether a call that is not idempotent may use a recent connection. The end of a
// response to another call cannot be found if the methods differ in whether a response has a body.
func (c *Call) mayReuse() bool {
	return c.ReuseRecent && c.RequestID != "" && c.IsStray != nil && c.Method != http.MethodHead && c.Method != http.MethodConnect
}

// newRequest returns the request of a call, or an error that wraps ErrNotSent.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.Address, bodyReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: create request: %w", ErrNotSent, err)
	}
	request.URL, err = targetURL(request.URL, call.URI)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Host = call.Host
	request.Header = call.Header
	request.ContentLength = int64(len(call.Body))
	return request, nil
}

// CheckURI returns an error if a path and query cannot be forwarded unchanged.
func CheckURI(uri string) error {
	_, err := targetURL(&url.URL{Scheme: "http", Host: "target"}, uri)
	return err
}

// targetURL returns the URL with which the transport sends the unchanged path and query.
func targetURL(address *url.URL, uri string) (*url.URL, error) {
	if !strings.HasPrefix(uri, "//") {
		// Opaque prevents the path from being re-encoded.
		return &url.URL{Scheme: address.Scheme, Host: address.Host, Opaque: uri}, nil
	}
	// An opaque URI that begins with two slashes would be sent with the scheme before it.
	path, query, hasQuery := strings.Cut(uri, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, fmt.Errorf("decode path: %w", err)
	}
	u := &url.URL{Scheme: address.Scheme, Host: address.Host, Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if u.RequestURI() != uri {
		return nil, fmt.Errorf("path %q has characters that are not valid in a path that begins with two slashes", path)
	}
	return u, nil
}

func bodyReader(content []byte) io.Reader {
	if len(content) == 0 {
		return nil
	}
	return bytes.NewReader(content)
}

func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
	c.recent.close()
	return nil
}
