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
)

const (
	maxEventBytes = 4 << 20
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
		conn.err = conn.read(ctx, response.Body)
	})
	return conn
}

// read parses the events of an answer, sends them to c.events and returns why the answer
// ended. It always returns an error.
func (c *connection) read(ctx context.Context, body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var e rawEvent
	for scanner.Scan() {
		line := scanner.Text()
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
		case field == "id":
			e.id, _ = strconv.ParseInt(value, 10, 64)
		case field == "data" && e.data == nil:
			e.data = []byte(value)
		case field == "data":
			e.data = append(append(e.data, '\n'), value...)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read events: %w", err)
	}
	return errors.New("the connection ended before the answer")
}
