package heads

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/common"
)

const testHeadTimeout = 300 * time.Millisecond

type testServer struct {
	guard    *Guard
	listener *listener
	address  string
}

// newTestServer starts a server that answers with the size of the body that it has read.
func newTestServer(t *testing.T, maxConnections int, handler http.HandlerFunc) *testServer {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := NewGuard(common.Discard(), 64<<10, testHeadTimeout)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: testHeadTimeout}
	l := g.Protect("test", server, socket, maxConnections).(*listener)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l) // Ends with Close.
	}()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		<-done
		require.Eventually(t, func() bool { return g.budget.usedBytes() == 0 && l.count() == 0 }, 5*time.Second, time.Millisecond, "all memory is returned")
	})
	return &testServer{g, l, socket.Addr().String()}
}

func countBody(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	fmt.Fprint(w, r.URL.Path, " ", n, " ", err, " ", len(r.Trailer))
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

func requireAnswer(t *testing.T, reader *bufio.Reader, status int, body string) {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode, string(content))
	require.Contains(t, string(content), body)
}

// TestRequestsOnOneConnection guards against a wrapper that breaks keep-alive connections, pipelined requests, bodies
// with a length or in chunks, or trailers, in whatever pieces the bytes arrive.
func TestRequestsOnOneConnection(t *testing.T) {
	large := strings.Repeat("x", 100_000)
	requests := []struct{ text, want string }{
		{"GET /get HTTP/1.1\r\nHost: a\r\n\r\n", "/get 0 <nil> 0"},
		{"POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + large, "/length 100000 <nil> 0"},
		{"\r\nGET /after-empty-line HTTP/1.1\r\nHost: a\r\n\r\n", "/after-empty-line 0 <nil> 0"},
		{"POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + large + "\r\n3\r\nabc\r\n0\r\n\r\n", "/chunks 100003 <nil> 0"},
		{"POST /trailer HTTP/1.1\r\nHost: a\r\nTrailer: b\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nb: c\r\n\r\n", "/trailer 1 <nil> 1"},
		{"GET /many HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", 20_000) + "\r\n", "/many 0 <nil> 0"},
		{"GET /last HTTP/1.1\r\nHost: a\r\n\r\n", "/last 0 <nil> 0"},
	}
	for _, piece := range []int{7, 4096, 1 << 20} {
		t.Run(fmt.Sprint("pieces of ", piece), func(t *testing.T) {
			s := newTestServer(t, 10, countBody)
			c, reader := s.dial(t)
			var all strings.Builder
			for _, r := range requests {
				all.WriteString(r.text)
			}
			go func() {
				for rest := all.String(); rest != ""; {
					n := min(piece, len(rest))
					_, _ = io.WriteString(c, rest[:n]) // The test sees missing answers.
					rest = rest[n:]
				}
			}()
			for _, r := range requests {
				requireAnswer(t, reader, http.StatusOK, r.want)
			}
		})
	}
}

// TestContinue guards against a wrapper that waits for a body before the caller is told to send it.
func TestContinue(t *testing.T) {
	s := newTestServer(t, 10, countBody)
	c, reader := s.dial(t)
	fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, response.StatusCode)
	fmt.Fprint(c, "abc")
	requireAnswer(t, reader, http.StatusOK, "/x 3 <nil>")
}

// TestCallerThatLeavesIsNoticed guards against a wrapper that hides from a handler that its caller has gone.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, 10, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	c, _ := s.dial(t)
	fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	<-began
	require.NoError(t, c.Close())
	<-ended
}

// TestPartOfTheNextHeadDoesNotEndARequest guards against a running request that is canceled because the next head on
// its connection is not complete within the time for a head.
func TestPartOfTheNextHeadDoesNotEndARequest(t *testing.T) {
	s := newTestServer(t, 10, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		case <-time.After(2 * testHeadTimeout):
		}
	})
	c, reader := s.dial(t)
	fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\naGET /")
	requireAnswer(t, reader, http.StatusOK, "")
	fmt.Fprint(c, "y HTTP/1.1\r\nHost: a\r\n\r\n")
	requireAnswer(t, reader, http.StatusOK, "")
}

// TestRefusals guards against heads that are passed on although they are too large or the budget is used up.
func TestRefusals(t *testing.T) {
	s := newTestServer(t, 10, countBody)
	c, reader := s.dial(t)
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\nb: ", strings.Repeat("x", 64<<10), "\r\n\r\n")
	requireAnswer(t, reader, http.StatusRequestHeaderFieldsTooLarge, "request-too-large")
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection is closed")

	others := s.guard.budget.limit - requestCost
	s.guard.budget.use(others)
	c, reader = s.dial(t)
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)

	c, reader = s.dial(t)
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\n", strings.Repeat("a:\n", 3000)) // Incomplete.
	_, err = reader.ReadByte()
	require.Error(t, err, "the connection is closed")
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stays open")
	s.guard.budget.use(-others)
}

// use changes the memory that other heads use.
func (b *budget) use(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += size
}

// TestMemoryIsHeldUntilTheRequestEnds guards against a budget that counts heads only while they are read.
func TestMemoryIsHeldUntilTheRequestEnds(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, 10, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-end
	})
	c, reader := s.dial(t)
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\n", strings.Repeat("a:\n", 10_000), "\r\n")
	<-began
	require.Greater(t, s.guard.budget.usedBytes(), int64(10_000*lineCost))
	close(end)
	requireAnswer(t, reader, http.StatusOK, "")
	require.Eventually(t, func() bool { return s.guard.budget.usedBytes() == 0 }, 5*time.Second, time.Millisecond)
}

// TestSlowHeadIsClosed guards against a sender that holds a part of a second head for the whole idle timeout.
func TestSlowHeadIsClosed(t *testing.T) {
	s := newTestServer(t, 10, countBody)
	c, reader := s.dial(t)
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	requireAnswer(t, reader, http.StatusOK, "")
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\n")
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestOldestIdleConnectionIsClosed guards against connections without requests that keep new callers out, and against
// closing connections that have requests.
func TestOldestIdleConnectionIsClosed(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, 3, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(began)
			<-end
		}
	})
	busy, busyReader := s.dial(t)
	fmt.Fprint(busy, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	var idle []*bufio.Reader
	for range 4 {
		c, reader := s.dial(t)
		fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		requireAnswer(t, reader, http.StatusOK, "")
		idle = append(idle, reader)
	}
	_, err := idle[0].ReadByte()
	require.Error(t, err, "the oldest idle connection is closed")
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the oldest idle connection stays open")
	close(end)
	requireAnswer(t, busyReader, http.StatusOK, "")
	require.LessOrEqual(t, s.listener.count(), 3)
}

// TestRequestOfAClosedConnectionDoesNotRun guards against a request that runs although its connection was closed, for
// another one, at the moment when its head was complete.
func TestRequestOfAClosedConnectionDoesNotRun(t *testing.T) {
	l := &listener{maxConnections: 1}
	first, second := &conn{listener: l}, &conn{listener: l}
	l.add(first)
	evicted, accepted := l.add(second)
	require.True(t, accepted)
	require.Equal(t, first, evicted)
	require.False(t, l.setBusy(first))
	require.True(t, l.setBusy(second))
	_, accepted = l.add(&conn{listener: l})
	require.False(t, accepted, "the only connection has a request")
}

// TestConnContextIsKept guards against a server that loses its own context of connections.
func TestConnContextIsKept(t *testing.T) {
	type key struct{}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) }}
	NewGuard(common.Discard(), 64<<10, testHeadTimeout).Protect("test", server, socket, 1)
	require.NoError(t, socket.Close())
	ctx := server.ConnContext(context.Background(), &conn{})
	require.Implements(t, (*interface{ SetLinger(int) error })(nil), ctx.Value(key{}))
}
