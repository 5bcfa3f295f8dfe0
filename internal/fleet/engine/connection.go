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
	// eventBuffer is the number of events read ahead of the caller.
	eventBuffer = 16
)

// rawEvent is a server-sent event; the id is 0 if the engine sends none.
type rawEvent struct {
	id   int64
	data []byte
}

// connection reads the answer to one HTTP request in the background, so that its reader
// can wait for other things too.
type connection struct {
	cancel context.CancelFunc
	// opened receives nil once the answer has begun, or why it has not.
	opened chan error
	// events is closed at the end of the answer; err then says why it ended.
	events chan rawEvent
	err    error
}

// connect sends a request and reads its answer until ctx or the answer ends.
func (c *Client) connect(ctx context.Context, cancel context.CancelFunc, request *http.Request) *connection {
	conn := &connection{cancel: cancel, opened: make(chan error, 1), events: make(chan rawEvent, eventBuffer)}
	c.background.Go(func() {
		defer close(conn.events)
		response, err := c.http.Do(request)
		if err != nil {
			conn.opened <- err
			return
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			conn.opened <- reject(response)
			return
		}
		conn.opened <- nil
		conn.err = conn.read(ctx, response.Body)
	})
	return conn
}

// read passes the events of an answer on and returns why it ended.
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
