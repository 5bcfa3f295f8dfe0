package passthrough

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/http1"
)

// eachKind runs a test for each way in which calls are sent. earlier is the number of calls before, whose connection
// may be reused.
func eachKind(t *testing.T, test func(t *testing.T, earlier int, change func(*Call))) {
	rows := []struct {
		name    string
		earlier int
		change  func(*Call)
	}{
		{"idempotent", 0, func(c *Call) { c.Method, c.Body, c.Idempotent = http.MethodGet, nil, true }},
		{"idempotent, reused", 1, func(c *Call) { c.Method, c.Body, c.Idempotent = http.MethodGet, nil, true }},
		{"once, new", 0, func(*Call) {}},
		{"once, reused", 1, func(*Call) {}},
		{"once, not to be reused", 0, func(c *Call) { c.ReuseRecent = false }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { test(t, row.earlier, row.change) })
	}
}

// requireInvalid sends a call to a target that answers as given, and requires that this is no answer and that the
// connection is not used again.
func requireInvalid(t *testing.T, earlier int, change func(*Call), answer string) {
	isInvalid := false
	target := newRawTarget(t, func(r received) bool {
		if isInvalid {
			_, _ = io.WriteString(r.conn, strings.ReplaceAll(answer, "ID", r.id))
			return true
		}
		return answerEach(r)
	})
	c := newCaller(t, target)
	next := func() Call {
		call := c.call(http.MethodPost, "order")
		change(&call)
		return call
	}
	for range earlier {
		c.answered(next())
	}
	isInvalid = true
	body, _, _, err := c.do(next())
	require.ErrorIs(t, err, http1.ErrInvalidHead)
	require.Empty(t, body)
	isInvalid = false
	before, _ := target.counts()
	c.answered(next())
	after, _ := target.counts()
	require.Equal(t, before+1, after, "a new connection")
}

// TestAnswerWithAnInvalidStatusIsNone guards against a status that is none and that the caller got as an answer: 000
// was passed on as 404 with the body of the target.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		for _, body := range []string{"", "oops"} {
			t.Run(status+"/"+body, func(t *testing.T) {
				eachKind(t, func(t *testing.T, earlier int, change func(*Call)) {
					answer := "HTTP/1.1 " + status + " Trouble\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
					if body != "" {
						answer = strings.Replace(answer, "0\r\n\r\n", "4\r\n\r\n"+body, 1)
					}
					requireInvalid(t, earlier, change, answer)
				})
			})
		}
	}
}
