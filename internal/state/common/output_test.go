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

// TestLogThatNobodyReadsBlocksNobody writes for 30 seconds to a pipe without a reader.
func TestLogThatNobodyReadsBlocksNobody(t *testing.T) {
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
		require.Equal(t, 30*time.Second, time.Since(begin), "the writers took no time")
		require.Positive(t, o.dropped.Load())
		require.NoError(t, o.Close())
		require.NoError(t, reader.Close())
		synctest.Wait()
	})
}

func TestFloodOfLinesIsBoundedAndTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		var told int64
		o := newOutput(&written, func(n int64) { told += n })
		for i := range 10 * outputPerSecond {
			_, _ = fmt.Fprintf(o, "line %d\n", i)
		}
		time.Sleep(time.Second)
		_, _ = o.Write([]byte("later\n"))
		require.NoError(t, o.Close())
		require.LessOrEqual(t, strings.Count(written.String(), "\n"), outputPerSecond+3)
		require.Equal(t, int64(9*outputPerSecond), told)
		require.Contains(t, written.String(), "Lines dropped.")
		require.True(t, strings.HasSuffix(written.String(), "later\n"))
	})
}
