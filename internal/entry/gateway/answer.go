package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/state/object"
)

// answer is the answer to one caller, which may come from several targets in turn.
type answer struct {
	writer  gin.ResponseWriter
	request *request
	events  eventSplitter
	// started is set when the header has been sent to the caller.
	started bool
	// mayHaveRun is set when a target may have run the request without a whole answer.
	mayHaveRun bool
}

// measure is what was seen of one answer.
type measure struct {
	// events is the number of whole events, and atFirst how many of them came first, together.
	events, atFirst int
	first, last     time.Time
}

// tokenTime returns the mean time between tokens, 0 if all came together.
func (m measure) tokenTime(eventTokens int) time.Duration {
	tokens := (m.events - m.atFirst) * eventTokens
	if tokens == 0 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(tokens)
}

// copy passes an answer on as it comes. It returns an error if the answer ended early.
func (a *answer) copy(response *http.Response) (measure, error) {
	stream := a.request.route.Execution == object.Stream && response.StatusCode == http.StatusOK
	if !stream {
		return measure{}, a.copyPlain(response)
	}
	// The new target sends an event again of which the one before sent only a part.
	a.events.reset()
	return a.copyStream(response)
}

// copyPlain passes a plain answer on once it is complete, so that one that is cut can be
// replaced. Only a large answer is passed on as it comes.
func (a *answer) copyPlain(response *http.Response) error {
	if a.started {
		return errors.New("plain answer to a stream")
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxHeldBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	a.start(response)
	if _, err := a.writer.Write(content); err != nil {
		return fmt.Errorf("%w: write answer: %w", errCallerGone, err)
	}
	if _, err := io.Copy(a.writer, response.Body); err != nil {
		return fmt.Errorf("copy answer: %w", err)
	}
	return nil
}

// maxHeldBytes bounds the part of a plain answer that is held until it is complete.
const maxHeldBytes = 64 << 10

// copyStream passes events on as they come. The header goes with the first event: until then
// the caller can still be told of a failure.
func (a *answer) copyStream(response *http.Response) (measure, error) {
	var m measure
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writeErr := a.write(response, buffer[:n], &m); writeErr != nil {
				return m, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return m, a.end(response)
		}
		if err != nil {
			return m, fmt.Errorf("read events: %w", err)
		}
	}
}

const copyBufferBytes = 16 << 10

// start sends the header to the caller, unless an answer that goes on has sent its own.
func (a *answer) start(response *http.Response) {
	if a.started {
		return
	}
	header := a.writer.Header()
	closing := header.Get("Connection")
	for name, values := range forwardedHeader(response.Header) {
		header[name] = values
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	a.started = true
	a.writer.WriteHeader(response.StatusCode)
	a.writer.WriteHeaderNow()
}

// write passes the events on that are whole by now.
func (a *answer) write(response *http.Response, content []byte, m *measure) error {
	before := a.events.count
	whole, err := a.events.add(content)
	if err != nil {
		return fmt.Errorf("split events: %w", err)
	}
	if len(whole) == 0 {
		return nil
	}
	a.start(response)
	m.last = time.Now()
	m.events += a.events.count - before
	if m.first.IsZero() {
		m.first = m.last
		m.atFirst = m.events
	}
	if _, err := a.writer.Write(whole); err != nil {
		return fmt.Errorf("%w: write events: %w", errCallerGone, err)
	}
	a.writer.Flush()
	return nil
}

// end passes on what remains after the last event of a complete stream.
func (a *answer) end(response *http.Response) error {
	a.start(response)
	if len(a.events.rest) == 0 {
		return nil
	}
	if _, err := a.writer.Write(a.events.rest); err != nil {
		return fmt.Errorf("%w: write events: %w", errCallerGone, err)
	}
	return nil
}
