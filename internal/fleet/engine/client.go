// Package engine speaks to model engines: the OpenAI-style HTTP API with server-sent
// events, whose ids are used to resume a stream on a new connection.
package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the keep-alive of common engines, so that a
	// request is rarely sent on a connection that the engine is closing.
	idleConnTimeout = 4 * time.Second
	cancelTimeout   = time.Second

	// streamsPath is where an engine lets a stream be resumed and cancelled.
	streamsPath     = "/v1/streams/"
	requestIDHeader = "X-Request-Id"
)

// ErrNotSent says that no connection to the target could be opened or that the request
// was stopped before its first byte was sent.
var ErrNotSent = errors.New("request not sent")

// Call is one request to an engine.
type Call struct {
	ID      wire.RequestID
	Address string // Base URL of the engine.
	Path    string
	Body    []byte
	// IdleTimeout is the silence after which the stream is resumed on a new connection.
	IdleTimeout time.Duration
	// SilenceTimeout is the silence after which a stream that cannot be resumed is given up.
	SilenceTimeout time.Duration
}

// Rejection is an answer of the engine other than 200: it refused the request itself.
type Rejection struct {
	Status int
	Body   []byte
}

// Error implements error.
func (r *Rejection) Error() string { return fmt.Sprintf("engine answered with status %d", r.Status) }

// Client opens streams to engines.
type Client struct {
	http       *http.Client
	onResume   func()
	background sync.WaitGroup
}

// New creates a client. It calls onResume each time a stream is resumed.
func New(onResume func()) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		onResume: onResume,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 64,
		}},
	}
}

// Close waits for cancellations that are being sent and closes idle connections.
func (c *Client) Close() error {
	c.background.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// onceBody is a request body that cannot be rewound, so that the HTTP transport never
// sends a request a second time by itself.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Once returns a body that the HTTP transport sends at most once.
func Once(content []byte) io.ReadCloser { return onceBody{bytes.NewReader(content)} }

// Gate decides, with a connection open and nothing sent, whether the request may be
// sent. It is called at most once.
type Gate func() bool

// WithGate returns a context whose request asks the gate before it is sent, and a
// function that tells whether the gate was passed.
func WithGate(ctx context.Context, gate Gate) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	passed := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		passed = gate()
		if !passed {
			cancel()
		}
	}}
	sent := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return passed
	}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// gatedBody refuses to be read unless the gate was passed, so that a cancelled request
// cannot slip out between the gate and the cancellation.
type gatedBody struct {
	io.ReadCloser
	passed func() bool
}

// Read implements io.Reader.
func (b gatedBody) Read(p []byte) (int, error) {
	if !b.passed() {
		return 0, ErrNotSent
	}
	return b.ReadCloser.Read(p)
}

// GatedBody returns a body for a request whose context came from WithGate.
func GatedBody(content []byte, passed func() bool) io.ReadCloser {
	return gatedBody{Once(content), passed}
}

// Open sends the call once the gate is passed and returns its stream. The error is
// ErrNotSent if nothing was sent, a *Rejection if the engine refused, and otherwise
// carries what is known about the outcome.
func (c *Client) Open(ctx context.Context, call Call, gate Gate) (*Stream, error) {
	s := &Stream{client: c, call: call, ctx: ctx, idleTimer: time.NewTimer(call.IdleTimeout)}
	attempt, cancel := context.WithCancel(ctx)
	gated, sent := WithGate(attempt, gate)
	request, err := http.NewRequestWithContext(gated, http.MethodPost, call.Address+call.Path, GatedBody(call.Body, sent))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.ContentLength = int64(len(call.Body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(requestIDHeader, string(call.ID))

	s.conn = c.connect(attempt, cancel, request)
	for {
		opened, err := s.awaitOpening(sent)
		if opened {
			return s, nil
		}
		if err != nil {
			if sent() {
				_ = s.Close()
			}
			return nil, err
		}
	}
}

// awaitOpening waits for the answer to begin and reports whether it has. An error means
// that it never will.
func (s *Stream) awaitOpening(sent func() bool) (bool, error) {
	first := s.conn
	s.idleTimer.Reset(s.call.IdleTimeout)
	select {
	case err := <-first.opened:
		if err == nil {
			return true, nil
		}
		return s.failedToOpen(err, sent)
	case <-s.idleTimer.C:
		if !sent() {
			first.cancel()
			return s.failedToOpen(<-first.opened, sent)
		}
		err := s.idle()
		return s.conn != first, err
	}
}

// failedToOpen returns what is known of a request whose connection failed. If it was sent,
// the engine may have it, and then the stream can be resumed from its start.
func (s *Stream) failedToOpen(cause error, sent func() bool) (bool, error) {
	var rejection *Rejection
	switch {
	case errors.As(cause, &rejection):
		s.conn.cancel()
		return false, cause
	case !sent():
		s.conn.cancel()
		return false, fmt.Errorf("%w: %w", ErrNotSent, cause)
	case s.ctx.Err() != nil:
		return false, outcome.Lost(outcome.Unknown, outcome.CallerGone, "the request was stopped after it was sent")
	case s.noResume || s.resume() != nil:
		return false, outcome.Lost(outcome.Unknown, outcome.TargetLost, "the engine was lost after the request was sent: %v", cause)
	}
	return true, nil
}

func reject(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	if err != nil {
		return outcome.Lost(outcome.Unknown, outcome.TargetLost, "the engine was lost while it refused the request")
	}
	return &Rejection{Status: response.StatusCode, Body: body}
}

// maxRejectionBytes bounds the body of a refusal that is passed on.
const maxRejectionBytes = 64 << 10

// cancelAtEngine tells the engine to stop a stream. Closing the connection does not: the
// engine keeps a stream for a while so that it can be resumed.
func (c *Client) cancelAtEngine(call Call) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, call.Address+streamsPath+string(call.ID), nil)
	if err != nil {
		return
	}
	response, err := c.http.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
