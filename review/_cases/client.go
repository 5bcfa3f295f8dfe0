package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientRequest is one request of a client.
type clientRequest struct {
	id, method, path string
	header           map[string]string
	body             []byte
	deadline         time.Duration
}

// clientAnswer is what a client got for a request. err is set if the answer is missing or not complete.
type clientAnswer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// String describes an answer for the record.
func (a *clientAnswer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, error: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, signature %q", a.status, len(a.body), a.header.Get(names.Seal))
}

// bytes returns the request as it is sent.
func (r *clientRequest) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s%s\r\n", r.method, r.path, callerHost, names.RequestID, r.id, names.Key, names.KeyScheme, callerKey)
	if r.deadline > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", names.Deadline, r.deadline.Milliseconds())
	}
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(r.body)))
	b.Write(r.body)
	return b.Bytes()
}

// connection is a client's connection to a machine, which it keeps for several requests.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connectTimeout is the time that clients allow a new connection.
const connectTimeout = time.Second

func connect(h *host) (*connection, error) {
	conn, err := net.DialTimeout("tcp", h.callers, connectTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &connection{conn, bufio.NewReader(conn)}, nil
}

// answerGrace is how long after its deadline a client still waits.
const answerGrace = 2 * time.Second

// send sends a request and reads the answer.
func (c *connection) send(r *clientRequest) clientAnswer {
	if err := c.SetDeadline(time.Now().Add(r.deadline + answerGrace)); err != nil {
		return clientAnswer{err: fmt.Errorf("set deadline: %w", err)}
	}
	if _, err := c.Write(r.bytes()); err != nil {
		return clientAnswer{err: fmt.Errorf("send: %w", err)}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return clientAnswer{err: fmt.Errorf("read answer: %w", err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientAnswer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// sendOnce sends a request on a connection of its own.
func sendOnce(h *host, r *clientRequest) clientAnswer {
	c, err := connect(h)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer c.Close()
	return c.send(r)
}
