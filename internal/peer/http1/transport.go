package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/peer/body"
)

// Transport is an http.Transport that returns no answer with an invalid head, and an error at the end of a body that
// may have been cut.
type Transport struct{ *http.Transport }

// NewTransport creates a transport and bounds the heads that it reads. It takes over the given transport, which must
// not be used afterwards.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = body.MaxHeaderBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConnection(c), nil
	}
	return &Transport{base}
}

// ErrSent is returned if a call has failed after it was written to a connection, whatever failed last: the library sends an
// idempotent call again if a kept connection breaks, and may then find that nothing listens any more.
var ErrSent = errors.New("the call was sent on a connection that broke")

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	c := &call{}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), c.trace())))
	if err != nil {
		return nil, c.failure(err)
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		c.closeConnection() // The library may have kept it already.
		return nil, err
	}
	if !IsFramed(response) && response.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, call: c}
	}
	return response, nil
}

// connection records that a write has failed, which the library may not report.
type connection struct {
	net.Conn
	// idle holds a value while no write is under way.
	idle   chan struct{}
	failed atomic.Bool
}

func newConnection(c net.Conn) *connection {
	idle := make(chan struct{}, 1)
	idle <- struct{}{}
	return &connection{Conn: c, idle: idle}
}

// Write implements io.Writer.
func (c *connection) Write(p []byte) (int, error) {
	<-c.idle
	defer func() { c.idle <- struct{}{} }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// hasWritten waits for a write that is under way, for a limited time, and reports whether all writes have ended without
// an error.
func (c *connection) hasWritten() bool {
	timeout := time.NewTimer(endWait)
	defer timeout.Stop()
	select {
	case <-c.idle:
		c.idle <- struct{}{}
		return !c.failed.Load()
	case <-timeout.C:
		return false
	}
}

// call is the state of one call. The library calls its trace in several goroutines.
type call struct {
	mu sync.Mutex
	// connection is the latest connection of the call, and write its writing to it.
	connection net.Conn
	write      *CallWrite
	// informational is the number of informational answers.
	informational int
}

// trace returns the hooks by which the library reports the progress of the call.
func (c *call) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: c.gotConnection, WroteRequest: c.wroteRequest, Got1xxResponse: c.gotInformational}
}

// gotInformational ends a call with an informational answer whose head is not valid, or with too many of them: the
// library counts them only if nobody asks for them.
func (c *call) gotInformational(_ int, header textproto.MIMEHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.informational++
	if c.informational > MaxInformational {
		return ErrTooManyInformational
	}
	return CheckFieldNames(http.Header(header))
}

func (c *call) gotConnection(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connection, c.write = info.Conn, NewCallWrite()
}

func (c *call) wroteRequest(info httptrace.WroteRequestInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.write != nil {
		c.write.End(info.Err)
	}
}

// failure returns the error of a call without an answer.
func (c *call) failure(err error) error {
	used, write := c.state()
	if write == nil || !write.hasEnded() {
		return err
	}
	if plain, ok := underlying(used).(*connection); ok && plain.failed.Load() {
		return err
	}
	return fmt.Errorf("%w: %w", ErrSent, err)
}

func (c *call) closeConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
	}
}

// state returns the latest connection of the call and the writing to it.
func (c *call) state() (net.Conn, *CallWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection, c.write
}

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	call *call
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	used, write := b.call.state()
	if write == nil {
		return n, ErrUncertainEnd
	}
	if checked := write.CheckEnd(false, err); checked != err {
		return n, checked
	}
	if plain, ok := underlying(used).(*connection); ok && !plain.hasWritten() {
		return n, ErrUncertainEnd
	}
	return n, err
}

// underlying returns the connection below a TLS connection.
func underlying(c net.Conn) net.Conn {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		return secure.NetConn()
	}
	return c
}
