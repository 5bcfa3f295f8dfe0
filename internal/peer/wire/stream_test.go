package wire

import (
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
