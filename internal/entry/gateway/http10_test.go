package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sendHTTP10 sends a request on a connection of HTTP/1.0, on which answers without a length end with the
// connection. It returns the body and the error that ended it.
func (s *site) sendHTTP10(path string) (int, string, error) {
	connection, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(s.t, err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.0\r\nHost: 127.0.0.1\r\nId: id-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n", path)
	require.NoError(s.t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// TestBrokenAnswerIsResetForACallerWithoutChunks breaks answers whose caller knows their end by that of the
// connection.
func TestBrokenAnswerIsResetForACallerWithoutChunks(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	cutLarge := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, large)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	rows := []struct {
		name, path string
		target     http.HandlerFunc
		isWhole    bool
	}{
		{"whole stream", "/fixed/x", events(1, 3, false), true},
		{"broken stream", "/fixed/x", events(1, 3, true), false},
		{"broken stream in a whole frame", "/fixed/x", framedAnswer(framedByChunks, wholeStream(3)+"id"), false},
		{"stream that no target resumes", "/resumed/x", events(1, 3, true), false},
		{"whole plain answer", "/write/x", answerWith(http.StatusOK, large), true},
		{"broken plain answer", "/write/x", cutLarge, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, row.target)
			status, body, err := s.sendHTTP10(row.path)
			if !row.isWhole {
				require.Error(t, err, "status %d, %d bytes", status, len(body))
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.True(t, body == wholeStream(3) || body == large)
		})
	}
}
