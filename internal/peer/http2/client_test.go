package http2

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/http1"
)

// TestIdleConnectionsAreClosed sends one request to each of several hosts. Their connections must
// be closed when idle: over time each host of a fleet connects to every other host.
func TestIdleConnectionsAreClosed(t *testing.T) {
	var open atomic.Int64
	client := newClient(time.Second, 50*time.Millisecond, nil)
	for range 5 {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		}))
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server.Config.Protocols = protocols
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed:
				open.Add(-1)
			case http.StateActive, http.StateIdle, http.StateHijacked:
			}
		}
		server.Start()
		defer server.Close()
		request, err := http.NewRequest(http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.Eventually(t, func() bool { return open.Load() == 0 }, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, client.Close())
}

func TestLargeHeaderOfAPeerIsRefused(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 1<<20))
	}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	client := New(time.Second, nil)
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	_, err = client.Do(request)
	require.Error(t, err)
	require.NoError(t, client.Close())
}

// TestAnswerWithAnInvalidStatusIsNone guards against a peer in trouble whose status the HTTP library accepts.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(999) }))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	client := New(time.Second, nil)
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	_, err = client.Do(request)
	require.ErrorIs(t, err, http1.ErrInvalidHead)
	require.NoError(t, client.Close())
}
