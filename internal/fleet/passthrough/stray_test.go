package passthrough

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnrequestedResponseIsNotTheNextAnswer guards against passing on a second response to an earlier
// call as the answer of the next one, and against losing the next one for it.
func TestUnrequestedResponseIsNotTheNextAnswer(t *testing.T) {
	t.Run("it arrives while the connection is idle", func(t *testing.T) {
		target := newRawTarget(t, func(r received) bool {
			answerEach(r)
			go func() {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(r.conn, responseTo(r.id, ""))
			}()
			return true
		})
		c := newCaller(t, target)
		c.answered(c.call("POST", "order"))
		time.Sleep(60 * time.Millisecond)
		reused, _ := c.answered(c.call("POST", "order"))
		require.False(t, reused)
		require.EqualValues(t, 1, c.count("idle_connections_dropped+cause=unsolicited"))
	})
	t.Run("it arrives after the next call was sent", func(t *testing.T) {
		target := newRawTarget(t, func(r received) bool {
			if r.request == 2 {
				_, _ = io.WriteString(r.conn, responseTo("call-1", ""))
			}
			return answerEach(r)
		})
		c := newCaller(t, target)
		c.answered(c.call("POST", "order"))
		reused, kept := c.answered(c.call("POST", "order"))
		require.True(t, reused)
		require.False(t, kept, "more may follow")
		require.EqualValues(t, 1, c.count("stray_answers_skipped+"))
		connections, requests := target.counts()
		require.Equal(t, 1, connections)
		require.Equal(t, 2, requests)
	})
	t.Run("it has the id of the next call, too", func(t *testing.T) {
		target := newRawTarget(t, func(r received) bool {
			if r.request == 2 {
				_, _ = io.WriteString(r.conn, responseTo("stray", ""))
			}
			return answerEach(r)
		})
		c := newCaller(t, target)
		call := c.call("POST", "order")
		c.answered(call)
		reused, _ := c.answered(call)
		require.False(t, reused, "a connection carries an id only once")
	})
	t.Run("nothing else arrives", func(t *testing.T) {
		target := newRawTarget(t, func(r received) bool {
			if r.request == 1 {
				return answerEach(r)
			}
			_, _ = io.WriteString(r.conn, responseTo("call-1", ""))
			return false
		})
		c := newCaller(t, target)
		c.answered(c.call("GET", ""))
		_, _, _, err := c.do(c.call("GET", ""))
		var failed *ReusedConnectionError
		require.ErrorAs(t, err, &failed)
		_, requests := target.counts()
		require.Equal(t, 2, requests)
	})
}
