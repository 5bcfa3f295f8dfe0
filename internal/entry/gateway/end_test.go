package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// resetEarly answers without a frame before the upload has been read, and resets the connection a moment later.
func resetEarly(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\n%s", r.Header.Get("Id"), body)
		time.Sleep(5 * time.Millisecond)
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
}

// TestAnswerThatIsResetDuringTheUploadIsNotWhole guards against a target that answered a long upload at once, without a
// length, and reset the connection: callers got the part that had arrived as a complete answer.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	rows := []struct{ path, body string }{{"/write/x", "half of an ans"}, {"/fixed/x", wholeStream(3)}}
	for _, row := range rows {
		t.Run(row.path, func(t *testing.T) {
			for range 10 {
				s := newSite(t, resetEarly(row.body))
				s.server.common.Settings.Gateway.MaxBodyBytes = 32 << 20
				got := s.send("POST", row.path, strings.Repeat("x", 16<<20))
				isWhole := got.status == http.StatusOK && got.err == nil
				require.False(t, isWhole, "a part passed as a complete answer")
			}
		})
	}
}
