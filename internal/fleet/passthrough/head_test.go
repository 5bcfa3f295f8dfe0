package passthrough

import (
	"fmt"
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

// TestAnswerWithAnInvalidFieldNameIsNone guards against a head in which a blank or a control byte stands in the name of
// a field: the caller got that line, or a body that another program would end elsewhere.
func TestAnswerWithAnInvalidFieldNameIsNone(t *testing.T) {
	rows := []struct{ name, fields string }{
		{"a blank before the colon", "X-Name : 1\r\nContent-Length: 4\r\n"},
		{"a blank in the name", "X Y: 1\r\nContent-Length: 4\r\n"},
		{"the length, without a valid one", "Content-Length : 2\r\n"},
		{"the length, beside a valid one", "Content-Length : 2\r\nContent-Length: 4\r\n"},
		{"chunks", "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n"},
		{"in an informational answer", "INFORMATIONAL"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			eachKind(t, func(t *testing.T, earlier int, change func(*Call)) {
				answer := "HTTP/1.1 200 OK\r\nId: ID\r\n" + row.fields + "\r\noops"
				if row.fields == "INFORMATIONAL" {
					answer = "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + responseTo("ID", "")
				}
				requireInvalid(t, earlier, change, answer)
			})
		})
	}
	for _, name := range []string{"X\x01Y", "X\tY", "X\x7f", "X-Name\t", ""} {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			eachKind(t, func(t *testing.T, earlier int, change func(*Call)) {
				target := newRawTarget(t, func(r received) bool {
					if r.request > earlier {
						_, _ = io.WriteString(r.conn, responseTo(r.id, name+": 1\r\n"))
						return true
					}
					return answerEach(r)
				})
				c := newCaller(t, target)
				for range earlier {
					call := c.call(http.MethodPost, "order")
					change(&call)
					c.answered(call)
				}
				call := c.call(http.MethodPost, "order")
				change(&call)
				_, _, _, err := c.do(call)
				require.Error(t, err, "the library turns it away by itself")
			})
		})
	}
}
