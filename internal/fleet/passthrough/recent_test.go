package passthrough

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecentConnectionIsReused guards against opening a connection for each call, and against using
// one that the target may have closed or forgotten.
func TestRecentConnectionIsReused(t *testing.T) {
	rows := []struct {
		name, header  string
		pause         time.Duration
		kept, isAgain bool
	}{
		{"at once", "", 0, true, true},
		{"within the limit", "", 150 * time.Millisecond, true, true},
		{"after the limit", "", 280 * time.Millisecond, true, false},
		{"Connection: close", "Connection: close\r\n", 0, false, false},
		{"Keep-Alive of five seconds", "Keep-Alive: timeout=5, max=100\r\n", 0, true, true},
		{"Keep-Alive of no time", "Keep-Alive: timeout=0\r\n", 0, false, false},
		{"Keep-Alive without further requests", "Keep-Alive: timeout=5, max=0\r\n", 0, false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCaller(t, newRawTarget(t, func(r received) bool {
				_, _ = io.WriteString(r.conn, responseTo(r.id, row.header))
				return true
			}))
			reused, kept := c.answered(c.call("POST", "order"))
			require.False(t, reused)
			require.Equal(t, row.kept, kept)
			time.Sleep(row.pause)
			reused, _ = c.answered(c.call("POST", "order"))
			require.Equal(t, row.isAgain, reused)
			if row.isAgain {
				require.EqualValues(t, 1, c.count("target_connections+state=new"))
				require.EqualValues(t, 1, c.count("target_connections+state=reused"))
			}
		})
	}
}

// TestCallOnAFailedReusedConnectionIsSentOnce guards against a second run of a request that may run
// only once: http.Transport sends requests without a body again if a reused connection ends, also
// a POST with an Idempotency-Key of the caller.
func TestCallOnAFailedReusedConnectionIsSentOnce(t *testing.T) {
	rows := []struct{ name, method, body, key string }{
		{"GET", "GET", "", ""},
		{"POST without a body", "POST", "", "key"},
		{"POST", "POST", "order", "key"},
	}
	for _, row := range rows {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", row.name, reset), func(t *testing.T) {
				target := newRawTarget(t, func(r received) bool {
					if r.request == 1 {
						return answerEach(r)
					}
					if reset {
						_ = r.conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				c := newCaller(t, target)
				_, kept := c.answered(c.call(row.method, row.body))
				require.True(t, kept)
				call := c.call(row.method, row.body)
				if row.key != "" {
					call.Header.Set("Idempotency-Key", row.key)
				}
				_, _, _, err := c.do(call)
				var failed *ReusedConnectionError
				require.ErrorAs(t, err, &failed)
				require.NotErrorIs(t, err, ErrNotSent)
				require.Equal(t, target.listener.Addr().String(), failed.Address)
				connections, requests := target.counts()
				require.Equal(t, 1, connections)
				require.Equal(t, 2, requests)

				for range 2 {
					reused, kept := c.answered(c.call(row.method, row.body))
					require.False(t, reused || kept, "only new connections after a failure")
				}
				c.endNewOnly(failed.Address)
				_, kept = c.answered(c.call(row.method, row.body))
				require.True(t, kept, "the failure was too long ago")
			})
		}
	}
}

// endNewOnly lets the time pass for which only new connections are opened.
func (c *caller) endNewOnly(address string) {
	r := c.client.recent
	r.mu.Lock()
	defer r.mu.Unlock()
	require.WithinDuration(c.t, time.Now().Add(newOnlyTime), r.newOnly[address], time.Second)
	r.newOnly[address] = time.Now()
}

// TestConnectionClosedWhileIdleCostsNoCall guards against unknown outcomes if a target closes or resets
// an idle connection.
func TestConnectionClosedWhileIdleCostsNoCall(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			target := newRawTarget(t, func(r received) bool {
				answerEach(r)
				if r.number == 1 {
					go func() {
						time.Sleep(20 * time.Millisecond)
						if reset {
							_ = r.conn.(*net.TCPConn).SetLinger(0)
						}
						_ = r.conn.Close()
					}()
				}
				return true
			})
			c := newCaller(t, target)
			_, kept := c.answered(c.call("POST", "order"))
			require.True(t, kept)
			time.Sleep(60 * time.Millisecond)
			reused, kept := c.answered(c.call("POST", "order"))
			require.False(t, reused)
			require.True(t, kept, "this is no failure of a reused connection")
			require.EqualValues(t, 1, c.count("idle_connections_dropped+cause=closed"))
		})
	}
}

// TestCallOfWhichNothingWasWrittenIsSentOnANewConnection guards against the loss of a call if the
// connection fails between its check and the first byte.
func TestCallOfWhichNothingWasWrittenIsSentOnANewConnection(t *testing.T) {
	target := newRawTarget(t, func(r received) bool {
		answerEach(r)
		if r.number == 1 {
			time.Sleep(200 * time.Millisecond) // The target does not see the end of the stream.
		}
		return true
	})
	c := newCaller(t, target)
	c.answered(c.call("POST", "order"))
	for _, all := range c.client.recent.idle {
		require.NoError(t, all[0].Conn.(*net.TCPConn).CloseWrite())
	}
	reused, _ := c.answered(c.call("POST", "order"))
	require.False(t, reused)
	_, requests := target.counts()
	require.Equal(t, 2, requests)
}

// TestConnectionIsIdleFromTheArrivalOfTheAnswer guards against the reuse of connections that targets
// have forgotten: a slow caller may delay the reading of an answer that arrived long before.
func TestConnectionIsIdleFromTheArrivalOfTheAnswer(t *testing.T) {
	for _, row := range []struct {
		delay time.Duration
		kept  bool
	}{{100 * time.Millisecond, true}, {300 * time.Millisecond, false}} {
		t.Run(row.delay.String(), func(t *testing.T) {
			c := newCaller(t, newRawTarget(t, answerEach))
			response, err := c.client.Do(context.Background(), c.call("POST", "order"))
			require.NoError(t, err)
			defer response.Body.Close()
			time.Sleep(row.delay)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, row.kept, Keep(response))
			time.Sleep(180 * time.Millisecond)
			reused, _ := c.answered(c.call("POST", "order"))
			require.False(t, reused)
		})
	}
}

// TestPartOfAnAnswerDoesNotKeepItsConnection guards against the rest of an answer, or of a call, being
// taken for the next one.
func TestPartOfAnAnswerDoesNotKeepItsConnection(t *testing.T) {
	rows := []struct{ name, response string }{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nId: call-1\r\nContent-Length: 100\r\n\r\nhalf"},
		{"without its last chunk", "HTTP/1.1 200 OK\r\nId: call-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\nId: call-1\r\n\r\nhalf"},
		{"followed by more", responseTo("call-1", "") + "HTTP/1.1 200"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCaller(t, newRawTarget(t, func(r received) bool {
				if r.number > 1 {
					return answerEach(r)
				}
				_, _ = io.WriteString(r.conn, row.response)
				return strings.HasSuffix(row.response, "200")
			}))
			_, _, kept, _ := c.do(c.call("POST", "order"))
			require.False(t, kept)
			reused, _ := c.answered(c.call("POST", "order"))
			require.False(t, reused)
		})
	}
}

// TestUnreadAnswerDoesNotKeepItsConnection guards against the rest of an answer that was not read being
// taken for the next one.
func TestUnreadAnswerDoesNotKeepItsConnection(t *testing.T) {
	c := newCaller(t, newRawTarget(t, func(r received) bool {
		_, _ = io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nId: "+r.id+"\r\nContent-Length: 8\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(r.conn, "answered")
		return true
	}))
	response, err := c.client.Do(context.Background(), c.call("POST", "order"))
	require.NoError(t, err)
	require.False(t, Keep(response))
	require.NoError(t, response.Body.Close())
	_, reused, _, err := c.do(c.call("POST", "order"))
	require.NoError(t, err)
	require.False(t, reused)
}

// TestTargetThatAnswersBeforeItHasReadTheCall guards against waiting for the end of the call, and
// against keeping a connection on which a part of it is due.
func TestTargetThatAnswersBeforeItHasReadTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, responseTo("call-1", ""))
		time.Sleep(time.Second) // Closing the connection at once would discard the answer.
		_ = conn.Close()
	}()
	c := newCaller(t, &rawTarget{listener: listener})
	_, kept := c.answered(c.call("POST", strings.Repeat("x", 8<<20)))
	require.False(t, kept)
}

// TestEndOfTheContextEndsTheCall guards against calls that outlive their callers, and against counting
// their end as a failure of the connection.
func TestEndOfTheContextEndsTheCall(t *testing.T) {
	c := newCaller(t, newRawTarget(t, func(r received) bool {
		if r.request == 1 {
			return answerEach(r)
		}
		time.Sleep(200 * time.Millisecond)
		return true
	}))
	c.answered(c.call("POST", "order"))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.client.Do(ctx, c.call("POST", "order"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, c.count("reused_connections_failed+"))
}

// TestIdleConnectionsAreBounded guards against descriptors and memory that grow with the load.
func TestIdleConnectionsAreBounded(t *testing.T) {
	var inside sync.WaitGroup
	inside.Add(2 * maxIdlePerTarget)
	target := newRawTarget(t, func(r received) bool {
		inside.Done()
		inside.Wait() // All calls run at the same time.
		return answerEach(r)
	})
	c := newCaller(t, target)
	calls := make([]Call, 2*maxIdlePerTarget)
	for i := range calls {
		calls[i] = c.call("POST", "order")
	}
	var done sync.WaitGroup
	for _, call := range calls {
		done.Go(func() { _, _, _, _ = c.do(call) })
	}
	done.Wait()
	r := c.client.recent
	r.mu.Lock()
	require.Equal(t, maxIdlePerTarget, r.count)
	r.mu.Unlock()
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.count == 0 && len(r.idle) == 0
	}, time.Second, 10*time.Millisecond)
	for i := range 2 * maxNewOnly {
		r.recordFailure(fmt.Sprint("10.0.0.1:", i))
	}
	require.Len(t, r.newOnly, maxNewOnly)
}
