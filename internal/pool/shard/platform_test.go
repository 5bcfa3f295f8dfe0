package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// newDiscoveredBench is a pool with discovered targets, three tiers and an account with a
// quota.
func newDiscoveredBench(t *testing.T, targets, slots int) *bench {
	objects := []object.Object{
		&object.Tier{Name: "first", Priority: 3},
		&object.Tier{Name: "second", Priority: 2},
		&object.Tier{Name: "third", Priority: 1},
		&object.Account{Name: "big", Tiers: []object.TierName{"first", "second", "third"}, KeyHashes: []string{object.HashKey("1")}},
		&object.Account{
			Name: "metered", Tiers: []object.TierName{"first"}, KeyHashes: []string{object.HashKey("2")},
			Quota: &object.Quota{PerSecond: 100, Burst: 100, PlainTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 100},
		},
		&object.Pool{Name: testPool, Type: object.EnginePool, FixedSlots: true, RunToEnd: true, Discovered: true},
	}
	snapshot, err := object.Compile(1, "", objects)
	require.NoError(t, err)
	var found []*object.Target
	for i := range targets {
		found = append(found, &object.Target{Name: target1(i), Pool: testPool, Zone: "a", Address: "http://t", Slots: slots})
	}
	b := &bench{t: t, shard: New(testPool, NewQuotas()), now: time.Unix(1000, 0)}
	b.shard.Configure(b.now, snapshot.WithTargets(1, found), nil)
	return b
}

// ask registers a request of the big account.
func (b *bench) ask(class object.TierName, change func(*wire.Register)) (wire.RequestID, []Decision) {
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
	running, _ := b.ask("first", nil)
	low, _ := b.ask("third", nil)
	high, _ := b.ask("first", nil)
	middle, _ := b.ask("second", nil)
	var order []wire.RequestID
	for _, id := range []wire.RequestID{running, high, middle} {
		order = append(order, granted(b.finish(id))...)
	}
	require.Equal(t, []wire.RequestID{high, middle, low}, order)
}

func TestTierOfTheAccountGoesBeforeTheClass(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.ask("first", nil)
	lowTier, _ := b.ask("first", func(r *wire.Register) { r.Tier = "second" })
	highTier, _ := b.ask("second", nil)
	require.Equal(t, []wire.RequestID{highTier}, granted(b.finish(running)))
	require.Equal(t, []wire.RequestID{lowTier}, granted(b.finish(highTier)))
}

// TestLongWorkLeavesRoomForUrgentWork replays a burst of the least urgent class, whose
// requests hold a slot long, before one of the most urgent.
func TestLongWorkLeavesRoomForUrgentWork(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	urgent := map[wire.RequestID]bool{}
	for range 30 {
		id, _ := b.ask("first", nil)
		urgent[id] = true
	}
	b.advance(2 * time.Second) // The demand of the urgent class is known now.
	long := 0
	for range 200 {
		_, decisions := b.ask("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
		long += len(granted(decisions))
	}
	require.Equal(t, 66, long, "100 slots less 1.15 times 30")
	for id := range urgent {
		b.finish(id)
	}
	started := 0
	for range 30 {
		_, decisions := b.ask("first", nil)
		started += len(granted(decisions))
	}
	require.Equal(t, 30, started, "a burst of the urgent class starts at once")
}

func TestLeastUrgentWorkKeepsAPart(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	for range 100 {
		b.ask("first", nil)
	}
	b.advance(3 * time.Second)
	waiting, _ := b.ask("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	require.Equal(t, []wire.RequestID{waiting}, granted(b.finish("1")))
}

func TestRequestOutOfTimeWaitsBehindThoseInTime(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.ask("first", nil)
	late, _ := b.ask("first", func(r *wire.Register) { r.ObjectiveMS = 100; r.MaxWaitMS = 5000 })
	b.advance(200 * time.Millisecond)
	inTime, _ := b.ask("first", func(r *wire.Register) { r.ObjectiveMS = 100; r.MaxWaitMS = 5000 })
	require.Equal(t, []wire.RequestID{inTime}, granted(b.finish(running)))
	require.Equal(t, []wire.RequestID{late}, granted(b.finish(inTime)))
}

func TestRefusedRequestComesBackAfterTheLoad(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	b.ask("first", nil)
	b.ask("first", func(r *wire.Register) { r.DeadlineMS = 6000; r.MaxWaitMS = 1000; r.MayReturn = true })
	refused := refusals(b.advance(1100 * time.Millisecond))
	require.Len(t, refused, 1)
	require.GreaterOrEqual(t, refused[0].RetryAfter, 980*time.Millisecond)
	require.LessOrEqual(t, refused[0].RetryAfter, 1500*time.Millisecond, "it must leave time for an answer")
}

func TestQuotaAdmitsWhatTheWindowTolerates(t *testing.T) {
	b := newDiscoveredBench(t, 100, 100)
	ask := func(cost float64) []Decision {
		_, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = cost })
		return decisions
	}
	ask(1)
	b.advance(20 * time.Second)
	used := 0
	for range 80 { // Eight seconds at ten times the rate.
		for range 100 {
			used += len(granted(ask(1)))
		}
		b.advance(100 * time.Millisecond)
	}
	quota := 100*8 + 100.0
	require.GreaterOrEqual(t, float64(used), quota)
	require.LessOrEqual(t, float64(used), quota*1.1+100)
	over := refusals(ask(50))
	require.Len(t, over, 1)
	require.Equal(t, outcome.AccountLimit, over[0].Reason)
	require.Positive(t, over[0].RetryAfter)
}

func TestQuotaIsSharedByThePoolsOfOneArbiter(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1000)
	other := New("other", b.shard.quotas)
	other.Configure(b.now, b.shard.snapshot, nil)
	b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
	b.advance(10 * time.Second)
	for _, cost := range []float64{100, 165} { // The burst, and most of the tolerated excess.
		_, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = cost })
		require.Len(t, granted(decisions), 1)
	}
	state, wait := other.takeQuota(b.now, &request{Register: wire.Register{Account: "metered", QuotaCost: 100}})
	require.NotNil(t, state)
	require.Equal(t, object.AccountName("metered"), state.Account)
	require.InDelta(t, 100, state.Cost, 0)
	require.Less(t, state.Within, 100.0)
	require.Positive(t, wait)
}

func TestQuotaOfARequestThatDidNotRunIsGivenBack(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
	b.advance(10 * time.Second)
	level := b.shard.quotas.uses["metered"].within.level
	waiting, _ := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 90 })
	b.shard.Withdraw(b.now, waiting)
	require.InDelta(t, 100, b.shard.quotas.uses["metered"].within.level, 100-level+1)
}

func TestShareBoundsSlotsAndQuota(t *testing.T) {
	b := newDiscoveredBench(t, 4, 10)
	b.shard.SetShare(b.now, Share{Slots: 0.25, Quota: 0.25})
	running := 0
	for range 40 {
		_, decisions := b.ask("first", nil)
		running += len(granted(decisions))
	}
	require.Equal(t, 10, running)
	require.Len(t, granted(b.shard.SetShare(b.now, Share{Slots: 1, Quota: 1})), 30)
}

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
	require.Empty(t, b.shard.failed)
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
	target.samples, target.speed, target.errorRate = 9, 0.3, 0.5
	b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, []*object.Target{
		{Name: "engine-1", Pool: testPool, Zone: "a", Address: "http://t", Slots: 5, StartedMS: 77},
	}), nil)
	require.Equal(t, 0, target.samples)
	require.InDelta(t, 1, target.speed, 0)
	require.InDelta(t, 0, target.errorRate, 0)
}

// TestAccountsComeBackAfterAllHostsWereKilled replays the first second after a restart of
// all hosts: the fronts come to the new arbiter one after the other, and the callers of an
// account inside its limit come back together.
func TestAccountsComeBackAfterAllHostsWereKilled(t *testing.T) {
	b := newDiscoveredBench(t, 10, 100)
	refused := 0
	for front := 1; front <= 6; front++ {
		share := float64(front) / 6
		b.shard.SetShare(b.now, Share{Slots: share, Quota: share})
		for range 5 {
			_, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
			refused += len(refusals(decisions))
		}
		b.advance(10 * time.Millisecond)
	}
	require.LessOrEqual(t, refused, 3, "30 requests of an account that may send 100 at once")
}

// TestLongAnswersGoToTargetsThatFinishInTime gives long and short requests to a slow target
// that is idle and a fast one that is not.
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
			slow.decode, slow.samples = 8600, minSamples
			fast.decode, fast.samples, fast.inFlight = 3000, minSamples, 5
			b.shard.fixReady(fast)
			_, decisions := b.ask("third", func(r *wire.Register) { r.OutputTokens = row.tokens; r.DeadlineMS = 15_000 })
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
		{"little more loaded", 2, "engine-2"},
		{"much more loaded", 8, "engine-1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 2, 10)
			near := b.shard.targets["engine-2"]
			near.zone, near.inFlight = "b", row.inFlight
			b.shard.fixReady(near)
			_, decisions := b.ask("first", func(r *wire.Register) { r.Zone = "b" })
			require.Equal(t, row.want, decisions[0].(Grant).Target)
		})
	}
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
