package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// newDiscoveredBench creates a pool with discovered targets, three tiers and an account with a
// quota.
func newDiscoveredBench(t *testing.T, targets, slots int) *bench {
	objects := []object.Object{
		&object.Tier{Name: "first", Priority: 3},
		&object.Tier{Name: "second", Priority: 2},
		&object.Tier{Name: "third", Priority: 1},
		&object.Account{Name: "big", Tiers: []object.TierName{"first", "second", "third"}, KeyHashes: []string{object.HashKey("1")}},
		&object.Account{
			Name: "metered", Tiers: []object.TierName{"first"}, KeyHashes: []string{object.HashKey("2")},
			Quota: &object.Quota{PerSecond: 100, Burst: 100, DefaultTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 100},
		},
		&object.Pool{Name: testPool, Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true},
	}
	snapshot, err := object.Compile(1, "", objects)
	require.NoError(t, err)
	var found []*object.Target
	for i := range targets {
		found = append(found, &object.Target{Name: targetName(i), Pool: testPool, Zone: "a", Address: "http://t", Slots: slots})
	}
	b := &bench{t: t, shard: New(testPool, NewQuotas()), now: time.Unix(1000, 0)}
	b.shard.Configure(b.now, snapshot.WithTargets(1, found), nil)
	return b
}

// send registers a request of the big account.
func (b *bench) send(class object.TierName, change func(*wire.Register)) (wire.RequestID, []Decision) {
	b.next++
	r := wire.Register{ID: wire.RequestID(fmt.Sprint(b.next)), Pool: testPool, Account: "big", Tier: "first", Class: class, PromptTokens: 1, Phase: wire.Waiting}
	if change != nil {
		change(&r)
	}
	return r.ID, b.shard.Register(b.now, r)
}

func granted(decisions []Decision) []wire.RequestID {
	var ids []wire.RequestID
	for _, d := range decisions {
		if g, ok := d.(Grant); ok {
			ids = append(ids, g.ID)
		}
	}
	return ids
}

func refusals(decisions []Decision) []Refuse {
	var all []Refuse
	for _, d := range decisions {
		if r, ok := d.(Refuse); ok {
			all = append(all, r)
		}
	}
	return all
}

func TestClassesOrderTheRequestsOfOneTier(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.send("first", nil)
	low, _ := b.send("third", nil)
	high, _ := b.send("first", nil)
	middle, _ := b.send("second", nil)
	var order []wire.RequestID
	for _, id := range []wire.RequestID{running, high, middle} {
		order = append(order, granted(b.finish(id))...)
	}
	require.Equal(t, []wire.RequestID{high, middle, low}, order)
}

func TestTierOfTheAccountOutranksTheClass(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.send("first", nil)
	lowTier, _ := b.send("first", func(r *wire.Register) { r.Tier = "second" })
	highTier, _ := b.send("second", nil)
	require.Equal(t, []wire.RequestID{highTier}, granted(b.finish(running)))
	require.Equal(t, []wire.RequestID{lowTier}, granted(b.finish(highTier)))
}

func TestRetryIsDelayedDuringOverload(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	b.send("first", nil)
	b.send("first", func(r *wire.Register) { r.DeadlineMS = 6000; r.MaxWaitMS = 1000; r.MayRetry = true })
	refused := refusals(b.advance(1100 * time.Millisecond))
	require.Len(t, refused, 1)
	require.GreaterOrEqual(t, refused[0].RetryAfter, 980*time.Millisecond)
	require.LessOrEqual(t, refused[0].RetryAfter, 1500*time.Millisecond, "the retry leaves time for an answer")
}

func TestShareBoundsSlots(t *testing.T) {
	b := newDiscoveredBench(t, 4, 10)
	b.shard.SetShare(b.now, Share{Slots: 0.25, Quota: 0.25})
	running := 0
	for range 40 {
		_, decisions := b.send("first", nil)
		running += len(granted(decisions))
	}
	require.Equal(t, 10, running)
	require.Len(t, granted(b.shard.SetShare(b.now, Share{Slots: 1, Quota: 1})), 30)
}

// TestShareBoundsQuota sends requests of a metered account, which may use 900 in a window and be
// granted three quarters of the tolerated excess of 190.
func TestShareBoundsQuota(t *testing.T) {
	const whole = 900 + 0.75*190
	for _, share := range []float64{0.25, 0.5, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			b := newDiscoveredBench(t, 4, 1000)
			b.shard.SetShare(b.now, Share{Slots: 1, Quota: share})
			used := 0.0
			for range 2000 {
				_, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
				used += float64(len(granted(decisions)))
			}
			require.InDelta(t, share*whole, used, 1)
		})
	}
}

// TestLongAnswersGoToTargetsThatFinishInTime sends short and long requests to a slow idle target
// and a fast busy one.
func TestLongAnswersGoToTargetsThatFinishInTime(t *testing.T) {
	rows := []struct {
		name   string
		tokens int
		want   object.TargetName
	}{
		{"short", 100, "engine-1"},
		{"long", 2000, "engine-2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 2, 10)
			slow, fast := b.shard.targets["engine-1"], b.shard.targets["engine-2"]
			slow.decodeUS, slow.speedSamples = 8600, minSamples
			fast.decodeUS, fast.speedSamples, fast.inFlight = 3000, minSamples, 5
			b.shard.updateReady(fast)
			_, decisions := b.send("third", func(r *wire.Register) { r.OutputTokens = row.tokens; r.DeadlineMS = 15_000 })
			require.Equal(t, row.want, decisions[0].(Grant).Target)
		})
	}
}

func TestTargetsInTheZoneOfTheFrontArePreferred(t *testing.T) {
	rows := []struct {
		name     string
		inFlight int
		want     object.TargetName
	}{
		{"slightly more loaded", 2, "engine-2"},
		{"much more loaded", 8, "engine-1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 2, 10)
			sameZone := b.shard.targets["engine-2"]
			sameZone.zone, sameZone.inFlight = "b", row.inFlight
			b.shard.updateReady(sameZone)
			_, decisions := b.send("first", func(r *wire.Register) { r.Zone = "b" })
			require.Equal(t, row.want, decisions[0].(Grant).Target)
		})
	}
}
