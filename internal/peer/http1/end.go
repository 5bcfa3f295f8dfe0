package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrUncertainEnd is returned at the end of a body without a frame if something on its connection has failed: the body
// may be a part only.
var ErrUncertainEnd = errors.New("the answer may have been cut")

const (
	// ReuseWait bounds the wait for the end of the writing of a call before its connection is used again.
	ReuseWait = 50 * time.Millisecond
	// endWait bounds the wait for it at the end of a body without a frame. On a busy host, the writing of a call may be
	// noticed later than its answer.
	endWait = 500 * time.Millisecond
)

// IsFramed reports whether a length, chunks or the protocol mark the end of the body of an answer. Otherwise it ends
// with its connection.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Uncompressed || response.ProtoMajor > 1
}

// CallWrite is the writing of one call to a connection. A reset of the connection is reported once, to whichever asks
// first. If the writing gets the report, the reading sees an ordinary end.
type CallWrite struct {
	done chan struct{}
	once sync.Once
	err  error
}

// NewCallWrite creates the state of a call that is about to be written.
func NewCallWrite() *CallWrite { return &CallWrite{done: make(chan struct{})} }

// End records the end of the writing and its error. Further calls do nothing.
func (w *CallWrite) End(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// hasEnded reports whether the whole call has been written.
func (w *CallWrite) hasEnded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Wait waits until the writing has ended, which it does once the connection is closed, and returns its error.
func (w *CallWrite) Wait() error {
	<-w.done
	return w.err
}

// Await waits until the whole call has been written, for a limited time, and returns an error if it has not been.
func (w *CallWrite) Await(limit time.Duration) error {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timeout.C:
		return errors.New("the call is still being written")
	}
}

// CheckEnd returns the error of the end of a body. The end of a body without a frame counts only if the whole call has
// been written and nothing has failed.
func (w *CallWrite) CheckEnd(isFramed bool, end error) error {
	if isFramed || !errors.Is(end, io.EOF) {
		return end
	}
	if err := w.Await(endWait); err != nil {
		return fmt.Errorf("%w: %w", ErrUncertainEnd, err)
	}
	return end
}
