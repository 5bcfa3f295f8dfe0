package wire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Paths and headers of the protocol between entry hosts.
const (
	LinkPath      = "/peer/v1/link"
	HeartbeatPath = "/peer/v1/heartbeat"
	ConfigPath    = "/peer/v1/config"
	ItemsPath     = "/peer/v1/items"
	ValuePath     = "/peer/v1/value"

	// KeyHeader carries the key shared by all entry hosts.
	KeyHeader = "X-Redwinglock-Peer-Key"
	// HostHeader carries the HostID of the sender.
	HostHeader = "X-Redwinglock-Host"
	// NoticesHeader carries the digests of the notices that the sender has when a link opens.
	NoticesHeader = "X-Redwinglock-Notices"

	// MaxMessageBytes is the maximum size of a received message. A longer one ends ReadLoop.
	MaxMessageBytes = 1 << 20
)

// WriteLoop writes the messages of an outbox as JSON lines until the outbox or done is
// closed. Queued messages are flushed together. If no message is sent for the interval, it
// writes an empty message as a heartbeat. Every message counts as a heartbeat. It returns nil when the
// outbox or done is closed, or the error of a failed write.
func WriteLoop[T any](w io.Writer, flush func(), box *Outbox[T], interval time.Duration, done <-chan struct{}) error {
	buffer := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffer)
	heartbeat := time.NewTimer(interval)
	defer heartbeat.Stop()
	for {
		batch, open := box.Drain()
		if !open {
			return nil
		}
		for i := range batch {
			if err := encoder.Encode(&batch[i]); err != nil {
				return fmt.Errorf("write message: %w", err)
			}
		}
		if err := buffer.Flush(); err != nil {
			return fmt.Errorf("flush messages: %w", err)
		}
		flush()
		if len(batch) > 0 {
			heartbeat.Reset(interval)
		}
		select {
		case <-done:
			return nil
		case <-box.Wake():
		case <-heartbeat.C:
			var empty T
			box.Send(empty)
		}
	}
}

// maxTimerLateness is the lateness of a timer from which this host itself was stalled. Messages may then wait
// to be read.
const maxTimerLateness = 100 * time.Millisecond

// silence decides when a stream is silent for too long.
type silence struct {
	timeout time.Duration
	heardAt time.Time
	// extended is set once the timeout was extended since the last message.
	extended bool
}

func (s *silence) heard(now time.Time) { s.heardAt, s.extended = now, false }

// expired is called when the timer of the timeout fires. It returns 0 if the sender is silent, or the time
// to wait again if this host was stalled and may not have read what was sent.
func (s *silence) expired(now time.Time) time.Duration {
	if s.extended || now.Sub(s.heardAt)-s.timeout < maxTimerLateness {
		return 0
	}
	s.extended = true
	return s.timeout / 2
}

// ReadLoop passes each JSON line to handle until the stream ends. It calls onSilence if nothing
// arrives for the timeout; onSilence must end the stream. A host that was stalled itself reads what has
// arrived meanwhile first. onSilence is never called after ReadLoop has returned. The error is io.EOF if the
// sender closed the stream after a complete message.
func ReadLoop[T any](r io.Reader, timeout time.Duration, onSilence func(), handle func(T)) error {
	var mu sync.Mutex
	ended := false
	detector := silence{timeout: timeout, heardAt: time.Now()}
	var timer *time.Timer
	mu.Lock()
	timer = time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if again := detector.expired(time.Now()); again > 0 {
			timer.Reset(again)
			return
		}
		onSilence()
	})
	mu.Unlock()
	defer func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		ended = true
	}()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxMessageBytes)
	for scanner.Scan() {
		mu.Lock()
		detector.heard(time.Now())
		timer.Reset(timeout)
		mu.Unlock()
		var message T
		if err := json.Unmarshal(scanner.Bytes(), &message); err != nil {
			return fmt.Errorf("read message: %w", err)
		}
		handle(message)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read messages: %w", err)
	}
	return io.EOF
}
