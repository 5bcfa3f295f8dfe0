package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// TestServerLeavingIsClosedForAllFronts replays a target that says in an answer to one front
// that it leaves, while its entry in the store still says that it is ready.
func TestServerLeavingIsClosedForAllFronts(t *testing.T) {
	b := newDiscoveredBench(t, 2, 2)
	b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: "engine-1", Leaving: true})
	for range 2 {
		_, decisions := b.ask("first", nil)
		require.Equal(t, object.TargetName("engine-2"), decisions[0].(Grant).Target)
	}
	require.InDelta(t, 2, b.shard.totalSlots, 0)
	b.shard.Configure(b.now, b.shard.snapshot, nil)
	_, decisions := b.ask("first", nil)
	require.Empty(t, decisions, "the same entry does not bring it back")
}

// TestTargetRetryAfterTakesItsSlots replays a target that refuses and wants no requests for a
// while: its slots count as gone for so long, and what cannot be served before it may be asked
// again is refused at once with that time.
func TestTargetRetryAfterTakesItsSlots(t *testing.T) {
	const quiet = 10 * time.Second
	b := newDiscoveredBench(t, 2, 1)
	b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: "engine-1", QuietMS: quiet.Milliseconds()})
	require.InDelta(t, 1, b.shard.totalSlots, 0)
	b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: "engine-2", QuietMS: 2 * quiet.Milliseconds()})
	_, decisions := b.ask("first", nil)
	require.Len(t, refusals(decisions), 1)
	require.Equal(t, outcome.NoTarget, refusals(decisions)[0].Reason)
	require.GreaterOrEqual(t, refusals(decisions)[0].RetryAfter, quiet)
	b.advance(quiet)
	_, decisions = b.ask("first", nil)
	require.Equal(t, object.TargetName("engine-1"), decisions[0].(Grant).Target)
	require.InDelta(t, 1, b.shard.totalSlots, 0)
}
