package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

// TestOverloadedPoolRefusesLateRequestsEarly sends more than the capacity of a pool for ten seconds.
// Requests without a slot must be refused with a retry delay soon after they pass their latency
// objective, instead of waiting until their wait limit, and the slots must stay in use.
func TestOverloadedPoolRefusesLateRequestsEarly(t *testing.T) {
	rows := []struct {
		name string
		// perInterval is the number of requests in each 20 ms.
		perInterval int
	}{
		{"three times the capacity", 5},
		{"a quarter above the capacity", 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { playOverload(t, row.perInterval) })
	}
}

func playOverload(t *testing.T, perInterval int) {
	const slotHoldTime, objective, maxWait = 500 * time.Millisecond, 210 * time.Millisecond, 1700 * time.Millisecond
	b := newDiscoveredBench(t, 10, 4) // 80 requests per second.
	ends := map[time.Duration][]wire.RequestID{}
	startedAt := b.now
	served, refused, waitedLong := 0, 0, 0
	record := func(decisions []Decision) {
		for _, d := range decisions {
			switch d := d.(type) {
			case Grant:
				served++
				end := b.now.Sub(startedAt) + slotHoldTime
				ends[end] = append(ends[end], d.ID)
			case Refuse:
				refused++
				if d.Waited > maxWait/2 {
					waitedLong++
				}
				require.Contains(t, []outcome.Reason{outcome.QueueFull, outcome.QueueTimeout}, d.Reason)
				require.Positive(t, d.RetryAfter)
			}
		}
	}
	for at := time.Duration(0); at < 10*time.Second; at += tick {
		for _, id := range ends[at] {
			record(b.finish(id))
		}
		if at%(20*time.Millisecond) == 0 {
			for range perInterval {
				_, decisions := b.send("third", func(r *wire.Register) {
					r.DispatchWithinMS, r.MaxWaitMS, r.DeadlineMS = objective.Milliseconds(), maxWait.Milliseconds(), 15_000
				})
				record(decisions)
			}
		}
		record(b.advance(tick))
	}
	require.GreaterOrEqual(t, served, 780, "no slot is left idle")
	require.Positive(t, refused)
	require.LessOrEqual(t, float64(waitedLong), 0.1*float64(refused), "refused requests that waited more than half of their wait limit")
}

func TestEventRateApproachesTheActualRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var rate eventRate
	require.Zero(t, rate.value(now))
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		rate.record(now)
	}
	require.InDelta(t, 50, rate.value(now), 1)
	require.Less(t, rate.value(now.Add(5*time.Second)), 1.0)
}
