package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

func TestCountsReportOutcomesByClass(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.send("first", nil)
	b.send("third", func(r *wire.Register) { r.MaxWaitMS = 100; r.MayRetry = true })
	b.send("third", func(r *wire.Register) { r.MaxWaitMS = 100 })
	b.send("first", func(r *wire.Register) { r.DispatchWithinMS = 50; r.MaxWaitMS = 1000 })
	b.advance(200 * time.Millisecond)
	b.finish(running)

	counts := b.shard.TakeCounts()
	require.Equal(t, &Counts{Granted: 2, GrantedLate: 1, Refused: map[outcome.Reason]int{}}, counts["first"])
	require.Equal(t, &Counts{Refused: map[outcome.Reason]int{outcome.QueueTimeout: 2}, RefusedAgain: 1}, counts["third"])
	require.Empty(t, b.shard.TakeCounts(), "each count is reported once")
}

func TestSummaryReportsReservedSlots(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	for range 30 {
		b.send("first", nil)
	}
	b.advance(2 * time.Second)
	b.send("third", nil)
	sum := b.shard.Summary(b.now)
	require.Equal(t, 0, sum.Kept["first"])
	require.Equal(t, 39, sum.Kept["third"], "demand of 30 plus three deviations of 3")
}
