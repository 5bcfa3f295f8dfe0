// Package rawhttp is a stand-in for a server in trouble: it answers each request with given bytes.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// InvalidHeads are whole answers in JSON whose heads are none: an invalid status, and a blank in the name of a field.
var InvalidHeads = []string{
	"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
}

// NewServer starts a server that reads requests and writes the given bytes to each, and returns its address. It ends
// with the test.
func NewServer(t *testing.T, answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection, answer)
		}
	}()
	return listener.Addr().String()
}

func serve(connection net.Conn, answer string) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(connection, answer)
}
