package member

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
)

// HTTPTransport sends heartbeats as JSON over HTTP.
type HTTPTransport struct {
	Client *http2.Client
	// Key is the shared key of the peers.
	Key string
}

// maxHeartbeatBytes bounds the size of the answer to a heartbeat.
const maxHeartbeatBytes = 256 << 10

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, peerURL string, h Heartbeat) (Heartbeat, error) {
	content, err := json.Marshal(h)
	if err != nil {
		return Heartbeat{}, fmt.Errorf("encode heartbeat: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, peerURL+wire.HeartbeatPath, bytes.NewReader(content))
	if err != nil {
		return Heartbeat{}, fmt.Errorf("send heartbeat: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.KeyHeader, t.Key)
	response, err := t.Client.Do(request)
	if err != nil {
		return Heartbeat{}, fmt.Errorf("send heartbeat: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Heartbeat{}, fmt.Errorf("send heartbeat: status %d", response.StatusCode)
	}
	var answer Heartbeat
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHeartbeatBytes)).Decode(&answer); err != nil {
		return Heartbeat{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	return answer, nil
}
