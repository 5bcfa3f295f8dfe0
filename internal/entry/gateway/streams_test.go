package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// events writes the events from first to last. If broken is set, it then writes a part of the next
// event and breaks the connection.
func events(first, last int, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if broken {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", last+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func wholeStream(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

// TestBrokenStreamIsResumedInTheSameAnswer breaks a stream within an event. The next target sends
// the event again, and the caller must receive each event once.
func TestBrokenStreamIsResumedInTheSameAnswer(t *testing.T) {
	s := newSite(t, events(1, 3, true), events(4, 6, false))
	got := s.send("POST", "/resumed/x", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(6), got.body)
	require.Equal(t, "seal-of-t-1", got.header.Get("Seal"))
	second := s.targets[1].requests()[0]
	require.Equal(t, "3", second.Header.Get("Last-Event"))
}

func TestBrokenStreamThatCannotBeResumedIsCut(t *testing.T) {
	s := newSite(t, events(1, 3, true), events(4, 6, false))
	got := s.send("POST", "/fixed/x", "prompt")
	require.Error(t, got.err)
	require.Equal(t, wholeStream(3), got.body)
	require.Equal(t, []int{1, 0}, s.runs())
}

func TestStreamThatNoTargetResumesIsCut(t *testing.T) {
	s := newSite(t, events(1, 3, true), notRun)
	got := s.send("POST", "/resumed/x", "prompt")
	require.Error(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
}

// TestSlowStreamsAreNotCutAndStalledOnesEnd uses slow targets. A stream with long pauses between
// its events must not be cut. One that sends bytes but never completes an event must end at the
// timeout of its route.
func TestSlowStreamsAreNotCutAndStalledOnesEnd(t *testing.T) {
	every := func(pause time.Duration, text func(n int) string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			for n := 1; n <= 100 && r.Context().Err() == nil; n++ {
				_, _ = fmt.Fprint(w, text(n))
				_ = http.NewResponseController(w).Flush()
				if text(n) == "" {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	upTo := func(last int) func(int) string {
		return func(n int) string {
			if n > last {
				return ""
			}
			return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		}
	}
	always := func(text string) func(int) string { return func(int) string { return text } }
	rows := []struct {
		name, path string
		target     http.HandlerFunc
		whole      bool
	}{
		{"slow but healthy", "/fixed/x", every(600*time.Millisecond, upTo(5)), true},
		{"single bytes", "/short/x", every(20*time.Millisecond, always("x")), false},
		{"comment lines", "/short/x", every(20*time.Millisecond, always(": ping\n")), false},
		{"lines of an event without end", "/short/x", every(20*time.Millisecond, always("data: a\n")), false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, row.target)
			start := time.Now()
			got := s.send("POST", row.path, "prompt")
			if row.whole {
				require.NoError(t, got.err)
				require.Equal(t, wholeStream(5), got.body)
				return
			}
			require.Equal(t, http.StatusGatewayTimeout, got.status)
			require.Less(t, time.Since(start), 2*time.Second)
			<-s.targets[0].done
		})
	}
}

func TestEventSplitterKeepsEventsWhole(t *testing.T) {
	rows := []struct {
		name   string
		chunks []string
		want   []string
		lastID string
	}{
		{"one event", []string{"id: 1\ndata: a\n\n"}, []string{"id: 1\ndata: a\n\n"}, "1"},
		{"split event", []string{"id: 1\nda", "ta: a\n", "\nid: 2"}, []string{"", "", "id: 1\ndata: a\n\n"}, "1"},
		{"end in two parts", []string{"id: 1\n", "\n"}, []string{"", "id: 1\n\n"}, "1"},
		{"end in three parts", []string{"id: 1\r\n", "\r", "\n"}, []string{"", "", "id: 1\r\n\r\n"}, "1"},
		{"a comment", []string{"id: 1\n\n: ping\n\n"}, []string{"id: 1\n\n: ping\n\n"}, "1"},
		{"two events in one chunk", []string{"id:1\n\nid:2\n\nid:3"}, []string{"id:1\n\nid:2\n\n"}, "2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var s eventSplitter
			for i, chunk := range row.chunks {
				whole, err := s.add([]byte(chunk))
				require.NoError(t, err)
				require.Equal(t, row.want[i], string(whole))
			}
			require.Equal(t, row.lastID, s.lastID)
		})
	}
}
