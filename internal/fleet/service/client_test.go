package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/standin/rawhttp"
)

func allow() bool { return true }

// TestEndlessAnswersOfServicesAreBounded calls a service many times at once that sends bytes without end. The budget is
// kept, and a small answer is returned meanwhile.
func TestEndlessAnswersOfServicesAreBounded(t *testing.T) {
	const (
		calls    = 50
		memoryMB = 112
		share    = 1.0 / 8
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := make([]byte, 16<<10)
		for r.URL.Path == "/endless" {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
		_, _ = w.Write([]byte("small"))
	}))
	defer server.Close()
	client := New(body.NewBudget(memoryMB, share))
	var sent sync.WaitGroup
	for range calls {
		sent.Go(func() {
			_, err := client.Do(context.Background(), Call{Address: server.URL, Method: http.MethodGet, Path: "/endless", Header: http.Header{}}, allow)
			require.Error(t, err)
		})
	}
	for range calls {
		answer, err := client.Do(context.Background(), Call{Address: server.URL, Method: http.MethodGet, Path: "/small", Header: http.Header{}}, allow)
		require.NoError(t, err)
		require.Equal(t, "small", string(answer.Body))
		answer.Release()
		require.LessOrEqual(t, client.memory.Used(), int64(memoryMB<<20*share))
	}
	sent.Wait()
	require.Zero(t, client.memory.Used())
	require.NoError(t, client.Close())
}

func TestLargeHeaderOfAServiceIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 1<<20))
	}))
	defer server.Close()
	client := New(body.NewBudget(0, 1))
	_, err := client.Do(context.Background(), Call{Address: server.URL, Method: http.MethodGet, Path: "/", Header: http.Header{}}, allow)
	require.Error(t, err)
	require.NoError(t, client.Close())
}

// TestAnswerWithAnInvalidHeadIsNone guards against answers of a service in trouble that the HTTP library accepts.
func TestAnswerWithAnInvalidHeadIsNone(t *testing.T) {
	for _, answer := range rawhttp.InvalidHeads {
		client := New(body.NewBudget(0, 1))
		_, err := client.Do(context.Background(), Call{Address: "http://" + rawhttp.NewServer(t, answer), Method: http.MethodGet, Path: "/", Header: http.Header{}}, allow)
		require.Error(t, err, answer)
		require.NoError(t, client.Close())
	}
}
