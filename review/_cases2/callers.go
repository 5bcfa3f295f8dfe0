package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of an ordinary caller on a connection of its own.
type call struct {
	id, method, hostName, path, key string
	deadline                        time.Duration
	// prompt and output are the numbers of tokens of a stream, 0 for a plain call.
	prompt, output int
	body           string
}

// result is what the caller has seen.
type result struct {
	id     string
	status int
	sealed bool
	size   int
	// whole is set if the answer is complete. closed is set if the host has closed the connection without a whole
	// answer, expired if the caller has given up at its deadline.
	whole, closed, expired bool
	err                    error
	sent, ended            time.Time
}

func (r result) String() string {
	return fmt.Sprintf("request %s: status %d, sealed %v, %d bytes, whole %v, closed by the host %v, given up at the deadline %v, after %.3f s, %v",
		r.id, r.status, r.sealed, r.size, r.whole, r.closed, r.expired, r.ended.Sub(r.sent).Seconds(), r.err)
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// text returns the request as it is sent.
func (c call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.path, c.hostName)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n", headerNames["request-id"], c.id, headerNames["deadline"], c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", c.key)
	}
	if c.output > 0 {
		fmt.Fprintf(&b, "%s: m\r\n%s: %d,%d\r\n%s: 1:60,%s:%d\r\n", headerNames["model"], headerNames["tokens"], c.prompt, c.output, headerNames["prefix"], c.id, c.prompt-60)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	return b.String()
}

// send sends a call and reads its answer.
func (c call) send(address string) result {
	r := result{id: c.id, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		r.ended = time.Now()
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(r.sent.Add(c.deadline))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		r.err, r.closed = err, !isTimeout(err)
		r.ended = time.Now()
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		r.err, r.expired, r.closed = err, isTimeout(err), !isTimeout(err)
		r.ended = time.Now()
		return r
	}
	r.status, r.sealed = response.StatusCode, response.Header.Get(headerNames["seal"]) != ""
	content, err := io.ReadAll(response.Body)
	r.size, r.whole = len(content), err == nil
	if err != nil {
		r.err, r.expired, r.closed = err, isTimeout(err), !isTimeout(err)
	}
	r.ended = time.Now()
	return r
}

func isTimeout(err error) bool {
	var t net.Error
	if e, ok := err.(net.Error); ok {
		t = e
		return t.Timeout()
	}
	return strings.Contains(err.Error(), "timeout")
}
