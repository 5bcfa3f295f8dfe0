package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// invalidHeadAnswer writes an answer of the right request with a given status line and one more line in its head.
func invalidHeadAnswer(status, line string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 %s\r\nId: %s\r\nSeal: s\r\nNot-Run: 1\r\n%sContent-Length: 4\r\n\r\noops", status, r.Header.Get("Id"), line)
		_ = buffered.Flush()
	}
}

// requireNoAnswer sends requests of all kinds to a target whose answers are none. They may have run, whatever else the
// head says: what may run twice runs at the next target, and the others get a truthful error.
func requireNoAnswer(t *testing.T, invalid http.HandlerFunc) {
	rows := []struct {
		method, path string
		status       int
		runs         []int
	}{
		{"GET", "/read/x", http.StatusOK, []int{1, 1}},
		{"POST", "/write/x", http.StatusBadGateway, []int{1, 0}},
		{"POST", "/fixed/x", http.StatusBadGateway, []int{1, 0}},
		{"POST", "/resumed/x", http.StatusOK, []int{1, 1}},
	}
	for _, row := range rows {
		t.Run(row.path, func(t *testing.T) {
			s := newSite(t, invalid, events(1, 3, false))
			got := s.send(row.method, row.path, "")
			require.NoError(t, got.err)
			require.Equal(t, row.status, got.status)
			require.NotContains(t, got.body, "oops")
			if row.status != http.StatusOK {
				require.Contains(t, got.body, "target-invalid-response")
			}
			require.Equal(t, row.runs, s.runs())
		})
	}
}

// TestAnswerWithAnInvalidStatusIsNotForwarded guards against a target in trouble whose status 000 callers got as an
// answer.
func TestAnswerWithAnInvalidStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000 Trouble", "099 Trouble", "101 Switching", "999 Trouble"} {
		t.Run(status, func(t *testing.T) { requireNoAnswer(t, invalidHeadAnswer(status, "")) })
	}
}

// TestAnswerWithAnInvalidFieldNameIsNotForwarded guards against a target in trouble in whose head a blank stands in the
// name of a field, which callers got as an answer.
func TestAnswerWithAnInvalidFieldNameIsNotForwarded(t *testing.T) {
	for _, line := range []string{"X Y: 1\r\n", "X-Name : 1\r\n", "Content-Length : 2\r\n", "Transfer-Encoding : chunked\r\n"} {
		t.Run(line, func(t *testing.T) { requireNoAnswer(t, invalidHeadAnswer("200 OK", line)) })
	}
}
