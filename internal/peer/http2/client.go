// Package http2 sends requests to other entry hosts over HTTP/2, with or without TLS.
package http2

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Client multiplexes requests over one connection to each host. An open connection can
// go silent for good while new ones work; HTTP/2 would go on using it. So a request that
// fails otherwise than by dialling makes the client start over with new connections.
type Client struct {
	timeout time.Duration
	idle    time.Duration
	config  *tls.Config
	current atomic.Pointer[http.Client]
}

// New creates a client. The timeout bounds dialling and the wait for the header of an
// answer. config may be nil for plain connections.
func New(timeout time.Duration, config *tls.Config) *Client {
	return newClient(timeout, idleTimeout, config)
}

// idleTimeout closes connections to hosts that are no longer spoken to. It is longer than the
// time between two heartbeats to a neighbour.
const idleTimeout = 5 * time.Second

func newClient(timeout, idle time.Duration, config *tls.Config) *Client {
	c := &Client{timeout: timeout, idle: idle, config: config}
	c.current.Store(c.create())
	return c
}

func (c *Client) create() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: c.timeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		TLSClientConfig:       c.config,
		Protocols:             protocols,
		ResponseHeaderTimeout: c.timeout,
		IdleConnTimeout:       c.idle,
	}}
}

// Do sends a request. Errors are those of http.Client.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	client := c.current.Load()
	response, err := client.Do(request)
	if err != nil && !dialFailed(err) {
		c.renew(client)
	}
	return response, err
}

// Renew makes later requests use new connections, after a stream has gone silent.
func (c *Client) Renew() { c.renew(c.current.Load()) }

// renew replaces a client unless another request has done so already.
func (c *Client) renew(failed *http.Client) {
	if c.current.CompareAndSwap(failed, c.create()) {
		failed.CloseIdleConnections()
	}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.current.Load().CloseIdleConnections()
	return nil
}

// dialFailed reports whether no connection was opened, which says nothing about others.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
