package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// TestUrgentRequestsOfAnAccountGetItsQuotaFirst sends requests of three classes that together
// exceed the quota of their account.
func TestUrgentRequestsOfAnAccountGetItsQuotaFirst(t *testing.T) {
	for _, test := range []struct {
		name string
		// perTick is the number of requests per class every 100 ms. The window allows 12.6 in total.
		perTick map[object.TierName]int
		flood   int // Factor on all classes after 8 seconds.
		// maxRefused is the largest fraction of each class that may be refused. At least 0.85 of the
		// most urgent class should be served, and the least urgent class keeps 0.15 of the quota.
		maxRefused map[object.TierName]float64
	}{
		{
			"more than the quota in equal parts",
			map[object.TierName]int{"first": 7, "second": 7, "third": 7}, 1,
			map[object.TierName]float64{"first": 0.15, "second": 0.6, "third": 0.85},
		},
		{
			"a flood at four times the rate",
			map[object.TierName]int{"first": 2, "second": 2, "third": 2}, 4,
			map[object.TierName]float64{"first": 0.15, "second": 0.85, "third": 0.85},
		},
		{
			"all within the quota",
			map[object.TierName]int{"first": 1, "second": 3, "third": 8}, 1,
			map[object.TierName]float64{"first": 0, "second": 0, "third": 0},
		},
		{
			"only the least urgent class exceeds the quota",
			map[object.TierName]int{"first": 2, "third": 40}, 1,
			map[object.TierName]float64{"first": 0.15, "third": 0.85},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 100, 1000)
			requested, refused := map[object.TierName]float64{}, map[object.TierName]float64{}
			for tick := range 240 {
				for _, class := range []object.TierName{"third", "second", "first"} {
					count := test.perTick[class]
					if tick >= 80 {
						count *= test.flood
					}
					for range count {
						_, decisions := b.send(class, func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
						for _, r := range refusals(decisions) {
							exceeded := r.Quota.Used+r.Quota.Cost > r.Quota.Limit || r.Quota.ClassUsed+r.Quota.Cost > r.Quota.ClassLimit
							require.True(t, exceeded, "a refusal reports the exceeded limit")
						}
						if tick >= 80 { // The first window has room for all.
							requested[class]++
							refused[class] += float64(len(refusals(decisions)))
						}
					}
				}
				b.advance(100 * time.Millisecond)
			}
			for class, most := range test.maxRefused {
				require.LessOrEqual(t, refused[class], most*requested[class], class)
			}
			require.LessOrEqual(t, refused["second"]*requested["third"], refused["third"]*requested["second"])
		})
	}
}
