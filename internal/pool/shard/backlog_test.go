package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

// TestCallersAreNotHeldWhenTheyCannotBeServed replays three times what a pool can serve for
// ten seconds. A request that gets no target is refused soon after it is late, with when to
// come back, and the slots stay in use.
func TestCallersAreNotHeldWhenTheyCannotBeServed(t *testing.T) {
	const holding, objective, maxWait = 500 * time.Millisecond, 210 * time.Millisecond, 1700 * time.Millisecond
	b := newDiscoveredBench(t, 10, 4) // 80 a second.
	ends := map[time.Duration][]wire.RequestID{}
	began := b.now
	served, refused, held := 0, 0, 0
	note := func(decisions []Decision) {
		for _, d := range decisions {
			switch d := d.(type) {
			case Grant:
				served++
				end := b.now.Sub(began) + holding
				ends[end] = append(ends[end], d.ID)
			case Refuse:
				refused++
				if d.Waited > maxWait/2 {
					held++
				}
				require.Contains(t, []outcome.Reason{outcome.QueueFull, outcome.QueueTimeout}, d.Reason)
				require.Positive(t, d.RetryAfter)
			}
		}
	}
	for at := time.Duration(0); at < 10*time.Second; at += tick {
		for _, id := range ends[at] {
			note(b.finish(id))
		}
		if at%(20*time.Millisecond) == 0 {
			for range 5 { // 250 a second.
				_, decisions := b.ask("third", func(r *wire.Register) {
					r.ObjectiveMS, r.MaxWaitMS, r.DeadlineMS = objective.Milliseconds(), maxWait.Milliseconds(), 15_000
				})
				note(decisions)
			}
		}
		note(b.advance(tick))
	}
	require.GreaterOrEqual(t, served, 780, "no slot is left idle")
	require.Positive(t, refused)
	require.LessOrEqual(t, float64(held), 0.1*float64(refused), "held for more than half of their patience")
}

func TestFrequencyFollowsARate(t *testing.T) {
	now := time.Unix(1000, 0)
	var f eventRate
	require.Zero(t, f.value(now))
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		f.record(now)
	}
	require.InDelta(t, 50, f.value(now), 1)
	require.Less(t, f.value(now.Add(5*time.Second)), 1.0)
}
