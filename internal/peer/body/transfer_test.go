package body

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pacedBody sends pieces of a size with a pause before each, until ctx is done.
type pacedBody struct {
	ctx    context.Context
	size   int
	pause  time.Duration
	pieces int // Below 0: without end.
}

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.pieces == 0 {
		return 0, io.EOF
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(b.pause):
	}
	b.pieces--
	return copy(buffer, bytes.Repeat([]byte("x"), min(b.size, len(buffer)))), nil
}

func TestTransferIsBoundedByItsProgress(t *testing.T) {
	const stall, maxBytes = time.Second, 1 << 20
	tests := []struct {
		name   string
		size   int
		pause  time.Duration
		pieces int
		want   error
		within time.Duration
	}{
		{"large body on a narrow link", 12 << 10, 10 * time.Millisecond, 80, nil, time.Second},
		{"large body that takes many times the stall time", 64 << 10, 400 * time.Millisecond, 16, nil, 7 * time.Second},
		{"silent from the start", 1, time.Hour, 1, ErrStalled, stall},
		{"a byte now and then", 1, 900 * time.Millisecond, -1, ErrStalled, 3 * time.Second},
		{"slower than the least rate", 1000, 100 * time.Millisecond, -1, ErrStalled, 3 * time.Second},
		{"without end", 32 << 10, time.Millisecond, -1, ErrTooLarge, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, transfer := NewTransfer(context.Background(), stall, stall)
				defer transfer.Close()
				start := time.Now()
				content, err := io.ReadAll(bufio.NewReaderSize(transfer.Reader(&pacedBody{ctx, test.size, test.pause, test.pieces}, maxBytes), 64<<10))
				require.ErrorIs(t, err, test.want)
				require.LessOrEqual(t, time.Since(start), test.within)
				require.LessOrEqual(t, len(content), maxBytes)
			})
		})
	}
}
