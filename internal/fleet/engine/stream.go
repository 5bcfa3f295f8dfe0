package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwinglock/internal/state/outcome"
)

const (
	maxEventBytes = 4 << 20
	// maxResumeFailures is the number of failed resumptions in a row before a stream is given up.
	maxResumeFailures = 3
	// maxSilentResumes is the number of resumptions in a row that brought no event.
	maxSilentResumes = 15
	resumeBackoff    = 100 * time.Millisecond
)

// errNoResume says that the engine cannot resume the stream.
var errNoResume = errors.New("the engine cannot resume the stream")

// Stream is the answer of an engine as a sequence of events. When its connection goes
// silent or breaks, it resumes after the last event on a new connection.
type Stream struct {
	client *Client
	call   Call
	ctx    context.Context // Ends the stream, whatever connection it is on.

	body    io.Closer
	scanner *bufio.Scanner
	cancel  context.CancelFunc // Ends the current connection.

	lastID     int64 // Id of the last event; ids start at 1.
	hasIDs     bool
	answerID   string // Id of the answer, the same in each of its events.
	events     int
	silentRuns int
	finished   bool
}

// Event is one event of a stream: the JSON of a completion chunk.
type Event struct {
	Data []byte
}

func (s *Stream) attach(response *http.Response, cancel context.CancelFunc) {
	s.body = response.Body
	s.cancel = cancel
	s.scanner = bufio.NewScanner(response.Body)
	s.scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
}

// Next returns the next event, io.EOF after the last one of a whole answer, or an error
// that says what is known about the outcome.
func (s *Stream) Next() (Event, error) {
	for {
		id, data, err := s.read()
		if err != nil {
			if err := s.recover(err); err != nil {
				return Event{}, err
			}
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			s.finished = true
			return Event{}, io.EOF
		}
		fresh, err := s.accept(id, data)
		if err != nil {
			return Event{}, err
		}
		if fresh {
			return Event{Data: data}, nil
		}
	}
}

// read returns the next event of the current connection. It ends the connection after
// the idle timeout.
func (s *Stream) read() (int64, []byte, error) {
	silence := time.AfterFunc(s.call.IdleTimeout, s.cancel)
	defer silence.Stop()
	var id int64
	var data []byte
	for s.scanner.Scan() {
		line := s.scanner.Text()
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && data != nil:
			return id, data, nil
		case field == "id":
			id, _ = strconv.ParseInt(value, 10, 64)
		case field == "data" && data == nil:
			data = []byte(value)
		case field == "data":
			data = append(append(data, '\n'), value...)
		}
	}
	if err := s.scanner.Err(); err != nil {
		return 0, nil, fmt.Errorf("read event: %w", err)
	}
	return 0, nil, io.ErrUnexpectedEOF
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
	s.closeConnection()
	if s.ctx.Err() != nil {
		return s.lost(outcome.CallerGone, "the request was stopped")
	}
	s.silentRuns++
	if s.silentRuns > maxSilentResumes {
		return s.lost(outcome.TargetSilent, "the engine sent nothing on %d connections", s.silentRuns)
	}
	if s.events > 0 && !s.hasIDs {
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
	silence := time.AfterFunc(s.call.IdleTimeout, cancel)
	response, err := s.client.http.Do(request)
	silence.Stop()
	if err != nil {
		cancel()
		return fmt.Errorf("resume stream: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		cancel()
		response.Body.Close()
		return fmt.Errorf("%w: status %d", errNoResume, response.StatusCode)
	}
	s.client.onResume()
	s.attach(response, cancel)
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

func (s *Stream) closeConnection() {
	if s.cancel != nil {
		s.cancel()
		s.body.Close()
	}
}

// Close ends the stream. Unless the whole answer was read, the engine is told to stop.
func (s *Stream) Close() error {
	s.closeConnection()
	if s.finished {
		return nil
	}
	s.client.background.Add(1)
	defer s.client.background.Done()
	s.client.cancelAtEngine(s.call)
	return nil
}
