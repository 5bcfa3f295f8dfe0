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

// clientTimeout is the timeout of one call.
const clientTimeout = 30 * time.Second

// Client calls the operators' API of a host. Its methods return a *StatusError if the host answers
// with a status other than 200.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// NewClient creates a client for the operators' listener at the base URL.
func NewClient(url, key string) *Client {
	return &Client{url: url, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error implements error.
func (e *StatusError) Error() string { return e.Problem.Message }

// Objects returns all objects.
func (c *Client) Objects(ctx context.Context) (Objects, error) {
	var objects Objects
	err := c.call(ctx, http.MethodGet, "/operator/v1/objects", nil, &objects)
	return objects, err
}

// Status returns the state of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/operator/v1/status", nil, &status)
	return status, err
}

// Change publishes a change set.
func (c *Client) Change(ctx context.Context, change catalog.Change) (Changed, error) {
	var changed Changed
	err := c.call(ctx, http.MethodPost, "/operator/v1/changes", change, &changed)
	return changed, err
}

func (c *Client) call(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var body io.Reader
	if requestBody != nil {
		content, err := json.Marshal(requestBody)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
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
	if err := json.NewDecoder(response.Body).Decode(responseBody); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
