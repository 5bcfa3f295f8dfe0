package passthrough

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"redwinglock/internal/peer/http1"
)

// answerBody is the body of an answer on a connection of the pool.
type answerBody struct {
	content    io.ReadCloser
	connection *connection
	pool       *recentConnections
	response   *http.Response
	ctx        context.Context
	// stop detaches the connection from the context. It reports false if that has ended.
	stop    func() bool
	written *http1.CallWrite
	reused  bool

	// complete is set at the end of the body.
	complete atomic.Bool
	released sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.content.Read(p)
	err = b.written.CheckEnd(http1.IsFramed(b.response), err)
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
		return n, err
	}
	if err != nil && b.ctx.Err() != nil {
		return n, fmt.Errorf("read answer: %w", context.Cause(b.ctx))
	}
	return n, err
}

// Close closes the connection, unless it was kept.
func (b *answerBody) Close() error {
	b.released.Do(func() {
		b.stop()
		_ = b.connection.Conn.Close()
	})
	return nil
}

// keep puts the connection into the pool if the target expects further calls on it.
func (b *answerBody) keep() bool {
	kept := false
	if !b.complete.Load() || !b.mayKeep() {
		return false // Close closes the connection.
	}
	b.released.Do(func() {
		if !b.stop() {
			return // The end of the context closes the connection.
		}
		kept = b.pool.release(b.connection)
	})
	return kept
}

// mayKeep reports whether the target expects further calls on the connection of a complete answer.
func (b *answerBody) mayKeep() bool {
	if b.response.Close || b.connection.singleUse || b.connection.skipped || b.connection.reader.Buffered() > 0 || forbidsReuse(b.response.Header) {
		return false
	}
	return b.written.Await(http1.ReuseWait) == nil
}

// forbidsReuse reports whether a Keep-Alive header names a timeout of zero or no further request.
func forbidsReuse(h http.Header) bool {
	for _, line := range h.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			n, err := strconv.Atoi(strings.Trim(value, `" `))
			isLimit := strings.EqualFold(name, "timeout") || strings.EqualFold(name, "max")
			if isLimit && err == nil && n <= 0 {
				return true
			}
		}
	}
	return false
}

// IsReused reports whether a response arrived on a connection that carried other calls before.
func IsReused(response *http.Response) bool {
	b, ok := response.Body.(*answerBody)
	return ok && b.reused
}

// Keep keeps the connection of a response for the next call to the target, if the body was read to
// its end and the target allows it, and reports whether it did. Otherwise closing the body closes the
// connection. Call it only if the answer was whole.
func Keep(response *http.Response) bool {
	b, ok := response.Body.(*answerBody)
	return ok && b.keep()
}
