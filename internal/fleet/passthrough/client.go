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
	"net/url"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"redwinglock/internal/peer/body"
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
	// other calls get a new connection, so that they cannot receive an answer to an earlier
	// request.
	Idempotent bool
}

// Client sends calls to targets.
type Client struct {
	keepAlive *http.Transport
	singleUse *http.Transport
}

// New creates a client.
func New() *Client {
	return &Client{keepAlive: newTransport(false), singleUse: newTransport(true)}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: body.MaxHeaderBytes,
	}
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
	transport := c.singleUse
	if call.Idempotent {
		transport = c.keepAlive
	} else {
		request.GetBody = nil // Prevents the transport from resending the body in a retry.
	}
	response, err := transport.RoundTrip(request)
	if err != nil && isDialError(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	return response, nil
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
	return nil
}
