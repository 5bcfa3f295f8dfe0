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
	"time"
)

// answerBody is the body of an answer. At its end it releases the connection.
type answerBody struct {
	content    io.ReadCloser
	connection *connection
	pool       *recentConnections
	response   *http.Response
	ctx        context.Context
	// stop detaches the connection from the context. It reports false if that has ended.
	stop    func() bool
	written <-chan error
	reused  bool

	ended sync.Once
	kept  atomic.Bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.content.Read(p)
	if err == nil {
		return n, nil
	}
	b.ended.Do(func() { b.end(errors.Is(err, io.EOF)) })
	if !errors.Is(err, io.EOF) && b.ctx.Err() != nil {
		return n, fmt.Errorf("read answer: %w", context.Cause(b.ctx))
	}
	return n, err
}

// Close closes the connection if the answer has not been read to its end.
func (b *answerBody) Close() error {
	b.ended.Do(func() { b.end(false) })
	return nil
}

// end keeps the connection for the next call if the answer is complete, otherwise closes it.
func (b *answerBody) end(complete bool) {
	isAttached := b.stop()
	if complete && isAttached && b.mayKeep() {
		b.kept.Store(b.pool.release(b.connection))
		return
	}
	_ = b.connection.Conn.Close()
}

// mayKeep reports whether the target expects further calls on the connection.
func (b *answerBody) mayKeep() bool {
	if b.response.Close || b.connection.skipped || b.connection.reader.Buffered() > 0 || forbidsReuse(b.response.Header) {
		return false
	}
	select {
	case err := <-b.written:
		return err == nil
	case <-time.After(writeEndWait):
		return false
	}
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

// IsKept reports whether the connection of a response is idle now and may carry another call.
func IsKept(response *http.Response) bool {
	b, ok := response.Body.(*answerBody)
	return ok && b.kept.Load()
}

// DoNotKeep closes the connection of a response at its end.
func DoNotKeep(response *http.Response) { response.Close = true }
