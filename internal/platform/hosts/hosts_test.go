package hosts

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/http1"
	"redwinglock/internal/standin/rawhttp"
)

// TestLongListOverANarrowLinkIsRead reads a list that takes longer than the timeout of a call but moves on.
func TestLongListOverANarrowLinkIsRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("["))
		for range 12 {
			_, _ = w.Write([]byte(strings.Repeat(" ", 64<<10)))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(readTimeout / 10)
		}
		_, _ = w.Write([]byte(`{"labels":{"name":"a"}}]`))
	}))
	defer server.Close()
	client := New(server.URL)
	groups, err := client.List(context.Background())
	require.NoError(t, err)
	require.Len(t, groups, 1)
	require.NoError(t, client.Close())
}

// TestListWithAnInvalidHeadIsNone guards against a list of hosts that the HTTP library accepts from a server in trouble.
func TestListWithAnInvalidHeadIsNone(t *testing.T) {
	for _, answer := range rawhttp.InvalidHeads {
		client := New("http://" + rawhttp.NewServer(t, strings.Replace(answer, "{}", "[]", 1)))
		_, err := client.List(context.Background())
		require.ErrorIs(t, err, http1.ErrInvalidHead, answer)
		require.NoError(t, client.Close())
	}
}
