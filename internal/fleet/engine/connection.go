package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"redwinglock/internal/peer/body"
)

// Errors of answers that engines do not complete.
var (
	errEventTooLong = errors.New("event is too long")
	errEnded        = errors.New("the connection ended before the answer")
)

const (
	// maxEventBytes bounds an event. The engine of a longer one may never send the end of it.
	maxEventBytes = 256 << 10
	// lineBufferBytes is the size of the buffer of a connection.
	lineBufferBytes = 4096
	// eventBufferSize is the number of events that are read ahead.
	eventBufferSize = 16
)

// rawEvent is a server-sent event. Its id is 0 if the engine sends no ids.
type rawEvent struct {
	id   int64
	data []byte
}

// connection reads the answer to one HTTP request in the background, so that the stream can
// wait for events and timers at the same time.
type connection struct {
	cancel context.CancelFunc
	// opened receives nil when the answer has begun, or the error that prevented it.
	opened chan error
	// events is closed at the end of the answer. After that, err is the reason.
	events chan rawEvent
	err    error
}

// connect sends a request and reads its answer until it ends or ctx is canceled.
func (c *Client) connect(ctx context.Context, cancel context.CancelFunc, request *http.Request) *connection {
	conn := &connection{cancel: cancel, opened: make(chan error, 1), events: make(chan rawEvent, eventBufferSize)}
	c.background.Go(func() {
		defer close(conn.events)
		response, err := c.http.Do(request)
		if err != nil {
			conn.opened <- err
			return
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			conn.opened <- readRejection(response)
			return
		}
		conn.opened <- nil
		memory := c.memory.Reserve()
		defer memory.Release()
		conn.err = conn.read(ctx, response.Body, &memory)
	})
	return conn
}

// read parses the events of an answer, sends them to c.events and returns why the answer
// ended. It always returns an error.
func (c *connection) read(ctx context.Context, answer io.Reader, memory *body.Reservation) error {
	lines := &lineReader{reader: bufio.NewReaderSize(answer, lineBufferBytes)}
	var e rawEvent
	for {
		line, err := lines.next(memory)
		if err != nil {
			return fmt.Errorf("read events: %w", err)
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && e.data != nil:
			select {
			case c.events <- e:
			case <-ctx.Done():
				return fmt.Errorf("read events: %w", ctx.Err())
			}
			e = rawEvent{}
			lines.endEvent(memory)
		case line == "":
			lines.endEvent(memory)
		case field == "id":
			e.id, _ = strconv.ParseInt(value, 10, 64)
		case field == "data" && e.data == nil:
			e.data = []byte(value)
		case field == "data":
			e.data = append(append(e.data, '\n'), value...)
		}
	}
}

// lineReader reads the lines of events within the limits of an event.
type lineReader struct {
	reader *bufio.Reader
	// eventBytes is the number of bytes since the last empty line.
	eventBytes int
}

// endEvent begins the next event.
func (r *lineReader) endEvent(memory *body.Reservation) {
	r.eventBytes = 0
	memory.Release()
}

// next returns the next line without its end.
func (r *lineReader) next(memory *body.Reservation) (string, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		r.eventBytes += len(part)
		if r.eventBytes > maxEventBytes {
			return "", errEventTooLong
		}
		if memoryErr := memory.Grow(r.eventBytes); memoryErr != nil {
			return "", memoryErr
		}
		switch {
		case err == nil:
			return strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r"), nil
		case errors.Is(err, io.EOF) && len(line) > 0:
			return string(line), nil
		case errors.Is(err, io.EOF):
			return "", errEnded
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		}
	}
}
