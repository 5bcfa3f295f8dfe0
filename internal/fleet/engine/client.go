// Package engine is a client for model engines with an OpenAI-style HTTP API. It reads
// answers as server-sent events and uses the event ids to resume a broken stream on a new
// connection.
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

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the keep-alive timeout of common engines, so that a
	// request is rarely sent on a connection that the engine is about to close.
	idleConnTimeout = 4 * time.Second
	cancelTimeout   = time.Second

	// streamsPath is the path prefix for resuming and canceling a stream.
	streamsPath     = "/v1/streams/"
	requestIDHeader = "X-Request-Id"
)

// ErrNotSent is returned if no connection to the target could be opened or the request
// was canceled before its first byte was sent.
var ErrNotSent = errors.New("request not sent")

// Call is one request to an engine.
type Call struct {
	ID      wire.RequestID
	Address string // Base URL of the engine.
	Path    string
	Body    []byte
	// IdleTimeout is the time without an event after which the stream is resumed on a new
	// connection.
	IdleTimeout time.Duration
	// SilenceTimeout is the time without an event after which a stream that cannot be
	// resumed fails.
	SilenceTimeout time.Duration
}

// Rejection is an answer with a status other than 200: the engine refused the request.
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
	memory     *body.Budget
	background sync.WaitGroup
}

// New creates a client that calls onResume each time a stream is resumed. memory bounds the events that are not
// complete.
func New(memory *body.Budget, onResume func()) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		onResume: onResume,
		memory:   memory,
		http: &http.Client{Transport: http1.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 64,
		})},
	}
}

// Close waits for pending cancel requests and closes idle connections.
func (c *Client) Close() error {
	c.background.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// singleUseBody is a request body that cannot be rewound. It prevents the HTTP transport
// from retrying a request on its own.
type singleUseBody struct {
	io.Reader
}

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

func newSingleUseBody(content []byte) io.ReadCloser { return singleUseBody{bytes.NewReader(content)} }

// Gate decides whether a request may be sent. It is called at most once, when a connection
// is open and nothing has been sent yet.
type Gate func() bool

// WithGate returns a context for a request that calls the gate before anything is sent, and
// a function that reports whether the gate allowed the request.
func WithGate(ctx context.Context, gate Gate) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	allowed := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		allowed = gate()
		if !allowed {
			cancel()
		}
	}}
	sent := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return allowed
	}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// gatedBody cannot be read unless the gate allowed the request. This keeps the transport
// from sending a request between the gate's refusal and the cancellation of its context.
type gatedBody struct {
	io.ReadCloser
	allowed func() bool
}

// Read implements io.Reader.
func (b gatedBody) Read(p []byte) (int, error) {
	if !b.allowed() {
		return 0, ErrNotSent
	}
	return b.ReadCloser.Read(p)
}

// GatedBody returns a body for a request with a context from WithGate. allowed is the
// function that WithGate returned.
func GatedBody(content []byte, allowed func() bool) io.ReadCloser {
	return gatedBody{newSingleUseBody(content), allowed}
}

// Open sends the call if the gate allows it and returns its stream. The error wraps
// ErrNotSent if nothing was sent, is a *Rejection if the engine refused the request, and
// otherwise describes the outcome (see outcome.FailureOf).
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
		opened, err := s.awaitResponse(sent)
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

// awaitResponse waits until the answer begins or the idle timeout expires, which counts only once the request was
// sent. It returns true if the answer has begun, and an error if the stream has failed.
func (s *Stream) awaitResponse(sent func() bool) (bool, error) {
	initial := s.conn
	s.idleTimer.Reset(s.call.IdleTimeout)
	select {
	case err := <-initial.opened:
		if err == nil {
			return true, nil
		}
		return s.handleOpenFailure(err, sent)
	case <-s.idleTimer.C:
		if !sent() {
			return false, nil // The dial has a timeout of its own.
		}
		err := s.handleIdle()
		return s.conn != initial, err
	}
}

// handleOpenFailure handles a connection that failed before the answer began. If the request
// was sent, the engine may be processing it, so the stream is resumed from its start. It
// returns true if that succeeded.
func (s *Stream) handleOpenFailure(cause error, sent func() bool) (bool, error) {
	var rejection *Rejection
	switch {
	case errors.As(cause, &rejection):
		s.conn.cancel()
		return false, cause
	case !sent():
		s.conn.cancel()
		return false, fmt.Errorf("%w: %w", ErrNotSent, cause)
	case s.ctx.Err() != nil:
		return false, outcome.NotCompleted(outcome.Unknown, outcome.CallerDisconnected, "the request was stopped after it was sent")
	case s.resumeUnsupported || s.resume() != nil:
		return false, outcome.NotCompleted(outcome.Unknown, outcome.TargetLost, "the engine was lost after the request was sent: %v", cause)
	}
	return true, nil
}

// readRejection returns the rejection in an answer, or an error if its body cannot be read.
func readRejection(response *http.Response) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	if err != nil {
		return outcome.NotCompleted(outcome.Unknown, outcome.TargetLost, "the engine was lost while it refused the request")
	}
	return &Rejection{Status: response.StatusCode, Body: content}
}

// maxRejectionBytes is the maximum size of a rejection body that is forwarded to the caller.
const maxRejectionBytes = 64 << 10

// cancelAtEngine asks the engine to stop a stream. Closing the connection is not enough,
// because the engine keeps a disconnected stream for a while so that it can be resumed.
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
