package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwinglock/internal/state/outcome"
)

const (
	// maxResumeFailures is the number of failed resumptions in a row before a stream is given up.
	maxResumeFailures = 3
	// maxSilentResumes is the number of resumptions in a row that brought no event.
	maxSilentResumes = 15
	resumeBackoff    = 100 * time.Millisecond
)

// errNoResume says that the engine cannot resume the stream.
var errNoResume = errors.New("the engine cannot resume the stream")

// Stream is the answer of an engine as a sequence of events. When its connection breaks
// or goes silent, it resumes after the last event on a new connection. A silent connection
// is kept until the engine has shown that it can resume, because it may just be slow.
type Stream struct {
	client *Client
	call   Call
	ctx    context.Context // Ends the stream, whatever connection it is on.
	conn   *connection

	lastID     int64 // Id of the last event; ids start at 1.
	hasIDs     bool
	answerID   string // Id of the answer, the same in each of its events.
	events     int
	silentRuns int
	silence    time.Duration // Time without an event on this connection.
	idleTimer  *time.Timer
	noResume   bool // The engine cannot resume this stream.
	finished   bool
}

// Event is one event of a stream: the JSON of a completion chunk.
type Event struct {
	Data []byte
}

// Next returns the next event, io.EOF after the last one of a whole answer, or an error
// that says what is known about the outcome.
func (s *Stream) Next() (Event, error) {
	for {
		e, received, err := s.receive()
		if err != nil {
			return Event{}, err
		}
		if !received {
			continue
		}
		if bytes.Equal(e.data, []byte("[DONE]")) {
			s.finished = true
			return Event{}, io.EOF
		}
		fresh, err := s.accept(e.id, e.data)
		if err != nil {
			return Event{}, err
		}
		if fresh {
			return Event{Data: e.data}, nil
		}
	}
}

// receive waits for an event of the current connection. It returns false if the stream
// goes on, perhaps on another connection, without one.
func (s *Stream) receive() (rawEvent, bool, error) {
	s.idleTimer.Reset(s.call.IdleTimeout)
	select {
	case e, open := <-s.conn.events:
		if !open {
			return rawEvent{}, false, s.recover(s.conn.err)
		}
		s.silence = 0
		return e, true, nil
	case <-s.idleTimer.C:
		return rawEvent{}, false, s.idle()
	}
}

// idle acts on a silent connection. It moves to a new one if the engine can resume, and
// otherwise waits on, up to the silence timeout.
func (s *Stream) idle() error {
	s.silence += s.call.IdleTimeout
	if s.noResume {
		if s.silence >= s.call.SilenceTimeout {
			return s.lost(outcome.TargetSilent, "the engine sent nothing for %s and cannot resume", s.silence)
		}
		return nil
	}
	s.silentRuns++
	if s.silentRuns > maxSilentResumes {
		return s.lost(outcome.TargetSilent, "the engine sent nothing on %d connections", s.silentRuns)
	}
	err := s.resume()
	if errors.Is(err, errNoResume) {
		s.noResume = true
		return nil
	}
	if err != nil {
		return s.lost(outcome.TargetLost, "the connection is silent and was not resumed: %v", err)
	}
	return nil
}

// accept checks that an event belongs to this answer and is the next one. A repeated
// event is dropped; a gap is closed by resuming after the last event in order.
func (s *Stream) accept(id int64, data []byte) (bool, error) {
	if id > 0 {
		s.hasIDs = true
		if id <= s.lastID {
			return false, nil
		}
		if id != s.lastID+1 {
			return false, s.recover(fmt.Errorf("event %d follows %d", id, s.lastID))
		}
	}
	var head struct {
		ID    string          `json:"id"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return false, s.lost(outcome.TargetInvalidResponse, "an event is not JSON")
	}
	if head.Error != nil {
		return false, s.lost(outcome.TargetRefused, "the engine reported an error in the stream")
	}
	if s.events > 0 && head.ID != s.answerID {
		return false, s.lost(outcome.TargetInvalidResponse, "the engine sent an event of another answer")
	}
	s.answerID = head.ID
	s.lastID = max(s.lastID, id)
	s.events++
	s.silentRuns = 0
	return true, nil
}

// recover resumes the stream after its connection was lost, or returns its outcome.
func (s *Stream) recover(cause error) error {
	s.conn.cancel()
	if s.ctx.Err() != nil {
		return s.lost(outcome.CallerGone, "the request was stopped")
	}
	s.silentRuns++
	if s.silentRuns > maxSilentResumes {
		return s.lost(outcome.TargetSilent, "the engine sent nothing on %d connections", s.silentRuns)
	}
	if s.noResume || (s.events > 0 && !s.hasIDs) {
		return s.lost(outcome.TargetLost, "the connection was lost and the engine cannot resume: %v", cause)
	}
	if err := s.resume(); err != nil {
		return s.lost(outcome.TargetLost, "the connection was lost and not resumed: %v", err)
	}
	return nil
}

// resume opens a new connection that continues after the last event.
func (s *Stream) resume() error {
	var err error
	for attempt := range maxResumeFailures {
		if attempt > 0 {
			select {
			case <-s.ctx.Done():
				return s.ctx.Err()
			case <-time.After(resumeBackoff << attempt):
			}
		}
		if err = s.resumeOnce(); err == nil || errors.Is(err, errNoResume) {
			return err
		}
	}
	return err
}

// resumeOnce moves the stream to a new connection if the engine lets it.
func (s *Stream) resumeOnce() error {
	attempt, cancel := context.WithCancel(s.ctx)
	url := s.call.Address + streamsPath + string(s.call.ID)
	request, err := http.NewRequestWithContext(attempt, http.MethodGet, url, nil)
	if err != nil {
		cancel()
		return fmt.Errorf("resume stream: %w", err)
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Last-Event-ID", strconv.FormatInt(s.lastID, 10))
	conn := s.client.connect(attempt, cancel, request)
	timeout := time.NewTimer(s.call.IdleTimeout)
	defer timeout.Stop()
	select {
	case err = <-conn.opened:
	case <-timeout.C:
		err = errors.New("no answer in time")
	}
	if err != nil {
		cancel()
		var rejection *Rejection
		if errors.As(err, &rejection) {
			return fmt.Errorf("%w: %w", errNoResume, err)
		}
		return fmt.Errorf("resume stream: %w", err)
	}
	s.client.onResume()
	s.conn.cancel()
	s.conn = conn
	s.silence = 0
	return nil
}

// lost returns the error for a stream that will not be completed.
func (s *Stream) lost(reason outcome.Reason, format string, args ...any) error {
	result := outcome.Unknown
	if s.events > 0 {
		result = outcome.Incomplete
	}
	return outcome.Lost(result, reason, format, args...)
}

// Close ends the stream at once. Unless the whole answer was read, the engine is told to
// stop in the background; Client.Close waits for that.
func (s *Stream) Close() error {
	s.conn.cancel()
	s.idleTimer.Stop()
	if !s.finished {
		s.client.background.Go(func() { s.client.cancelAtEngine(s.call) })
	}
	return nil
}
