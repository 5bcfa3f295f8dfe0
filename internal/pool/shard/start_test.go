package shard

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

// TestArbitersThatStartAtOnceChooseOtherTargets replays the first second of a large fleet: each
// of 295 hosts grants its first request itself, before it has a link to the arbiter, and knows
// nothing of the 256 targets.
func TestArbitersThatStartAtOnceChooseOtherTargets(t *testing.T) {
	const arbiters, targets, slots = 295, 256, 4
	got := map[object.TargetName]int{}
	for i := range arbiters {
		b := newDiscoveredBench(t, 0, slots)
		b.shard.SetTieBreakSeed(uint64(i + 1))
		var found []*object.Target
		for j := range targets {
			found = append(found, &object.Target{Name: target1(j), Pool: testPool, Zone: "a", Address: "http://t", Slots: slots})
		}
		b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, found), nil)
		_, decisions := b.ask("first", nil)
		require.Len(t, decisions, 1)
		got[decisions[0].(Grant).Target]++
	}
	for name, n := range got {
		// Of 295 balls in 256 bins a bin with eight is seen once in thousands of throws.
		require.LessOrEqual(t, n, 2*slots, name)
	}
	require.Greater(t, len(got), targets/2)
}
