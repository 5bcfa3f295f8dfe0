package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/state/object"
)

// answer is the answer to one caller. Several targets may contribute to it, one after another.
type answer struct {
	writer  gin.ResponseWriter
	request *request
	events  eventSplitter
	// started is set once the header has been sent to the caller.
	started bool
	// mayHaveRun is set when a target may have run the request but its answer was not complete.
	mayHaveRun bool
}

// streamStats counts and times the events of one streamed answer.
type streamStats struct {
	// events is the number of complete events. firstBatch is how many of them arrived together
	// with the first one.
	events, firstBatch int
	firstAt, lastAt    time.Time
}

// tokenInterval returns the mean time between tokens, 0 if all events arrived together.
func (m streamStats) tokenInterval(eventTokens int) time.Duration {
	tokens := (m.events - m.firstBatch) * eventTokens
	if tokens == 0 {
		return 0
	}
	return m.lastAt.Sub(m.firstAt) / time.Duration(tokens)
}

// copy forwards a target's answer to the caller. It returns an error if the answer is not whole.
func (a *answer) copy(response *http.Response) (streamStats, error) {
	if a.request.route.Execution != object.Stream || !isEventStream(response) {
		return streamStats{}, a.copyPlain(response)
	}
	// This target sends again the event that the previous target sent only in part.
	a.events.reset()
	// Another target may continue the stream, so its length is not known.
	response.Header.Del("Content-Length")
	return a.copyStream(response)
}

// copyPlain forwards a plain answer once it is complete, so that the request can be retried if
// the answer is cut off. An answer larger than maxBufferedBytes is forwarded while it arrives.
func (a *answer) copyPlain(response *http.Response) error {
	if a.started {
		return errors.New("plain answer to a stream")
	}
	content, err := a.readFirst(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	a.start(response)
	if _, err := a.writer.Write(content); err != nil {
		return fmt.Errorf("%w: write answer: %w", errCallerDisconnected, err)
	}
	if _, err := io.Copy(a.writer, response.Body); err != nil {
		return fmt.Errorf("copy answer: %w", err)
	}
	return nil
}

// readFirst reads a plain answer up to maxBufferedBytes, or less if many answers use the memory for that.
func (a *answer) readFirst(answered io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(answered, body.SmallBytes))
	if err != nil || len(content) < body.SmallBytes {
		return content, err
	}
	if a.events.memory.Grow(2*maxBufferedBytes) != nil { // Both parts while they are joined.
		return content, nil
	}
	rest, err := io.ReadAll(io.LimitReader(answered, maxBufferedBytes-body.SmallBytes))
	return append(content, rest...), err
}

// close returns the memory that the answer has used.
func (a *answer) close() { a.events.close() }

// maxBufferedBytes bounds the part of a plain answer that is buffered before anything is sent to
// the caller.
const maxBufferedBytes = 64 << 10

// copyStream forwards events as they arrive. It sends the header with the first event, because
// until then a failure can still be reported by the status.
func (a *answer) copyStream(response *http.Response) (streamStats, error) {
	var m streamStats
	resumed := a.isResumed()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writeErr := a.write(response, buffer[:n], &m); writeErr != nil {
				return m, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			if err := a.events.checkEnd(framingOf(response), m.events, resumed); err != nil {
				return m, err
			}
			return m, a.end(response)
		}
		if err != nil {
			return m, fmt.Errorf("read events: %w", err)
		}
	}
}

const copyBufferBytes = 16 << 10

// start sends the header to the caller, unless it was sent before, as with a resumed stream.
func (a *answer) start(response *http.Response) {
	if a.started {
		return
	}
	header := a.writer.Header()
	connection := header.Get("Connection")
	for name, values := range forwardedHeader(response.Header) {
		header[name] = values
	}
	if connection != "" {
		header.Set("Connection", connection)
	}
	a.started = true
	a.writer.WriteHeader(response.StatusCode)
	a.writer.WriteHeaderNow()
}

// write forwards the events that content completes.
func (a *answer) write(response *http.Response, content []byte, m *streamStats) error {
	before := a.events.count
	complete, err := a.events.add(content)
	if err != nil {
		return fmt.Errorf("split events: %w", err)
	}
	if len(complete) == 0 {
		return nil
	}
	a.start(response)
	m.lastAt = time.Now()
	m.events += a.events.count - before
	if m.firstAt.IsZero() {
		m.firstAt = m.lastAt
		m.firstBatch = m.events
	}
	if _, err := a.writer.Write(complete); err != nil {
		return fmt.Errorf("%w: write events: %w", errCallerDisconnected, err)
	}
	a.writer.Flush()
	return nil
}

// isResumed reports whether the answer continues a stream after an event that the caller has.
func (a *answer) isResumed() bool {
	return a.events.lastID != "" || a.request.info.LastEventID != ""
}

// end forwards the bytes after the last event of a complete stream.
func (a *answer) end(response *http.Response) error {
	a.start(response)
	if len(a.events.partial) == 0 {
		return nil
	}
	if _, err := a.writer.Write(a.events.partial); err != nil {
		return fmt.Errorf("%w: write events: %w", errCallerDisconnected, err)
	}
	return nil
}
