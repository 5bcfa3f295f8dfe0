// Package http2 sends requests to other entry hosts over HTTP/2, with or without TLS.
package http2

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
)

// Client multiplexes requests over one connection to each host. An open connection can become
// permanently silent while new connections work, and HTTP/2 would still use it. After a request
// that fails for another reason than dialing, the client therefore uses new connections.
type Client struct {
	timeout time.Duration
	idle    time.Duration
	config  *tls.Config
	dial    Dial
	current atomic.Pointer[http.Client]
}

// New creates a client. The timeout limits dialing and the wait for the response header. config is
// nil for connections without TLS.
func New(timeout time.Duration, config *tls.Config) *Client {
	return newClient(timeout, idleTimeout, config)
}

// Dial opens a connection to an address, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewWithDial creates a client without TLS that opens its connections with dial.
func NewWithDial(timeout time.Duration, dial Dial) *Client {
	c := &Client{timeout: timeout, idle: idleTimeout, dial: dial}
	c.current.Store(c.newHTTPClient())
	return c
}

// idleTimeout is the time after which an unused connection is closed. It is longer than the time
// between two heartbeats to a neighbour.
const idleTimeout = 5 * time.Second

func newClient(timeout, idle time.Duration, config *tls.Config) *Client {
	c := &Client{timeout: timeout, idle: idle, config: config, dial: (&net.Dialer{Timeout: timeout}).DialContext}
	c.current.Store(c.newHTTPClient())
	return c
}

func (c *Client) newHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:            c.dial,
		TLSClientConfig:        c.config,
		Protocols:              protocols,
		ResponseHeaderTimeout:  c.timeout,
		IdleConnTimeout:        c.idle,
		MaxResponseHeaderBytes: body.MaxHeaderBytes,
	}}
}

// Do sends a request. Errors are those of http.Client, or wrap http1.ErrInvalidHead.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	client := c.current.Load()
	response, err := client.Do(request)
	if err == nil {
		if err = http1.CheckHead(response); err != nil {
			_ = response.Body.Close()
			response = nil
		}
	}
	if err != nil && !dialFailed(err) {
		c.replace(client)
	}
	return response, err
}

// Renew makes later requests use new connections. Callers use it after a stream became silent.
func (c *Client) Renew() { c.replace(c.current.Load()) }

// replace creates a new HTTP client, unless another request has already replaced the failed one.
func (c *Client) replace(failed *http.Client) {
	if c.current.CompareAndSwap(failed, c.newHTTPClient()) {
		failed.CloseIdleConnections()
	}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.current.Load().CloseIdleConnections()
	return nil
}

// dialFailed reports whether no connection was opened. Such an error does not affect the existing
// connections.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
