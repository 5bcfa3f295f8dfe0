package wire

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowReader returns io.EOF after a wait.
type slowReader struct{ wait time.Duration }

// Read implements io.Reader.
func (r slowReader) Read([]byte) (int, error) {
	time.Sleep(r.wait)
	return 0, io.EOF
}

// TestSilenceIsNotReportedAfterTheEnd ends a stream at the same time as its timeout. onSilence uses
// the connection of the stream, so it must not run after ReadLoop has returned.
func TestSilenceIsNotReportedAfterTheEnd(t *testing.T) {
	for range 500 {
		synctest.Test(t, func(t *testing.T) {
			var returned, late atomic.Bool
			onSilence := func() {
				if returned.Load() {
					late.Store(true)
				}
			}
			err := ReadLoop(slowReader{time.Second}, time.Second, onSilence, func(Up) {})
			returned.Store(true)
			require.ErrorIs(t, err, io.EOF)
			synctest.Wait()
			require.False(t, late.Load())
		})
	}
}

// TestMessagesTakeThePlaceOfHeartbeats writes messages at several rates. The receiver must get at
// least one line per interval, and no heartbeat while messages arrive often enough.
func TestMessagesTakeThePlaceOfHeartbeats(t *testing.T) {
	rows := []struct {
		name string
		gap  time.Duration
		want int // Lines per second.
	}{
		{"messages only", 50 * time.Millisecond, 20},
		{"heartbeats only", 0, 10},
		{"messages less often than heartbeats", 250 * time.Millisecond, 12},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var written bytes.Buffer
				box := NewOutbox[Up]()
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = WriteLoop(&written, func() {}, box, 100*time.Millisecond, t.Context().Done())
				}()
				start := time.Now()
				for row.gap > 0 && time.Since(start) < time.Second {
					box.Send(Up{Left: true})
					time.Sleep(row.gap)
				}
				time.Sleep(time.Until(start.Add(time.Second + time.Millisecond)))
				box.Close()
				<-done
				require.InDelta(t, row.want, bytes.Count(written.Bytes(), []byte("\n")), 1)
			})
		})
	}
}
