package shard

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

// TestArbitersThatStartTogetherSpreadOverTargets simulates the first second of a large fleet.
// Each of 295 hosts grants its first request itself, before it has a link to the arbiter, and
// has no information about the load of the 256 targets.
// If all hosts ordered equally loaded targets by name, they would choose the same target.
func TestArbitersThatStartTogetherSpreadOverTargets(t *testing.T) {
	const arbiters, targets, slots = 295, 256, 4
	grants := map[object.TargetName]int{}
	for i := range arbiters {
		b := newDiscoveredBench(t, 0, slots)
		b.shard.SetTieBreakSeed(uint64(i + 1))
		var found []*object.Target
		for j := range targets {
			found = append(found, &object.Target{Name: targetName(j), Pool: testPool, Zone: "a", Address: "http://t", Slots: slots})
		}
		b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, found), nil)
		_, decisions := b.send("first", nil)
		require.Len(t, decisions, 1)
		grants[decisions[0].(Grant).Target]++
	}
	for name, n := range grants {
		// With 295 balls in 256 bins, a bin with eight balls occurs once in thousands of throws.
		require.LessOrEqual(t, n, 2*slots, name)
	}
	require.Greater(t, len(grants), targets/2)
}
