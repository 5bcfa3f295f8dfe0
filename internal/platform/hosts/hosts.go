// Package hosts reads the platform's list of live and leaving hosts. The list has the format of
// the Prometheus HTTP service discovery.
package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
)

// The labels of a group and their values.
const (
	LabelRole      = "role" // "entry" or "target".
	LabelName      = "name"
	LabelZone      = "zone"
	LabelState     = "state" // "live" or "leaving".
	LabelPeerURL   = "peer-url"
	LabelCallerURL = "caller-url"

	RoleEntry    = "entry"
	RoleTarget   = "target"
	StateLive    = "live"
	StateLeaving = "leaving"

	maxListBytes = 16 << 20
	readTimeout  = 2 * time.Second
)

// Group is an entry of the list: targets with the same labels.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// ErrUnchanged is returned if the list has not changed since the last read.
var ErrUnchanged = errors.New("list of hosts unchanged")

// Client reads the list. It is not safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
	etag string // ETag of the last list that was read.
}

// New creates a client for the list at the URL.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Transport: http1.NewTransport(&http.Transport{})}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// List returns the current list, or ErrUnchanged if it has not changed since the last read.
func (c *Client) List(ctx context.Context) ([]Group, error) {
	ctx, transfer := body.NewTransfer(ctx, readTimeout, readTimeout)
	defer transfer.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	if c.etag != "" {
		request.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", transfer.Err(err))
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list hosts: status %d", response.StatusCode)
	}
	var groups []Group
	if err := json.NewDecoder(transfer.Reader(response.Body, maxListBytes)).Decode(&groups); err != nil {
		return nil, fmt.Errorf("decode list of hosts: %w", err)
	}
	c.etag = response.Header.Get("ETag")
	return groups, nil
}
