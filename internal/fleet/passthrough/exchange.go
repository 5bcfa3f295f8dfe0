package passthrough

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
)

const (
	// maxStrays is the maximum number of responses to other calls that are skipped, and maxStrayBytes
	// the maximum size of the body of each.
	maxStrays     = 2
	maxStrayBytes = 64 << 10
	// writeErrorGrace is how long an answer is awaited from a target that stopped reading the call.
	writeErrorGrace = 50 * time.Millisecond
	// noLimit lets any number of bytes be read.
	noLimit = -1
)

var (
	// errNothingWritten is returned if a connection failed before any byte of the call was written.
	errNothingWritten = errors.New("nothing was written")
	errHeadTooLarge   = errors.New("head of the response is too large")
	errStrays         = errors.New("responses to other calls without an answer")
)

// connection is one connection to a target. It carries one call at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// calls are the hashes of the ids of the calls that the connection has carried.
	calls  []uint64
	reused bool
	// singleUse is set if the connection carries one call only.
	singleUse bool
	// hasReceived is set once a byte has been received since the call was sent, skipped once a response
	// to another call was skipped.
	hasReceived, skipped bool
	// headLeft is the number of bytes of a response head that may still be read, or noLimit.
	headLeft int
	// written is the number of bytes of the call that were written.
	written int

	// Set while the connection is in the pool.
	idleSince time.Time
	expiry    *time.Timer
}

func newConnection(conn net.Conn, address string) *connection {
	c := &connection{Conn: conn, address: address, headLeft: noLimit}
	c.reader = bufio.NewReader(c)
	return c
}

// Read implements io.Reader for the reader of responses.
func (c *connection) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	c.hasReceived = c.hasReceived || n > 0
	return n, err
}

// Write implements io.Writer for the writer of calls.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// exchange sends a call on a connection and reads the head of the answer. Closing the body of the
// answer closes the connection, unless Keep has kept it.
func (r *recentConnections) exchange(ctx context.Context, c *connection, request *http.Request, id uint64, isStray func(*http.Response) bool) (*http.Response, error) {
	c.calls = append(c.calls, id)
	c.hasReceived, c.skipped, c.written = false, false, 0
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	written := http1.NewCallWrite()
	go func() { written.End(c.writeCall(request)) }()
	response, err := r.readAnswer(c, request, isStray)
	if err != nil {
		stop()
		_ = c.Conn.Close()
		return nil, r.failure(ctx, c, written.Wait(), err)
	}
	response.Body = &answerBody{
		content: response.Body, connection: c, pool: r, response: response, ctx: ctx, stop: stop, written: written, reused: c.reused,
	}
	return response, nil
}

// writeCall writes a call. If that fails, an answer that the target has sent nevertheless can still be
// read for a short time.
func (c *connection) writeCall(request *http.Request) error {
	err := request.Write(c)
	if err != nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(writeErrorGrace))
		return fmt.Errorf("write call: %w", err)
	}
	return nil
}

// failure returns the error of an exchange without an answer, whose connection is closed.
func (r *recentConnections) failure(ctx context.Context, c *connection, writeErr, readErr error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("await answer: %w", context.Cause(ctx))
	}
	failed := c.reused && (!c.hasReceived || c.skipped)
	if failed {
		r.recordFailure(c.address)
	}
	err := errors.Join(readErr, writeErr)
	switch {
	case writeErr != nil && c.written == 0 && !c.hasReceived:
		return fmt.Errorf("%w: %w", errNothingWritten, err)
	case failed:
		return &ReusedConnectionError{Address: c.address, Err: err}
	}
	return err
}

// readAnswer reads the head of the answer to a call. On a reused connection it skips responses to
// other calls, which a target may have sent without a request.
func (r *recentConnections) readAnswer(c *connection, request *http.Request, isStray func(*http.Response) bool) (*http.Response, error) {
	for range maxStrays + 1 {
		response, err := c.readResponse(request)
		if err != nil || !c.reused || isStray == nil || !isStray(response) {
			return response, err
		}
		c.skipped = true
		r.counters.strays.Inc(1)
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errStrays
}

// skipBody reads the body of a response to another call.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	if err != nil {
		return fmt.Errorf("skip response to another call: %w", err)
	}
	if n == maxStrayBytes || response.Close {
		return errStrays
	}
	return nil
}

// readResponse reads the head of the next response that is not informational.
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	for range http1.MaxInformational + 1 {
		c.headLeft = body.MaxHeaderBytes
		response, err := http.ReadResponse(c.reader, request)
		c.headLeft = noLimit
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		isFinal := response.StatusCode < http.StatusContinue || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols
		if isFinal {
			return response, http1.CheckHead(response)
		}
		if err := http1.CheckFieldNames(response.Header); err != nil {
			return nil, err
		}
	}
	return nil, http1.ErrTooManyInformational
}
