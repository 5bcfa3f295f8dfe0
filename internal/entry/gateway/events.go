package gateway

import (
	"bytes"
	"strings"
)

// eventEnd ends an event of a stream of server-sent events.
var eventEnd = []byte("\n\n")

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
func (s *eventSplitter) add(content []byte) []byte {
	s.rest = append(s.rest, content...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	whole := bytes.Clone(s.rest[:end+len(eventEnd)])
	s.rest = append(s.rest[:0], s.rest[end+len(eventEnd):]...)
	s.note(whole)
	return whole
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
