package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
)

// caller sends the same request again and again, as long as it waits.
type caller struct {
	*bench
	fingerprint wire.Fingerprint
	until       time.Time
	// change alters what its front tells.
	change func(*wire.Register)
}

func (c *caller) ask() *request {
	id, _ := c.bench.ask("third", func(r *wire.Register) {
		r.Fingerprint = c.fingerprint
		r.CallerLeftMS = c.until.Sub(c.now).Milliseconds()
		r.DeadlineMS = r.CallerLeftMS
		r.BeginMS, r.ObjectiveMS, r.MaxWaitMS, r.MayReturn = 400, 280, 1000, true
		if c.change != nil {
			c.change(r)
		}
	})
	return c.shard.requests[id]
}

// fullBench has one slot, which is taken.
func fullBench(t *testing.T) *bench {
	b := newDiscoveredBench(t, 1, 1)
	b.ask("first", nil)
	return b
}

func TestCallerThatComesBackIsKnown(t *testing.T) {
	rows := []struct {
		name   string
		away   time.Duration
		change func(*caller)
		want   int64 // Of the objective, in milliseconds.
		known  bool
	}{
		{"at once", 0, nil, 140, true},
		{"later", 3 * time.Second, nil, 140, true},
		{"under way for longer", 3 * time.Second, func(c *caller) { c.until = c.until.Add(200 * time.Millisecond) }, 140, true},
		{"another request", 3 * time.Second, func(c *caller) { c.fingerprint++ }, 280, false},
		{"the same request of another caller", 3 * time.Second, func(c *caller) { c.until = c.until.Add(time.Second) }, 280, false},
		{"a front that does not tell", 3 * time.Second, func(c *caller) { c.fingerprint = 0 }, 280, false},
		{"a caller that does not tell", 3 * time.Second, func(c *caller) { c.change = func(r *wire.Register) { r.CallerLeftMS = 0 } }, 280, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := fullBench(t)
			c := &caller{bench: b, fingerprint: 7, until: b.now.Add(15 * time.Second)}
			first := c.ask()
			require.EqualValues(t, 280, first.ObjectiveMS)
			require.True(t, first.MayReturn)
			require.Len(t, refusals(b.advance(time.Second)), 1)
			b.advance(row.away)
			if row.change != nil {
				row.change(c)
			}
			again := c.ask()
			require.Equal(t, row.want, again.ObjectiveMS)
			require.Equal(t, !row.known, again.MayReturn)
		})
	}
}

func TestCallerThatComesBackSoonKeepsMostOfItsObjective(t *testing.T) {
	require.EqualValues(t, 180, timeLeftAfter(280, 100*time.Millisecond))
	require.EqualValues(t, 140, timeLeftAfter(280, 2*time.Second))
	require.EqualValues(t, 1, timeLeftAfter(1, 2*time.Second))
	require.EqualValues(t, -5, timeLeftAfter(-5, 2*time.Second))
	require.Zero(t, timeLeftAfter(0, 2*time.Second))
}

// TestCallerThatComesBackTwiceHasWaitedSinceItFirstCame refuses a caller that is known already.
func TestCallerThatComesBackTwiceHasWaitedSinceItFirstCame(t *testing.T) {
	b := fullBench(t)
	c := &caller{bench: b, fingerprint: 7, until: b.now.Add(15 * time.Second)}
	came := b.now
	for range 3 {
		require.Equal(t, came, c.ask().callerArrivedAt)
		require.Len(t, refusals(b.advance(time.Second)), 1)
	}
}

// TestFloodOfOneRequestIsRememberedInPart sends the same request far more often than it is served.
func TestFloodOfOneRequestIsRememberedInPart(t *testing.T) {
	now := time.Unix(1000, 0)
	v := &refusedRequests{}
	for i := range 10_000 {
		v.add(now, 1, refusedRequest{now, now.Add(time.Duration(i) * time.Second)})
	}
	require.Len(t, v.current[1], maxSameFingerprint)
	_, found := v.remove(now, 1, now.Add(9_999*time.Second))
	require.True(t, found, "the latest are kept")
}

// TestRefusedRequestsAreForgotten bounds what is remembered by time and by number.
func TestRefusedRequestsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	until := now.Add(time.Hour)
	v := &refusedRequests{}
	v.add(now, 1, refusedRequest{now, until})
	_, found := v.remove(now.Add(2*refusalRetention), 1, until)
	require.False(t, found)

	for i := range 10 * maxRefusedRequests {
		v.add(now, wire.Fingerprint(i), refusedRequest{now, until})
	}
	require.LessOrEqual(t, len(v.current)+len(v.previous), 2*maxRefusedRequests)
	_, found = v.remove(now, 10*maxRefusedRequests-1, until)
	require.True(t, found, "the latest are kept")
}
