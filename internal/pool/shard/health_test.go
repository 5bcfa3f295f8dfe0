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
	id, decisions := b.ask("first", nil)
	refuser := decisions[0].(Grant).Target
	b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Rejected: true})
	for range 4 {
		_, decisions = b.ask("first", func(r *wire.Register) { r.Avoid = []object.TargetName{refuser} })
		require.NotEqual(t, refuser, decisions[0].(Grant).Target)
	}
	b.advance(rejectPause)
	_, decisions = b.ask("first", nil)
	require.Equal(t, refuser, decisions[0].(Grant).Target, "it is the least loaded again")
}

func TestRequestIsRefusedIfOnlyAvoidedTargetsAreFree(t *testing.T) {
	b := newDiscoveredBench(t, 1, 5)
	_, decisions := b.ask("first", func(r *wire.Register) { r.Avoid = []object.TargetName{"engine-1"} })
	require.Len(t, refusals(decisions), 1)
	require.Equal(t, outcome.NoTarget, refusals(decisions)[0].Reason)
}

// TestCrashedTargetIsTriedAgainSoon replays a crash of five seconds.
func TestCrashedTargetIsTriedAgainSoon(t *testing.T) {
	b := newDiscoveredBench(t, 2, 1)
	crashed := object.TargetName("")
	busy, decisions := b.ask("first", nil)
	crashed = decisions[0].(Grant).Target
	for range 50 {
		b.shard.Finish(b.now, wire.Finish{ID: busy, Pool: testPool, Unreachable: true})
		b.advance(100 * time.Millisecond)
		busy, _ = b.ask("first", nil)
	}
	b.shard.Finish(b.now, wire.Finish{ID: busy, Pool: testPool, Dispatched: true, Completed: true})
	b.advance(discoveredMaxBackoff)
	require.NotEmpty(t, crashed)
	require.Empty(t, b.shard.backingOff)
}

// TestTargetThatAnswersWithErrorsDrawsNoWork replays a target that says it is healthy and
// answers each request with an error in a tenth of the time of the others.
func TestTargetThatAnswersWithErrorsDrawsNoWork(t *testing.T) {
	b := newDiscoveredBench(t, 10, 4)
	type run struct {
		id     wire.RequestID
		ends   time.Time
		broken bool
	}
	var running []run
	failed, total := 0, 0
	take := func(decisions []Decision) {
		for _, d := range decisions {
			if g, ok := d.(Grant); ok {
				r := run{g.ID, b.now.Add(200 * time.Millisecond), g.Target == "engine-1"}
				if r.broken {
					r.ends = b.now.Add(20 * time.Millisecond)
					failed++
				}
				total++
				running = append(running, r)
			}
		}
	}
	for range 1000 { // Ten seconds at 100 requests a second.
		_, decisions := b.ask("first", nil)
		take(decisions)
		var left []run
		for _, r := range running {
			if b.now.Before(r.ends) {
				left = append(left, r)
				continue
			}
			take(b.shard.Finish(b.now, wire.Finish{ID: r.id, Pool: testPool, Dispatched: true, Completed: !r.broken, Failed: r.broken}))
		}
		running = left
		take(b.advance(10 * time.Millisecond))
	}
	require.Equal(t, 1000, total)
	require.Less(t, failed, 25)
}

// TestErrorsOfAllTargetsTakeNoneOut replays a pool in which every target fails every second
// request.
func TestErrorsOfAllTargetsTakeNoneOut(t *testing.T) {
	b := newDiscoveredBench(t, 10, 4)
	for i := range 400 {
		id, decisions := b.ask("first", nil)
		require.Len(t, granted(decisions), 1)
		b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: i%2 == 0, Failed: i%2 == 1})
		b.advance(10 * time.Millisecond)
	}
	require.GreaterOrEqual(t, b.shard.ready.len(), 8)
}

func TestRestartedTargetStartsAnew(t *testing.T) {
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

// TestUsualErrorsCostNoSlots replays a service that answers one call of seven with an error.
func TestUsualErrorsCostNoSlots(t *testing.T) {
	b := newDiscoveredBench(t, 3, 6)
	for i := range 210 {
		id, decisions := b.ask("first", nil)
		require.Len(t, granted(decisions), 1)
		b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: i%7 != 0, Failed: i%7 == 0})
		b.advance(10 * time.Millisecond)
	}
	free := 0
	for range 18 {
		_, decisions := b.ask("first", nil)
		free += len(granted(decisions))
	}
	require.Equal(t, 18, free)
}
