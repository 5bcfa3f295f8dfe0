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

// slowBody is a body that returns one chunk per read, after a delay.
type slowBody struct {
	chunks []string
	delay  time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(buffer []byte) (int, error) {
	if len(b.chunks) == 0 {
		return strings.NewReader("").Read(buffer)
	}
	time.Sleep(b.delay)
	n := copy(buffer, b.chunks[0])
	b.chunks = b.chunks[1:]
	return n, nil
}

// TestTokenIntervalCountsReceivedEvents reads answers with far fewer tokens than their callers
// allow. Only the tokens that were received show how fast a target is.
func TestTokenIntervalCountsReceivedEvents(t *testing.T) {
	const event = "data: x\n\n"
	for _, test := range []struct {
		name          string
		reads         []string
		events        int
		tokenInterval time.Duration
	}{
		{"one event", []string{event}, 1, 0},
		{"event by event", []string{event, event, event}, 3, 10 * time.Millisecond},
		{"two events at a time", []string{event + event, event + event}, 4, 5 * time.Millisecond},
		{"event in two parts", []string{event, "data:", "x\n\n"}, 2, 20 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := gin.CreateTestContext(httptest.NewRecorder())
				a := &answer{writer: c.Writer, request: &request{route: &object.Route{Execution: object.Stream}}}
				m, err := a.copyStream(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&slowBody{test.reads, 30 * time.Millisecond})})
				require.NoError(t, err)
				require.Equal(t, test.events, m.events)
				require.Equal(t, test.tokenInterval, m.tokenInterval(3))
			})
		})
	}
}
