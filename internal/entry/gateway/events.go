package gateway

import (
	"bytes"
	"errors"
	"strings"
)

// eventEnd ends an event of a stream of server-sent events.
var eventEnd = []byte("\n\n")

// maxEventBytes bounds an event of a stream. A target whose event does not end within them
// sends no answer.
const maxEventBytes = 256 << 10

// errEventTooLong says that an event did not end within maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// eventSplitter cuts a stream into whole events, so that a caller never gets a part of
// an event that another target will send again.
type eventSplitter struct {
	rest []byte
	// lastID is the id of the last whole event, empty if there was none.
	lastID string
	// count is the number of whole events.
	count int
}

// add takes bytes of the stream and returns the whole events that are complete now. The
// result is valid until the next call.
func (s *eventSplitter) add(content []byte) ([]byte, error) {
	// What was searched before holds no end, but its last byte may begin one.
	searched := max(len(s.rest)-(len(eventEnd)-1), 0)
	s.rest = append(s.rest, content...)
	end := bytes.LastIndex(s.rest[searched:], eventEnd)
	if end < 0 {
		if len(s.rest) > maxEventBytes {
			s.rest = nil
			return nil, errEventTooLong
		}
		return nil, nil
	}
	end += searched + len(eventEnd)
	whole := bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	s.note(whole)
	return whole, nil
}

func (s *eventSplitter) note(events []byte) {
	s.count += bytes.Count(events, eventEnd)
	for line := range strings.Lines(string(events)) {
		if id, found := strings.CutPrefix(line, "id:"); found {
			s.lastID = strings.TrimSpace(id)
		}
	}
}

// reset forgets a part of an event, before the stream goes on at another target.
func (s *eventSplitter) reset() { s.rest = s.rest[:0] }
