package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/standin/rawhttp"
)

// TestLargeAnswerOverANarrowLinkIsRead reads keys whose answer takes longer than the timeout of a call but moves on.
func TestLargeAnswerOverANarrowLinkIsRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 10 {
			_, _ = w.Write([]byte(strings.Repeat(" ", 64<<10)))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = w.Write([]byte(`{"succeeded":true,"responses":[{"response_range":{}}]}`))
	}))
	defer server.Close()
	client := NewEtcd([]string{server.URL}, 200*time.Millisecond)
	value, err := client.Get(context.Background(), "a")
	require.NoError(t, err)
	require.Zero(t, value.ModRevision)
	require.NoError(t, client.Close())
}

// TestResponseWithAnInvalidHeadIsNone guards against responses of a store in trouble that the HTTP library accepts.
func TestResponseWithAnInvalidHeadIsNone(t *testing.T) {
	for _, answer := range rawhttp.InvalidHeads {
		e := NewEtcd([]string{"http://" + rawhttp.NewServer(t, answer)}, time.Second)
		_, err := e.Get(context.Background(), "key")
		require.ErrorIs(t, err, ErrUnavailable, answer)
		require.NoError(t, e.Close())
	}
}
