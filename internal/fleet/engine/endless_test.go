package engine

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/state/outcome"
)

// endless returns a handler that sends an answer which begins with a text and repeats another until the client closes
// the connection. With a pause the bytes come slowly.
func endless(beginning, part string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(beginning, "HTTP/") {
			sendRaw(w, beginning, part)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, err := w.Write([]byte(beginning))
		block := bytes.Repeat([]byte(part), (16<<10)/len(part))
		for err == nil && r.Context().Err() == nil {
			_, err = w.Write(block)
			time.Sleep(pause)
		}
	}
}

func sendRaw(w http.ResponseWriter, beginning, part string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	_, err = connection.Write([]byte(beginning))
	block := bytes.Repeat([]byte(part), (16<<10)/len(part))
	for err == nil {
		_, err = connection.Write(block)
	}
}

// peakMemory runs a function and returns the largest size of the heap meanwhile, in bytes.
func peakMemory(run func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	peak := uint64(0)
	for {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestEndlessAnswersOfEnginesAreBounded reads many answers at a time that never become complete. What they use has to
// stay within the memory of a small host, and each must end.
func TestEndlessAnswersOfEnginesAreBounded(t *testing.T) {
	const (
		streams    = 100
		memoryMB   = 112
		share      = 1.0 / 8
		maxMemory  = memoryMB << 20 / 2
		noProgress = 10 * time.Second
	)
	tests := []struct {
		name, beginning, part string
		pause                 time.Duration
	}{
		{"lines of one event", "", "data: x\n", 0},
		{"one line", "data: ", "x", 0},
		{"one line, slowly", "data: ", "x", 30 * time.Millisecond},
		{"an id", "id: ", "1", 0},
		{"one header", "HTTP/1.1 200 OK\r\nA: ", "x", 0},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(endless(test.beginning, test.part, test.pause))
			defer server.Close()
			client := New(body.NewBudget(memoryMB, share), func() {})
			peak := peakMemory(func() {
				var reads sync.WaitGroup
				for range streams {
					reads.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), noProgress)
						defer cancel()
						stream, err := client.Open(ctx, newCall(server.URL), allow)
						if err == nil {
							_, err = readAll(stream)
							stream.Close()
						}
						require.Error(t, err)
						require.NoError(t, ctx.Err(), "the answer did not end")
					})
				}
				reads.Wait()
			})
			require.Less(t, peak, uint64(maxMemory))
			server.CloseClientConnections()
			require.NoError(t, client.Close())
			require.Zero(t, client.memory.Used())
		})
	}
}

// TestAnswerWithATooLongEventIsNotResumed reads an engine that sends an endless event on each connection. The request
// ends with the first one.
func TestAnswerWithATooLongEventIsNotResumed(t *testing.T) {
	var resumes atomic.Int64
	answer := endless("data: ", "x", 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			resumes.Add(1)
		}
		answer(w, r)
	}))
	defer server.Close()
	client := New(body.NewBudget(0, 1), func() {})
	call := newCall(server.URL)
	call.IdleTimeout, call.SilenceTimeout = time.Minute, time.Minute
	stream, err := client.Open(context.Background(), call, allow)
	require.NoError(t, err)
	_, err = readAll(stream)
	require.Equal(t, outcome.TargetInvalidResponse, outcome.FailureOf(err).Reason)
	require.Zero(t, resumes.Load())
	require.NoError(t, stream.Close())
	server.CloseClientConnections()
	require.NoError(t, client.Close())
}
