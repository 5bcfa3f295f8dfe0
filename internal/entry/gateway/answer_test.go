package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

// pieces is a body whose reads return one piece each, some time after the one before.
type pieces struct {
	rest []string
	gap  time.Duration
}

// Read implements io.Reader.
func (p *pieces) Read(buffer []byte) (int, error) {
	if len(p.rest) == 0 {
		return strings.NewReader("").Read(buffer)
	}
	time.Sleep(p.gap)
	n := copy(buffer, p.rest[0])
	p.rest = p.rest[1:]
	return n, nil
}

// TestTokensAreCountedByTheEventsThatCame gives answers of which callers allowed many more
// tokens. Only what has come tells how fast a target is.
func TestTokensAreCountedByTheEventsThatCame(t *testing.T) {
	const one = "data: x\n\n"
	for _, test := range []struct {
		name      string
		reads     []string
		events    int
		tokenTime time.Duration
	}{
		{"one event", []string{one}, 1, 0},
		{"event by event", []string{one, one, one}, 3, 10 * time.Millisecond},
		{"two events at a time", []string{one + one, one + one}, 4, 5 * time.Millisecond},
		{"event in two parts", []string{one, "data:", "x\n\n"}, 2, 20 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := gin.CreateTestContext(httptest.NewRecorder())
				a := &answer{writer: c.Writer, request: &request{route: &object.Route{Execution: object.Stream}}}
				m, err := a.copyStream(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&pieces{test.reads, 30 * time.Millisecond})})
				require.NoError(t, err)
				require.Equal(t, test.events, m.events)
				require.Equal(t, test.tokenTime, m.tokenTime(3))
			})
		})
	}
}
