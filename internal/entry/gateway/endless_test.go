package gateway

import (
	"bytes"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/body"
)

// endless takes over the connection, writes the beginning and then repeats the part until the
// gateway closes the connection.
func endless(beginning, part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		block := bytes.Repeat([]byte(part), max(1, (16<<10)/len(part)))
		_, err = connection.Write([]byte(beginning))
		for err == nil {
			_, err = connection.Write(block)
		}
	}
}

const (
	okLine   = "HTTP/1.1 200 OK\r\n"
	sealed   = okLine + "Id: id-1\r\nSeal: s\r\n"
	chunked  = sealed + "Transfer-Encoding: chunked\r\n\r\n"
	oneChunk = "9\r\ndata: x\n\n\r\n"
)

// TestEndlessAnswerIsAborted uses targets that send data without end, which never becomes a
// complete answer. The gateway must not wait for the timeout of the route. If the request may run
// again, a healthy target serves it.
func TestEndlessAnswerIsAborted(t *testing.T) {
	rows := []struct {
		name, beginning, part string
	}{
		{"line of the status", "HTTP/1.1 200 ", "x"},
		{"one header", okLine + "A: ", "x"},
		{"headers", okLine, "A: b\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"event without its end", sealed + "\r\n", "data: x"},
		{"event of empty-looking lines", sealed + "\r\n", ":\r"},
		{"event in chunks", chunked, "5\r\ndata:\r\n"},
		{"size of a chunk", chunked, "0"},
		{"extension of a chunk", chunked + "5;", "x"},
		{"extensions of chunks", chunked, "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		{"trailer", chunked + "0\r\nA: ", "x"},
		{"trailers", chunked + oneChunk + "0\r\n", "A: b\r\n"},
	}
	const within = 3 * time.Second // The timeout of the route is five seconds.
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, endless(row.beginning, row.part), events(1, 3, false))
			start := time.Now()
			got := s.send("POST", "/fixed/x", "prompt")
			require.Less(t, time.Since(start), within)
			require.True(t, got.status == http.StatusBadGateway || got.err != nil, "status %d", got.status)
			require.Equal(t, []int{1, 0}, s.runs(), "a stream that cannot be resumed runs once")
			<-s.targets[0].done

			s = newSite(t, endless(row.beginning, row.part), events(1, 3, false))
			got = s.send("POST", "/resumed/x", "prompt")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, wholeStream(3), strings.TrimPrefix(got.body, "data: x\n\n"))
		})
	}
}

// TestEventSplitterBoundsItsBuffer reads an event that never ends, and a long one that does.
func TestEventSplitterBoundsItsBuffer(t *testing.T) {
	part := bytes.Repeat([]byte("x"), copyBufferBytes)
	var s eventSplitter
	var err error
	for range 4 * maxEventBytes / len(part) {
		if _, err = s.add(part); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, errEventTooLong)
	require.LessOrEqual(t, len(s.partial), maxEventBytes)

	s = eventSplitter{}
	for range maxEventBytes/len(part) - 1 {
		_, err = s.add(part)
		require.NoError(t, err)
	}
	whole, err := s.add([]byte("\n\n"))
	require.NoError(t, err)
	require.Len(t, whole, maxEventBytes-len(part)+2)
}

// TestManyLargeEventsShareTheMemory sends many streams to targets that begin an event and go on with it slowly, without
// end. One such event is allowed; all of them together would use the memory of a small host. Other requests are served.
func TestManyLargeEventsShareTheMemory(t *testing.T) {
	const (
		targets     = 60
		streams     = 3 * targets // Of four slots each.
		partBytes   = 220 << 10
		hostMemory  = 112 // MiB
		maxHeapSize = hostMemory << 20 / 2
	)
	handlers := make([]http.HandlerFunc, targets)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/read/") {
				answerWith(http.StatusOK, "whole")(w, r)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, err := w.Write(bytes.Repeat([]byte("x"), partBytes))
			for err == nil && r.Context().Err() == nil {
				err = http.NewResponseController(w).Flush()
				time.Sleep(50 * time.Millisecond)
				_, _ = w.Write([]byte("x"))
			}
		}
	}
	s := newSite(t, handlers...)
	s.server.answers = body.NewBudget(hostMemory, answersMemoryFraction)
	var sent sync.WaitGroup
	for range streams {
		sent.Go(func() {
			got := s.send("POST", "/fixed/x", "")
			require.NotEqual(t, http.StatusOK, got.status)
		})
	}
	served := 0
	peak := uint64(0)
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		if got := s.send("GET", "/read/x", ""); got.status == http.StatusOK {
			served++
		}
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
	}
	require.Less(t, peak, uint64(maxHeapSize))
	require.Equal(t, 20, served)
	sent.Wait()
	require.Zero(t, s.server.answers.Used())
}
