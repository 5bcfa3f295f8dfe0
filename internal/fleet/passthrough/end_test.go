package passthrough

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// newEarlyTarget starts a target that answers each call as soon as it has read the head, and resets the connection a
// moment later, while the body is still being written.
func newEarlyTarget(t *testing.T, answer string, delay time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(connection, answer, request.Header.Get("Id"))
				time.Sleep(delay)
				_ = connection.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestAnswerWithoutAFrameThatIsResetIsNotWhole guards against a part of an answer that was taken as whole: the error of
// a reset is reported once, and if the writing of the call gets it, the answer seems to end.
func TestAnswerWithoutAFrameThatIsResetIsNotWhole(t *testing.T) {
	const plays = 10
	for _, delay := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			eachUpload(t, func(t *testing.T, call func() Call) {
				address := newEarlyTarget(t, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\na part", delay)
				for range plays {
					c := call()
					c.Address = address
					_, err := answerTo(t, c)
					require.Error(t, err)
				}
			})
		})
	}
}

// TestFramedAnswerThatComesEarlyIsWhole sends a whole answer with a length before the upload has ended, which the target
// then refuses to read.
func TestFramedAnswerThatComesEarlyIsWhole(t *testing.T) {
	eachUpload(t, func(t *testing.T, call func() Call) {
		c := call()
		c.Address = newEarlyTarget(t, "HTTP/1.1 413 Too Large\r\nId: %s\r\nContent-Length: 9\r\n\r\ntoo large", 30*time.Millisecond)
		content, err := answerTo(t, c)
		require.NoError(t, err)
		require.Equal(t, "too large", content)
	})
}

// eachUpload runs a test for each way in which calls with a body are sent.
func eachUpload(t *testing.T, test func(t *testing.T, call func() Call)) {
	upload := bytes.Repeat([]byte("x"), uploadBytes)
	rows := []struct {
		name   string
		change func(*Call)
	}{
		{"idempotent", func(c *Call) { c.Idempotent = true }},
		{"once", func(*Call) {}},
		{"once, not to be reused", func(c *Call) { c.ReuseRecent = false }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			test(t, func() Call {
				c := Call{Method: http.MethodPost, URI: "/x", Host: "caller.example", Header: http.Header{"Id": {"id-1"}}, Body: upload, ReuseRecent: true, RequestID: "id-1", IsStray: func(*http.Response) bool { return false }}
				row.change(&c)
				return c
			})
		})
	}
}

// answerTo sends a call and returns the body of its answer.
func answerTo(t *testing.T, call Call) (string, error) {
	client := New()
	defer func() { require.NoError(t, client.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}
