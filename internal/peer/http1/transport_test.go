package http1

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/standin/rawhttp"
)

// TestTransportReturnsNoInvalidHead guards against heads that the HTTP library accepts.
func TestTransportReturnsNoInvalidHead(t *testing.T) {
	rows := []struct {
		name, head string
		valid      bool
	}{
		{"200", "HTTP/1.1 200 OK\r\n", true},
		{"599", "HTTP/1.1 599 Odd\r\n", true},
		{"informational, then 200", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", true},
		{"odd but valid names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: x\r\nX-Empty:\r\n", true},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nX-Name : 1\r\n", false},
		{"a blank in the name", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", false},
		{"a length whose name ends with a blank", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", false},
		{"a blank in the name of an informational answer", "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n", false},
		{"status 000", "HTTP/1.1 000 Trouble\r\n", false},
		{"status 099", "HTTP/1.1 099 Trouble\r\n", false},
		{"status +20", "HTTP/1.1 +20 Trouble\r\n", false},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n", false},
		{"status 600", "HTTP/1.1 600 Trouble\r\n", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			request, err := http.NewRequest(http.MethodGet, "http://"+rawhttp.NewServer(t, row.head+"Content-Length: 2\r\n\r\nok"), nil)
			require.NoError(t, err)
			response, err := transport.RoundTrip(request)
			if !row.valid {
				require.ErrorIs(t, err, ErrInvalidHead)
				return
			}
			require.NoError(t, err)
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "ok", string(content))
		})
	}
}

// TestUnframedAnswerOfATransportEnds reads bodies that end with their connection, after the whole call was read.
func TestUnframedAnswerOfATransportEnds(t *testing.T) {
	for _, upload := range []int{0, 10, 1 << 20} {
		t.Run(fmt.Sprint(upload, " bytes"), func(t *testing.T) {
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			address := "http://" + rawhttp.NewServer(t, "HTTP/1.1 200 OK\r\n\r\nwhole")
			request, err := http.NewRequest(http.MethodPost, address, strings.NewReader(strings.Repeat("x", upload)))
			require.NoError(t, err)
			response, err := transport.RoundTrip(request)
			require.NoError(t, err)
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "whole", string(content))
		})
	}
}
