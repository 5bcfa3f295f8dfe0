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

// slowReader ends at the moment at which the silence is noticed.
type slowReader struct{ wait time.Duration }

// Read implements io.Reader.
func (r slowReader) Read([]byte) (int, error) {
	time.Sleep(r.wait)
	return 0, io.EOF
}

// TestSilenceIsNotReportedAfterTheEnd lets the end of a stream and its timeout race. The
// handler of a stream must not be touched once it has returned.
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

// TestMessagesTakeThePlaceOfHeartbeats writes messages more often than the interval, then
// none: the receiver hears something in each interval, and no more than it must.
func TestMessagesTakeThePlaceOfHeartbeats(t *testing.T) {
	rows := []struct {
		name string
		gap  time.Duration
		want int // Lines in a second.
	}{
		{"messages only", 50 * time.Millisecond, 20},
		{"heartbeats only", 0, 10},
		{"messages more seldom than heartbeats", 250 * time.Millisecond, 12},
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
				began := time.Now()
				for row.gap > 0 && time.Since(began) < time.Second {
					box.Send(Up{Left: true})
					time.Sleep(row.gap)
				}
				time.Sleep(time.Until(began.Add(time.Second + time.Millisecond)))
				box.Close()
				<-done
				require.InDelta(t, row.want, bytes.Count(written.Bytes(), []byte("\n")), 1)
			})
		})
	}
}
