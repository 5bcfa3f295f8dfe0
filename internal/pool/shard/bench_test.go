package shard

import (
	"fmt"
	"testing"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// BenchmarkAdmission measures one cycle at a full shard: a request ends, the next one is
// granted, and a new one is queued.
func BenchmarkAdmission(b *testing.B) {
	for _, targets := range []int{27, 200, 1000} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				benchmarkAdmission(b, targets, waiting)
			})
		}
	}
}

func benchmarkAdmission(b *testing.B, targets, waiting int) {
	p := setup{targets: targets, slots: 8, queueLimit: 1_000_000}
	s := New(testPool, NewQuotas())
	now := time.Unix(1000, 0)
	s.Configure(now, p.snapshot(b), nil)
	accounts := []object.AccountName{"big", "small-1", "small-2"}
	tiers := []object.TierName{"urgent", "normal", "night"}
	next := 0
	var running []wire.RequestID
	register := func() {
		next++
		r := wire.Register{
			ID: wire.RequestID(fmt.Sprint(next)), Pool: testPool, Account: accounts[next%3], Tier: tiers[next%len(tiers)],
			PromptTokens: 500, OutputTokens: 100, Phase: wire.Waiting, Prefixes: []wire.PrefixHash{wire.PrefixHash(next % 500)},
		}
		running = appendGrants(running, s.Register(now, r))
	}
	for range targets*8 + waiting {
		register()
	}
	b.ReportAllocs()
	for b.Loop() {
		id := running[0]
		running = running[1:]
		f := wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true, PromptTokens: 500, OutputTokens: 100, FirstTokenMS: 100, DecodeUS: 70_000}
		running = appendGrants(running, s.Finish(now, f))
		register()
	}
}

func appendGrants(running []wire.RequestID, decisions []Decision) []wire.RequestID {
	for _, decision := range decisions {
		if g, ok := decision.(Grant); ok {
			running = append(running, g.ID)
		}
	}
	return running
}
