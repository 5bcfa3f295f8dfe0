// Package service is an HTTP client for plain services.
package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"redwinglock/internal/fleet/engine"
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
}

// Client calls plain services.
type Client struct {
	http *http.Client
}

// New creates a client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 64,
		},
		// A redirect is returned to the caller. Following it would dispatch the request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Do sends the call if the gate allows it and returns the complete answer. The error wraps
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
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, outcome.NotCompleted(outcome.Incomplete, outcome.TargetLost, "the answer of the service was cut short")
	}
	if len(body) > MaxAnswerBytes {
		return nil, outcome.NotCompleted(outcome.Incomplete, outcome.TargetInvalidResponse, "the answer of the service is too large")
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
