package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwinglock/internal/control/catalog"
)

// clientTimeout bounds one call.
const clientTimeout = 30 * time.Second

// Client calls the operators' listener of a host.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// NewClient creates a client for the listener at the base URL.
func NewClient(url, key string) *Client {
	return &Client{url: url, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// StatusError is an answer other than 200.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error implements error.
func (e *StatusError) Error() string { return e.Problem.Message }

// Objects returns all objects.
func (c *Client) Objects(ctx context.Context) (Objects, error) {
	var answer Objects
	err := c.call(ctx, http.MethodGet, "/operator/v1/objects", nil, &answer)
	return answer, err
}

// Status returns the state of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := c.call(ctx, http.MethodGet, "/operator/v1/status", nil, &answer)
	return answer, err
}

// Change publishes a change set.
func (c *Client) Change(ctx context.Context, change catalog.Change) (Changed, error) {
	var answer Changed
	err := c.call(ctx, http.MethodPost, "/operator/v1/changes", change, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, method, path string, request, answer any) error {
	var body io.Reader
	if request != nil {
		content, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(content)
	}
	call, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	call.Header.Set("Authorization", "Bearer "+c.key)
	call.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(call)
	if err != nil {
		return fmt.Errorf("call host: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failed := &StatusError{Status: response.StatusCode}
		if err := json.NewDecoder(response.Body).Decode(&failed.Problem); err != nil {
			failed.Problem.Message = fmt.Sprintf("status %d", response.StatusCode)
		}
		return failed
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
