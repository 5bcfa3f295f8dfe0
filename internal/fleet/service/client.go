// Package service is an HTTP client for plain services.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 4 * time.Second
	// MaxAnswerBytes is the maximum size of an answer body.
	MaxAnswerBytes = 16 << 20
)

// Call is one request to a service.
type Call struct {
	ID      wire.RequestID
	Address string // Base URL of the service.
	Method  string
	Path    string // Includes the query, if any.
	Header  http.Header
	Body    []byte
}

// Answer is the complete answer of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	memory body.Reservation
}

// Release returns the memory of the body. The answer of a call that failed is nil, for which it does nothing.
func (a *Answer) Release() {
	if a != nil {
		a.memory.Release()
	}
}

// Client calls plain services.
type Client struct {
	http   *http.Client
	memory *body.Budget
}

// New creates a client. memory bounds the answers that are read at a time.
func New(memory *body.Budget) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{memory: memory, http: &http.Client{
		Transport: http1.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 64,
		}),
		// A redirect is returned to the caller. Following it would dispatch the request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Do sends the call if the gate allows it and returns the complete answer, which must be released. The error wraps
// engine.ErrNotSent if nothing was sent, and otherwise describes the outcome (see
// outcome.FailureOf).
func (c *Client) Do(ctx context.Context, call Call, gate engine.Gate) (*Answer, error) {
	gated, sent := engine.WithGate(ctx, gate)
	request, err := http.NewRequestWithContext(gated, call.Method, call.Address+call.Path, engine.GatedBody(call.Body, sent))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrNotSent, err)
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = call.Header.Clone()
	request.Header.Set("X-Request-Id", string(call.ID))
	response, err := c.http.Do(request)
	if err != nil {
		if !sent() {
			return nil, fmt.Errorf("%w: %w", engine.ErrNotSent, err)
		}
		return nil, outcome.NotCompleted(outcome.Unknown, outcome.TargetLost, "the service was lost after the request was sent")
	}
	defer response.Body.Close()
	answer := &Answer{Status: response.StatusCode, Header: response.Header, memory: c.memory.Reserve()}
	answer.Body, err = answer.memory.ReadAll(response.Body, response.ContentLength, MaxAnswerBytes)
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return nil, outcome.NotCompleted(outcome.Incomplete, outcome.TargetInvalidResponse, "the answer of the service is too large")
	case errors.Is(err, body.ErrNoMemory):
		return nil, outcome.NotCompleted(outcome.Incomplete, outcome.TargetInvalidResponse, "the answer of the service is larger than the memory that other answers leave")
	case err != nil:
		return nil, outcome.NotCompleted(outcome.Incomplete, outcome.TargetLost, "the answer of the service was cut short")
	}
	return answer, nil
}
