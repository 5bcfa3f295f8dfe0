package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

func TestTargetThatRefusedIsAvoidedAndPaused(t *testing.T) {
	b := newDiscoveredBench(t, 2, 5)
	id, decisions := b.send("first", nil)
	refuser := decisions[0].(Grant).Target
	b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Rejected: true})
	for range 4 {
		_, decisions = b.send("first", func(r *wire.Register) { r.Avoid = []object.TargetName{refuser} })
		require.NotEqual(t, refuser, decisions[0].(Grant).Target)
	}
	b.advance(rejectPause)
	_, decisions = b.send("first", nil)
	require.Equal(t, refuser, decisions[0].(Grant).Target, "the target is the least loaded one again")
}

func TestRequestIsRefusedIfOnlyAvoidedTargetsAreFree(t *testing.T) {
	b := newDiscoveredBench(t, 1, 5)
	_, decisions := b.send("first", func(r *wire.Register) { r.Avoid = []object.TargetName{"engine-1"} })
	require.Len(t, refusals(decisions), 1)
	require.Equal(t, outcome.NoTarget, refusals(decisions)[0].Reason)
}

// TestCrashedTargetIsRetriedSoon simulates a target that is unreachable for five seconds. If its
// backoff kept growing, it would stay unused for seconds after it is reachable again.
func TestCrashedTargetIsRetriedSoon(t *testing.T) {
	b := newDiscoveredBench(t, 2, 1)
	crashed := object.TargetName("")
	busy, decisions := b.send("first", nil)
	crashed = decisions[0].(Grant).Target
	for range 50 {
		b.shard.Finish(b.now, wire.Finish{ID: busy, Pool: testPool, Unreachable: true})
		b.advance(100 * time.Millisecond)
		busy, _ = b.send("first", nil)
	}
	b.shard.Finish(b.now, wire.Finish{ID: busy, Pool: testPool, Dispatched: true, Completed: true})
	b.advance(discoveredMaxBackoff)
	require.NotEmpty(t, crashed)
	require.Empty(t, b.shard.backingOff)
}

// TestTargetThatAnswersWithErrorsGetsNoWork simulates a target that reports itself as healthy
// and answers every request with an error, ten times as fast as the others answer. Without error
// detection, it is the least loaded target and attracts most requests.
func TestTargetThatAnswersWithErrorsGetsNoWork(t *testing.T) {
	b := newDiscoveredBench(t, 10, 4)
	type runningRequest struct {
		id     wire.RequestID
		endsAt time.Time
		broken bool
	}
	var running []runningRequest
	failed, total := 0, 0
	record := func(decisions []Decision) {
		for _, d := range decisions {
			if g, ok := d.(Grant); ok {
				r := runningRequest{g.ID, b.now.Add(200 * time.Millisecond), g.Target == "engine-1"}
				if r.broken {
					r.endsAt = b.now.Add(20 * time.Millisecond)
					failed++
				}
				total++
				running = append(running, r)
			}
		}
	}
	for range 1000 { // Ten seconds at 100 requests per second.
		_, decisions := b.send("first", nil)
		record(decisions)
		var left []runningRequest
		for _, r := range running {
			if b.now.Before(r.endsAt) {
				left = append(left, r)
				continue
			}
			record(b.shard.Finish(b.now, wire.Finish{ID: r.id, Pool: testPool, Dispatched: true, Completed: !r.broken, Failed: r.broken}))
		}
		running = left
		record(b.advance(10 * time.Millisecond))
	}
	require.Equal(t, 1000, total)
	require.Less(t, failed, 25)
}

// TestErrorsOfAllTargetsEjectNone simulates a pool in which every target fails every second
// request. If error rates were not compared with the pool's mean, all targets would go into backoff.
func TestErrorsOfAllTargetsEjectNone(t *testing.T) {
	b := newDiscoveredBench(t, 10, 4)
	for i := range 400 {
		id, decisions := b.send("first", nil)
		require.Len(t, granted(decisions), 1)
		b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: i%2 == 0, Failed: i%2 == 1})
		b.advance(10 * time.Millisecond)
	}
	require.GreaterOrEqual(t, b.shard.ready.len(), 8)
}

func TestRestartResetsTheStateOfATarget(t *testing.T) {
	b := newDiscoveredBench(t, 1, 5)
	target := b.shard.targets["engine-1"]
	target.speedSamples, target.speed, target.errorRate = 9, 0.3, 0.5
	b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, []*object.Target{
		{Name: "engine-1", Pool: testPool, Zone: "a", Address: "http://t", Slots: 5, StartedMS: 77},
	}), nil)
	require.Equal(t, 0, target.speedSamples)
	require.InDelta(t, 1, target.speed, 0)
	require.InDelta(t, 0, target.errorRate, 0)
}

// TestNormalErrorRateKeepsAllSlots simulates a service that answers one call of seven with an
// error. Small differences between the error rates of healthy targets must not reduce their slots.
func TestNormalErrorRateKeepsAllSlots(t *testing.T) {
	b := newDiscoveredBench(t, 3, 6)
	for i := range 210 {
		id, decisions := b.send("first", nil)
		require.Len(t, granted(decisions), 1)
		b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: i%7 != 0, Failed: i%7 == 0})
		b.advance(10 * time.Millisecond)
	}
	free := 0
	for range 18 {
		_, decisions := b.send("first", nil)
		free += len(granted(decisions))
	}
	require.Equal(t, 18, free)
}
