package passthrough

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// received is one request that a rawTarget has read.
type received struct {
	conn    net.Conn
	number  int // Of the connection, from 1.
	request int // Of the request on its connection, from 1.
	id      string
}

// rawTarget is a target whose responses are written by the test byte by byte.
type rawTarget struct {
	listener net.Listener
	respond  func(received) bool // Reports whether the connection stays open.
	done     sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
	all         []received
}

func newRawTarget(t *testing.T, respond func(received) bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := &rawTarget{listener: listener, respond: respond}
	target.done.Go(target.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		target.mu.Lock()
		for _, c := range target.connections {
			_ = c.Close()
		}
		target.mu.Unlock()
		target.done.Wait()
	})
	return target
}

func (r *rawTarget) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.connections = append(r.connections, conn)
		number := len(r.connections)
		r.mu.Unlock()
		r.done.Go(func() { r.serve(conn, number) })
	}
}

func (r *rawTarget) serve(conn net.Conn, number int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		got := received{conn, number, n, request.Header.Get("Id")}
		r.mu.Lock()
		r.all = append(r.all, got)
		r.mu.Unlock()
		if !r.respond(got) {
			return
		}
	}
}

// counts returns the number of connections that were opened and of requests that were read.
func (r *rawTarget) counts() (connections, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections), len(r.all)
}

// responseTo returns a whole response to the request with the given id.
func responseTo(id, header string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(id), id)
}

// answerEach answers each request.
func answerEach(r received) bool {
	_, _ = io.WriteString(r.conn, responseTo(r.id, ""))
	return true
}

// caller sends calls that may run only once to one target.
type caller struct {
	t      *testing.T
	client *Client
	target *rawTarget
	scope  tally.TestScope
	next   int
}

func newCaller(t *testing.T, target *rawTarget) *caller {
	scope := tally.NewTestScope("", nil)
	c := &caller{t: t, client: New(WithMetrics(scope)), target: target, scope: scope}
	t.Cleanup(func() { require.NoError(t, c.client.Close()) })
	return c
}

func (c *caller) call(method, body string) Call {
	c.next++
	id := fmt.Sprint("call-", c.next)
	return Call{
		Address: "http://" + c.target.listener.Addr().String(), Method: method, URI: "/x", Host: "caller.example", Header: http.Header{"Id": {id}},
		Body: []byte(body), ReuseRecent: true, RequestID: id,
		IsStray: func(r *http.Response) bool { return r.Header.Get("Id") != "" && r.Header.Get("Id") != id },
	}
}

// do sends a call and returns the body of its answer, and whether its connection was reused and kept.
func (c *caller) do(call Call) (body string, reused, kept bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := c.client.Do(ctx, call)
	if err != nil {
		return "", false, false, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	reused = IsReused(response)
	return string(content), reused, err == nil && Keep(response), err
}

// answered sends a call and requires its own answer.
func (c *caller) answered(call Call) (reused, kept bool) {
	body, reused, kept, err := c.do(call)
	require.NoError(c.t, err)
	require.Equal(c.t, call.RequestID, body)
	return reused, kept
}

func (c *caller) count(name string) int64 {
	counter := c.scope.Snapshot().Counters()[name]
	if counter == nil {
		return 0
	}
	return counter.Value()
}
