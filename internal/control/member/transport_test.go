package member

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/http2"
	"redwinglock/internal/standin/forward"
)

// TestSilentConnectionIsReplaced checks that a heartbeat uses a new connection after the previous
// one has stopped carrying data without being closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Heartbeat{From: "entry-2"})
	}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	forwarder, err := forward.New(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer forwarder.Close()

	transport := &HTTPTransport{Client: http2.New(time.Second, nil)}
	send := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := transport.Send(ctx, "http://"+forwarder.Address(), Heartbeat{From: "entry-1"})
		return err
	}
	require.NoError(t, send(10*time.Second))
	forwarder.Silence()
	require.Error(t, send(100*time.Millisecond), "the connection is silent")
	require.NoError(t, send(10*time.Second), "a new connection is used")
}
