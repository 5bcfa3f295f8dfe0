package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
)

// caller retries the same request until it gives up.
type caller struct {
	*bench
	fingerprint wire.Fingerprint
	givesUpAt   time.Time
	// modify changes the registration that the front sends.
	modify func(*wire.Register)
}

func (c *caller) send() *request {
	id, _ := c.bench.send("third", func(r *wire.Register) {
		r.Fingerprint = c.fingerprint
		r.CallerWaitMS = c.givesUpAt.Sub(c.now).Milliseconds()
		r.DeadlineMS = r.CallerWaitMS
		r.AnswerWithinMS, r.DispatchWithinMS, r.MaxWaitMS, r.MayRetry = 400, 280, 1000, true
		if c.modify != nil {
			c.modify(r)
		}
	})
	return c.shard.requests[id]
}

// fullBench creates a bench with one slot, which is in use.
func fullBench(t *testing.T) *bench {
	b := newDiscoveredBench(t, 1, 1)
	b.send("first", nil)
	return b
}

func TestRetryOfARefusedRequestIsDetected(t *testing.T) {
	rows := []struct {
		name     string
		pause    time.Duration
		change   func(*caller)
		want     int64 // Of the objective, in milliseconds.
		detected bool
	}{
		{"immediate retry", 0, nil, 140, true},
		{"later", 3 * time.Second, nil, 140, true},
		{"with a longer network delay", 3 * time.Second, func(c *caller) { c.givesUpAt = c.givesUpAt.Add(200 * time.Millisecond) }, 140, true},
		{"a different request", 3 * time.Second, func(c *caller) { c.fingerprint++ }, 280, false},
		{"the same request of another caller", 3 * time.Second, func(c *caller) { c.givesUpAt = c.givesUpAt.Add(time.Second) }, 280, false},
		{"a front without fingerprints", 3 * time.Second, func(c *caller) { c.fingerprint = 0 }, 280, false},
		{"a caller without a time limit", 3 * time.Second, func(c *caller) { c.modify = func(r *wire.Register) { r.CallerWaitMS = 0 } }, 280, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := fullBench(t)
			c := &caller{bench: b, fingerprint: 7, givesUpAt: b.now.Add(15 * time.Second)}
			first := c.send()
			require.EqualValues(t, 280, first.DispatchWithinMS)
			require.True(t, first.MayRetry)
			require.Len(t, refusals(b.advance(time.Second)), 1)
			b.advance(row.pause)
			if row.change != nil {
				row.change(c)
			}
			again := c.send()
			require.Equal(t, row.want, again.DispatchWithinMS)
			require.Equal(t, !row.detected, again.MayRetry)
		})
	}
}

func TestRetryKeepsPartOfItsObjective(t *testing.T) {
	require.EqualValues(t, 180, timeLeftAfter(280, 100*time.Millisecond))
	require.EqualValues(t, 140, timeLeftAfter(280, 2*time.Second))
	require.EqualValues(t, 1, timeLeftAfter(1, 2*time.Second))
	require.EqualValues(t, -5, timeLeftAfter(-5, 2*time.Second))
	require.Zero(t, timeLeftAfter(0, 2*time.Second))
}

// TestSecondRetryCountsFromTheFirstAttempt refuses a caller whose retry has already been
// detected. The next retry must be matched as well, and its wait must include all attempts.
func TestSecondRetryCountsFromTheFirstAttempt(t *testing.T) {
	b := fullBench(t)
	c := &caller{bench: b, fingerprint: 7, givesUpAt: b.now.Add(15 * time.Second)}
	arrivedAt := b.now
	for range 3 {
		require.Equal(t, arrivedAt, c.send().callerArrivedAt)
		require.Len(t, refusals(b.advance(time.Second)), 1)
	}
}

// TestRefusedRequestsWithOneFingerprintAreLimited adds the same request far more often than it
// may be stored. Without the limit, each lookup would search all of them.
func TestRefusedRequestsWithOneFingerprintAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &refusedRequests{}
	for i := range 10_000 {
		r.add(now, 1, refusedRequest{now, now.Add(time.Duration(i) * time.Second)})
	}
	require.Len(t, r.current[1], maxSameFingerprint)
	_, found := r.remove(now, 1, now.Add(9_999*time.Second))
	require.True(t, found, "the newest requests are kept")
}

// TestRefusedRequestsExpire checks the limits on the age and on the number of stored requests.
func TestRefusedRequestsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	until := now.Add(time.Hour)
	r := &refusedRequests{}
	r.add(now, 1, refusedRequest{now, until})
	_, found := r.remove(now.Add(2*refusalRetention), 1, until)
	require.False(t, found)

	for i := range 10 * maxRefusedRequests {
		r.add(now, wire.Fingerprint(i), refusedRequest{now, until})
	}
	require.LessOrEqual(t, len(r.current)+len(r.previous), 2*maxRefusedRequests)
	_, found = r.remove(now, 10*maxRefusedRequests-1, until)
	require.True(t, found, "the newest requests are kept")
}
