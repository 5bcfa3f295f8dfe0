package gateway

import (
	"bytes"
	"errors"
	"strings"
)

// eventEnd ends an event of a stream of server-sent events.
var eventEnd = []byte("\n\n")

// maxEventBytes bounds an event of a stream. A longer event makes the answer invalid, as its
// target may never send the end of it.
const maxEventBytes = 256 << 10

// errEventTooLong is returned if an event does not end within maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// eventSplitter splits a stream into complete events, so that a caller never receives a part of
// an event that another target sends again.
type eventSplitter struct {
	partial []byte
	// lastID is the last id among the complete events, empty if there was none.
	lastID string
	// count is the number of complete events.
	count int
}

// add appends bytes of the stream and returns the events that they complete. The result is valid
// until the next call.
func (s *eventSplitter) add(content []byte) ([]byte, error) {
	// The bytes of earlier calls hold no end of an event, but their last byte may begin one.
	searched := max(len(s.partial)-(len(eventEnd)-1), 0)
	s.partial = append(s.partial, content...)
	end := bytes.LastIndex(s.partial[searched:], eventEnd)
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			s.partial = nil
			return nil, errEventTooLong
		}
		return nil, nil
	}
	end += searched + len(eventEnd)
	complete := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	s.recordEvents(complete)
	return complete, nil
}

// recordEvents counts complete events and stores the last event id among them.
func (s *eventSplitter) recordEvents(events []byte) {
	s.count += bytes.Count(events, eventEnd)
	for line := range strings.Lines(string(events)) {
		if id, found := strings.CutPrefix(line, "id:"); found {
			s.lastID = strings.TrimSpace(id)
		}
	}
}

// reset discards an incomplete event before another target resumes the stream.
func (s *eventSplitter) reset() { s.partial = s.partial[:0] }
