package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// TestServerLeavingIsClosedForAllFronts simulates a target that reports in an answer to one
// front that it is leaving, while its entry in the store still says that it is ready.
func TestServerLeavingIsClosedForAllFronts(t *testing.T) {
	b := newDiscoveredBench(t, 2, 2)
	b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: "engine-1", Leaving: true})
	for range 2 {
		_, decisions := b.send("first", nil)
		require.Equal(t, object.TargetName("engine-2"), decisions[0].(Grant).Target)
	}
	require.InDelta(t, 2, b.shard.totalSlots, 0)
	b.shard.Configure(b.now, b.shard.snapshot, nil)
	_, decisions := b.send("first", nil)
	require.Empty(t, decisions, "the unchanged entry does not reopen the target")
}

// TestRequestedPauseRemovesTheSlotsOfATarget simulates targets that reject requests and request
// a pause. Their slots must not count during the pause. Requests that cannot be served before
// its end must be refused immediately, with the end of the pause as retry delay.
func TestRequestedPauseRemovesTheSlotsOfATarget(t *testing.T) {
	const pause = 10 * time.Second
	b := newDiscoveredBench(t, 2, 1)
	b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: "engine-1", PauseMS: pause.Milliseconds()})
	require.InDelta(t, 1, b.shard.totalSlots, 0)
	b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: "engine-2", PauseMS: 2 * pause.Milliseconds()})
	_, decisions := b.send("first", nil)
	require.Len(t, refusals(decisions), 1)
	require.Equal(t, outcome.NoTarget, refusals(decisions)[0].Reason)
	require.GreaterOrEqual(t, refusals(decisions)[0].RetryAfter, pause)
	b.advance(pause)
	_, decisions = b.send("first", nil)
	require.Equal(t, object.TargetName("engine-1"), decisions[0].(Grant).Target)
	require.InDelta(t, 1, b.shard.totalSlots, 0)
}
