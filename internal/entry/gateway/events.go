package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"redwinglock/internal/peer/body"
)

// eventEnds are the texts that end an event of a stream of server-sent events: an empty line, where a line ends
// with a line feed, a carriage return or both.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxEventEndBytes is the length of the longest of the eventEnds.
const maxEventEndBytes = 3

// maxEventBytes bounds an event of a stream. A longer event makes the answer invalid, as its
// target may never send the end of it.
const maxEventBytes = 256 << 10

// errEventTooLong is returned if an event does not end within maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// eventSplitter splits a stream into complete events, so that a caller never receives a part of
// an event that another target sends again.
type eventSplitter struct {
	partial []byte
	// memory is what a large part of an event may use.
	memory body.Reservation
	// lastID is the last id among the complete events, empty if there was none.
	lastID string
	// count is the number of complete events.
	count int
}

// add appends bytes of the stream and returns the events that they complete. The result is valid
// until the next call.
func (s *eventSplitter) add(content []byte) ([]byte, error) {
	// The bytes of earlier calls hold no end of an event, but their last byte may begin one.
	searched := max(len(s.partial)-(maxEventEndBytes-1), 0)
	s.partial = append(s.partial, content...)
	end := endOfLastEvent(s.partial[searched:])
	if end == 0 {
		return nil, s.checkPartial()
	}
	end += searched
	complete := bytes.Clone(s.partial[:end])
	s.keepPartial(s.partial[end:])
	s.recordEvents(complete)
	return complete, nil
}

// checkPartial returns an error, and discards the event that is not complete, if it is too large by itself or together
// with those of other answers.
func (s *eventSplitter) checkPartial() error {
	if len(s.partial) > maxEventBytes {
		s.close()
		return errEventTooLong
	}
	if err := s.memory.Grow(cap(s.partial)); err != nil {
		s.close()
		return fmt.Errorf("event: %w", err)
	}
	return nil
}

// keepPartial keeps the beginning of the next event, and no more memory than that needs.
func (s *eventSplitter) keepPartial(rest []byte) {
	if cap(s.partial) <= body.SmallBytes {
		s.partial = append(s.partial[:0], rest...)
		return
	}
	s.partial = bytes.Clone(rest)
	s.memory.Release()
}

// close discards the event that is not complete and returns its memory.
func (s *eventSplitter) close() {
	s.partial = nil
	s.memory.Release()
}

// endOfLastEvent returns the length of the content up to the end of its last complete event, 0 if there is none.
func endOfLastEvent(content []byte) int {
	length := 0
	for _, end := range eventEnds {
		if n := bytes.LastIndex(content, end); n >= 0 {
			length = max(length, n+len(end))
		}
	}
	return length
}

var lineFeeds = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// withLineFeeds returns content with a line feed at the end of each line.
func withLineFeeds(content []byte) string {
	if bytes.IndexByte(content, '\r') < 0 {
		return string(content)
	}
	return lineFeeds.Replace(string(content))
}

// recordEvents counts complete events and stores the last event id among them. Comments are no events.
func (s *eventSplitter) recordEvents(events []byte) {
	hasFields := false
	for line := range strings.Lines(withLineFeeds(events)) {
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "":
			s.countEvent(hasFields)
			hasFields = false
		case line[0] != ':':
			hasFields = true
			s.recordField(line)
		}
	}
}

// countEvent counts the text up to an empty line if it is an event.
func (s *eventSplitter) countEvent(hasFields bool) {
	if hasFields {
		s.count++
	}
}

// recordField stores the id that a line of an event may hold.
func (s *eventSplitter) recordField(line string) {
	if id, found := strings.CutPrefix(line, "id:"); found {
		s.lastID = strings.TrimSpace(id)
	}
}

// reset discards an incomplete event before another target resumes the stream.
func (s *eventSplitter) reset() { s.partial = s.partial[:0] }

// isInsideEvent reports whether the bytes after the last event begin another one. Whole comments and empty lines
// do not.
func (s *eventSplitter) isInsideEvent() bool {
	for line := range strings.Lines(withLineFeeds(s.partial)) {
		isBetweenEvents := line == "\n" || strings.HasPrefix(line, ":") && strings.HasSuffix(line, "\n")
		if !isBetweenEvents {
			return true
		}
	}
	return false
}
