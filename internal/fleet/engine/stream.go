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

	"redwinglock/internal/peer/body"
	"redwinglock/internal/state/outcome"
)

const (
	// maxResumeFailures is the number of consecutive failed attempts to resume after which a
	// stream fails.
	maxResumeFailures = 3
	// maxSilentConnections is the number of consecutive connections without an event that a
	// stream tolerates.
	maxSilentConnections = 15
	resumeBackoff        = 100 * time.Millisecond
)

var (
	errResumeUnsupported = errors.New("the engine cannot resume the stream")
	errNoAnswerInTime    = errors.New("no answer in time")
)

// Stream is the answer of an engine as a sequence of events. If its connection breaks or
// goes silent, it resumes after the last event on a new connection. A silent connection is
// closed only after the engine has accepted the new one, because the engine may just be slow.
type Stream struct {
	client *Client
	call   Call
	ctx    context.Context // Cancels the stream and all its connections.
	conn   *connection

	lastID            int64 // Id of the last event. Ids start at 1.
	hasIDs            bool
	completionID      string // Id of the completion, the same in each of its events.
	events            int
	silentConnections int
	silentFor         time.Duration // Time without an event on the current connection.
	idleTimer         *time.Timer
	resumeUnsupported bool
	finished          bool
}

// Event is one event of a stream: the JSON of a completion chunk.
type Event struct {
	Data []byte
}

// Next returns the next event, io.EOF after the last event of a complete answer, or an error
// that describes the outcome (see outcome.FailureOf).
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
		isNew, err := s.accept(e.id, e.data)
		if err != nil {
			return Event{}, err
		}
		if isNew {
			return Event{Data: e.data}, nil
		}
	}
}

// receive waits for an event of the current connection. It returns false without an error if
// there was none and the stream continues, possibly on a new connection.
func (s *Stream) receive() (rawEvent, bool, error) {
	s.idleTimer.Reset(s.call.IdleTimeout)
	select {
	case e, open := <-s.conn.events:
		if !open {
			return rawEvent{}, false, s.recoverConnection(s.conn.err)
		}
		s.silentFor = 0
		return e, true, nil
	case <-s.idleTimer.C:
		return rawEvent{}, false, s.handleIdle()
	}
}

// handleIdle handles a connection that sent no event for the idle timeout. It resumes the
// stream on a new connection if the engine supports that. Otherwise it keeps the connection
// until the silence timeout.
func (s *Stream) handleIdle() error {
	s.silentFor += s.call.IdleTimeout
	if s.resumeUnsupported {
		if s.silentFor >= s.call.SilenceTimeout {
			return s.failure(outcome.TargetSilent, "the engine sent nothing for %s and cannot resume", s.silentFor)
		}
		return nil
	}
	s.silentConnections++
	if s.silentConnections > maxSilentConnections {
		return s.failure(outcome.TargetSilent, "the engine sent nothing on %d connections", s.silentConnections)
	}
	err := s.resume()
	switch {
	case errors.Is(err, errResumeUnsupported):
		s.resumeUnsupported = true
		return nil
	case errors.Is(err, errNoAnswerInTime):
		return nil // The engine may just be slow, so its connection is kept.
	case err != nil:
		return s.failure(outcome.TargetLost, "the connection is silent and was not resumed: %v", err)
	}
	return nil
}

// accept checks that an event belongs to this answer and is the next one. It returns false
// for a duplicate, which is dropped, and for an event after a gap, which makes the stream
// resume after the last event in order.
func (s *Stream) accept(id int64, data []byte) (bool, error) {
	if id > 0 {
		s.hasIDs = true
		if id <= s.lastID {
			return false, nil
		}
		if id != s.lastID+1 {
			return false, s.recoverConnection(fmt.Errorf("event %d follows %d", id, s.lastID))
		}
	}
	var head struct {
		ID    string          `json:"id"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return false, s.failure(outcome.TargetInvalidResponse, "an event is not JSON")
	}
	if head.Error != nil {
		return false, s.failure(outcome.TargetRefused, "the engine reported an error in the stream")
	}
	if s.events > 0 && head.ID != s.completionID {
		return false, s.failure(outcome.TargetInvalidResponse, "the engine sent an event of another answer")
	}
	s.completionID = head.ID
	s.lastID = max(s.lastID, id)
	s.events++
	s.silentConnections = 0
	return true, nil
}

// recoverConnection resumes the stream after its connection was lost, or returns the error
// that ends the stream.
func (s *Stream) recoverConnection(cause error) error {
	s.conn.cancel()
	if s.ctx.Err() != nil {
		return s.failure(outcome.CallerDisconnected, "the request was stopped")
	}
	if errors.Is(cause, errEventTooLong) || errors.Is(cause, body.ErrNoMemory) {
		// A new connection would send the same event.
		return s.failure(outcome.TargetInvalidResponse, "the engine sent an invalid answer: %v", cause)
	}
	s.silentConnections++
	if s.silentConnections > maxSilentConnections {
		return s.failure(outcome.TargetSilent, "the engine sent nothing on %d connections", s.silentConnections)
	}
	if s.resumeUnsupported || (s.events > 0 && !s.hasIDs) {
		return s.failure(outcome.TargetLost, "the connection was lost and the engine cannot resume: %v", cause)
	}
	if err := s.resume(); err != nil {
		return s.failure(outcome.TargetLost, "the connection was lost and not resumed: %v", err)
	}
	return nil
}

// resume opens a new connection that continues after the last event. It retries with
// exponential backoff, unless the engine does not support resuming.
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
		if err = s.resumeOnce(); err == nil || errors.Is(err, errResumeUnsupported) {
			return err
		}
	}
	return err
}

// resumeOnce tries once to move the stream to a new connection.
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
		err = errNoAnswerInTime
	}
	if err != nil {
		cancel()
		var rejection *Rejection
		if errors.As(err, &rejection) {
			return fmt.Errorf("%w: %w", errResumeUnsupported, err)
		}
		return fmt.Errorf("resume stream: %w", err)
	}
	s.client.onResume()
	s.conn.cancel()
	s.conn = conn
	s.silentFor = 0
	return nil
}

// failure returns the error for a stream that cannot be completed.
func (s *Stream) failure(reason outcome.Reason, format string, args ...any) error {
	result := outcome.Unknown
	if s.events > 0 {
		result = outcome.Incomplete
	}
	return outcome.NotCompleted(result, reason, format, args...)
}

// Close closes the stream immediately. If the answer is incomplete, it sends a cancel request
// to the engine in the background. Client.Close waits for that request.
func (s *Stream) Close() error {
	s.conn.cancel()
	s.idleTimer.Stop()
	if !s.finished {
		s.client.background.Go(func() { s.client.cancelAtEngine(s.call) })
	}
	return nil
}
