package gateway

import (
	"errors"
	"mime"
	"net/http"
	"slices"
)

// framing names what marks the end of an answer.
type framing string

const (
	// framedByLength means that the header states the length of the body.
	framedByLength framing = "length"
	// framedByChunks means that the body consists of chunks and ends with an empty one.
	framedByChunks framing = "chunks"
	// framedByConnection means that the body ends with its connection.
	framedByConnection framing = "connection"
)

// framingOf returns the framing of the answer of a target.
func framingOf(response *http.Response) framing {
	switch {
	case response.ContentLength >= 0:
		return framedByLength
	case len(response.TransferEncoding) > 0:
		return framedByChunks
	}
	return framedByConnection
}

// eventMediaTypes are the media types of answers that are split into events. Targets that name none send events
// on routes of streams.
var eventMediaTypes = []string{"", "text/event-stream", "text/plain"}

// isEventStream reports whether an answer on a route of streams consists of events. Errors do not, and events
// with a content encoding cannot be told apart.
func isEventStream(response *http.Response) bool {
	encoding := response.Header.Get("Content-Encoding")
	if response.StatusCode != http.StatusOK || encoding != "" && encoding != "identity" {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err != nil || slices.Contains(eventMediaTypes, mediaType)
}

var (
	// errEndInsideEvent is returned if a stream has ended inside an event.
	errEndInsideEvent = errors.New("the stream ended inside an event")
	// errNoEvents is returned if a stream has ended before its first event.
	errNoEvents = errors.New("the stream ended before its first event")
)

// checkEnd returns an error if a stream whose transport reports its end is not whole. A frame alone does not
// show that a stream is whole, because a target that breaks off may still complete the frame:
//
//   - a stream ends between two events, in every framing;
//   - it has an event, unless it is resumed and a length or chunks say that nothing follows.
func (s *eventSplitter) checkEnd(by framing, events int, isResumed bool) error {
	if s.isInsideEvent() {
		return errEndInsideEvent
	}
	if events == 0 && (by == framedByConnection || !isResumed) {
		return errNoEvents
	}
	return nil
}
