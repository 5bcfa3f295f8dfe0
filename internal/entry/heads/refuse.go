package heads

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/state/outcome"
)

// reason is why a head or a connection was not accepted.
type reason string

const (
	reasonTooLarge    reason = "too-large"
	reasonNoMemory    reason = "no-memory"
	reasonTimeout     reason = "timeout"
	reasonConnections reason = "connections"
)

const (
	// noMemoryRetryAfter is the Retry-After, in seconds, if the heads of other requests use the budget.
	noMemoryRetryAfter = "0.500"
	// refusalWriteTimeout bounds the time to send a refusal.
	refusalWriteTimeout = 200 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read after a refusal. A connection that is closed with unread bytes
	// is reset, and the caller may then lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// logsPerSecond bounds the log lines about refused heads.
	logsPerSecond = 5
)

// refuse answers a head that was not passed on, and returns the error for net/http, which closes the connection.
func (c *conn) refuse(r reason) error {
	c.guard.report(r, c)
	c.drop()
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) != nil {
		return errRefused
	}
	if _, err := io.WriteString(c.Conn, refusal(r)); err != nil {
		return errRefused
	}
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return errRefused
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // The refusal has been sent in any case.
	return errRefused
}

// refusal returns the response that refuses a request. The request has not run.
func refusal(r reason) string {
	status, header, why, message := "503 Service Unavailable", "Retry-After: "+noMemoryRetryAfter+"\r\n", outcome.NoMemory, "this host has no memory for the head of the request now"
	if r == reasonTooLarge {
		status, header, why, message = "431 Request Header Fields Too Large", "", outcome.RequestTooLarge, "the head of the request is too large"
	}
	body := fmt.Sprintf(`{"outcome":%q,"reason":%q,"message":%q}`, outcome.NotRun, why, message)
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, header, len(body), body)
}

// report counts and logs a head or connection that was not accepted.
func (g *Guard) report(r reason, c *conn) {
	g.metrics.Tagged(map[string]string{"reason": string(r)}).Counter("heads_refused").Inc(1)
	if !g.logs.Allow(time.Now()) {
		return
	}
	g.log.WithFields(logrus.Fields{
		"reason": r, "listener": c.listener.name, "caller": c.RemoteAddr().String(),
		"bytes": c.head.bytes, "lines": c.head.lines, "memory-used": g.budget.usedBytes(), "memory-limit": g.budget.limit,
		"connections": c.listener.count(),
	}).Info("Head refused.")
}
