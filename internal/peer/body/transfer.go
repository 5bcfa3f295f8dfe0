// Package body reads the bodies of responses within limits of size and time. The time limit follows the progress
// of a transfer: a large body on a narrow link arrives, a silent or endless one does not.
package body

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// minRate is the number of bytes a second that a transfer must reach on average.
const minRate = 128 << 10

// Errors of transfers that reach a limit.
var (
	ErrTooLarge = errors.New("body is too large")
	ErrStalled  = errors.New("transfer makes too little progress")
)

// Transfer is one request with its response.
type Transfer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// stall is the longest time without a byte once the body has begun.
	stall time.Duration
	// endsAt is when the transfer ends that has received size bytes.
	endsAt time.Time
	size   int64
}

// NewTransfer returns a transfer and the context for its request. The response must begin within the time for its
// first byte. After that, the transfer ends if no byte comes for the stall time, or if the bytes come slower than
// minRate. Close it after the response has been read.
func NewTransfer(ctx context.Context, firstByte, stall time.Duration) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{ctx: ctx, cancel: cancel, stall: stall, endsAt: time.Now().Add(firstByte + stall)}
	t.timer = time.AfterFunc(firstByte, func() { cancel(ErrStalled) })
	return ctx, t
}

// Close releases the resources of the transfer and cancels its request if that still runs.
func (t *Transfer) Close() {
	t.timer.Stop()
	t.cancel(nil)
}

// Size returns the number of bytes of the body that have been read.
func (t *Transfer) Size() int64 { return t.size }

// Reader returns a reader of the body, which fails after more than maxBytes.
func (t *Transfer) Reader(body io.Reader, maxBytes int64) io.Reader {
	return &reader{transfer: t, body: body, maxBytes: maxBytes}
}

// Err returns the reason for an error of the request or its response: that of the transfer if it has reached a limit.
func (t *Transfer) Err(err error) error {
	if cause := context.Cause(t.ctx); errors.Is(cause, ErrStalled) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// advance extends the time limit after n bytes.
func (t *Transfer) advance(n int) {
	t.size += int64(n)
	t.endsAt = t.endsAt.Add(time.Duration(n) * time.Second / minRate)
	t.timer.Reset(min(t.stall, time.Until(t.endsAt)))
}

type reader struct {
	transfer *Transfer
	body     io.Reader
	maxBytes int64
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if n > 0 {
		r.transfer.advance(n)
	}
	switch {
	case r.transfer.size > r.maxBytes:
		return 0, fmt.Errorf("%w: over %d bytes", ErrTooLarge, r.maxBytes)
	case err == nil || errors.Is(err, io.EOF):
		return n, err
	}
	return n, r.transfer.Err(err)
}
