package common

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLogWithoutReaderDoesNotBlock writes log lines for 30 seconds to a pipe without a reader.
func TestLogWithoutReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		o := newOutput(writer, nil)
		begin := time.Now()
		for range 30 {
			for range 100 {
				_, err := o.Write([]byte("line\n"))
				require.NoError(t, err)
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, 30*time.Second, time.Since(begin), "Write does not wait for the reader")
		require.Positive(t, o.dropped.Load())
		require.NoError(t, o.Close())
		require.NoError(t, reader.Close())
		synctest.Wait()
	})
}

func TestExcessLinesAreDroppedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		var dropped int64
		o := newOutput(&written, func(n int64) { dropped += n })
		for i := range 10 * maxLinesPerSecond {
			_, _ = fmt.Fprintf(o, "line %d\n", i)
		}
		time.Sleep(time.Second)
		_, _ = o.Write([]byte("later\n"))
		require.NoError(t, o.Close())
		require.LessOrEqual(t, strings.Count(written.String(), "\n"), maxLinesPerSecond+3)
		require.Equal(t, int64(9*maxLinesPerSecond), dropped)
		require.Contains(t, written.String(), "Lines dropped.")
		require.True(t, strings.HasSuffix(written.String(), "later\n"))
	})
}
