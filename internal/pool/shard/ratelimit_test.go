package shard

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// limitTarget tells the shard that a target named a rate limit, 0 for none, in an answer just now.
func (b *bench) limitTarget(name object.TargetName, perSecond wire.RequestRate) []Decision {
	return b.shard.Notice(b.now, wire.TargetNotice{Pool: testPool, Target: name, Rate: &wire.RateNotice{PerSecond: perSecond}})
}

// sendSteadily sends requests at a steady rate, each of which runs for the given time, and ends all of
// them at the end. It returns the times of the grants by target, and the refusals.
func (b *bench) sendSteadily(perSecond int, run, duration time.Duration) (grants map[object.TargetName][]time.Time, refused []Refuse) {
	grants = map[object.TargetName][]time.Time{}
	ends := map[wire.RequestID]time.Time{}
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			switch d := d.(type) {
			case Grant:
				grants[d.Target] = append(grants[d.Target], b.now)
				ends[d.ID] = b.now.Add(run)
			case Refuse:
				refused = append(refused, d)
			case Cancel:
			}
		}
	}
	const tick = 10 * time.Millisecond
	interval := time.Second / time.Duration(perSecond)
	next, end := b.now, b.now.Add(duration)
	for b.now.Before(end) {
		for !next.After(b.now) {
			_, decisions := b.send("first", func(r *wire.Register) { r.MaxWaitMS = 1000; r.DeadlineMS = 6000; r.MayRetry = true })
			apply(decisions)
			next = next.Add(interval)
		}
		for id, at := range ends {
			if !at.After(b.now) {
				delete(ends, id)
				apply(b.finish(id))
			}
		}
		apply(b.advance(tick))
	}
	for len(ends) > 0 {
		b.now = b.now.Add(tick)
		for id, at := range ends {
			if !at.After(b.now) {
				delete(ends, id)
				apply(b.finish(id))
			}
		}
	}
	return grants, refused
}

// most returns the highest number of times in a window.
func most(times []time.Time, window time.Duration) int {
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

const (
	// rateWindow is the window in which the arrivals at a target are counted.
	rateWindow = 4 * time.Second
	testHold   = 200 * time.Millisecond
)

// allowedGrants is the highest number of grants in a window without any tolerance: those of the window,
// the first one and the burst.
func allowedGrants(perSecond float64) int {
	return int(math.Ceil(perSecond*(rateWindow+rateBurst).Seconds())) + 1
}

func TestTargetIsGrantedNoMoreThanItsRateLimit(t *testing.T) {
	for _, limit := range []wire.RequestRate{0.3, 1.6, 3, 40} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			b := newDiscoveredBench(t, 3, 7)
			b.sendSteadily(60, testHold, time.Second)
			b.limitTarget("engine-1", limit)
			const duration = 20 * time.Second
			grants, refused := b.sendSteadily(60, testHold, duration)
			require.LessOrEqual(t, most(grants["engine-1"], rateWindow), allowedGrants(float64(limit)))
			usable := min(float64(limit), 7/testHold.Seconds()/3)
			require.GreaterOrEqual(t, float64(len(grants["engine-1"])), 0.8*usable*duration.Seconds()-1, "the target still gets what it accepts")
			require.Zero(t, len(refused), "the other targets serve the rest")
		})
	}
}

// TestSharesOfARateLimitAddUp splits the fronts between several arbiters that cannot reach each other.
// Each of them knows the limit and has requests enough. Together they must stay inside the limit.
func TestSharesOfARateLimitAddUp(t *testing.T) {
	for _, arbiters := range []int{2, 8, 82, 295} {
		for _, limit := range []wire.RequestRate{0.3, 1.6, 20} {
			t.Run(fmt.Sprintf("%d arbiters, %g a second", arbiters, limit), func(t *testing.T) {
				byTick := map[int64]int{}
				const duration = 20 * time.Second
				for i := range arbiters {
					b := newDiscoveredBench(t, 0, 7)
					b.shard.SetTieBreakSeed(uint64(i + 1))
					b.shard.SetShare(b.now, Share{Slots: 1, Quota: 1 / float64(arbiters)})
					found := []*object.Target{{Name: "engine-1", Pool: testPool, Zone: "a", Address: "http://t", Slots: 7}}
					b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, found), nil)
					b.limitTarget("engine-1", limit)
					grants, _ := b.sendSteadily(2, testHold, duration)
					for _, at := range grants["engine-1"] {
						byTick[at.Sub(time.Unix(1000, 0)).Milliseconds()]++
					}
				}
				for from := int64(0); from+rateWindow.Milliseconds() <= duration.Milliseconds(); from += 10 {
					sum := 0
					for at, n := range byTick {
						if at >= from && at < from+rateWindow.Milliseconds() {
							sum += n
						}
					}
					require.LessOrEqual(t, float64(sum), 1.5*float64(limit)*rateWindow.Seconds()+5)
				}
			})
		}
	}
}

// TestNewArbiterAddsNoBurst moves the requests of a target with a rate limit from one arbiter to
// another in the middle of a window. The new one has no record of the grants of the former one.
func TestNewArbiterAddsNoBurst(t *testing.T) {
	const limit = 3
	former, next := newDiscoveredBench(t, 2, 7), newDiscoveredBench(t, 2, 7)
	former.limitTarget("engine-1", limit)
	before, _ := former.sendSteadily(60, testHold, 2*time.Second)
	next.now = former.now
	next.limitTarget("engine-1", limit)
	after, _ := next.sendSteadily(60, testHold, 4*time.Second)
	times := append(before["engine-1"], after["engine-1"]...)
	require.LessOrEqual(t, most(times, rateWindow), allowedGrants(limit))
}

func TestRateLimitEnds(t *testing.T) {
	rows := []struct {
		name string
		end  func(*bench)
	}{
		{"an answer names none", func(b *bench) { b.limitTarget("engine-1", 0) }},
		{"the target restarts", func(b *bench) {
			restarted := &object.Target{Name: "engine-1", Pool: testPool, Zone: "a", Address: "http://t", Slots: 7, StartedMS: 9}
			b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, []*object.Target{restarted}), nil)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 1, 7)
			b.limitTarget("engine-1", 0.5)
			_, decisions := b.send("first", nil)
			require.Empty(t, granted(decisions))
			require.Equal(t, 1, b.shard.Summary(b.now).Limited)
			b.now = b.now.Add(time.Millisecond)
			row.end(b)
			b.advance(time.Millisecond)
			require.Equal(t, 0, b.shard.Waiting())
			require.Zero(t, b.shard.Summary(b.now).Limited)
			for range 6 {
				_, decisions := b.send("first", nil)
				require.Len(t, granted(decisions), 1)
			}
		})
	}
}

// TestRateLimitSurvivesConfiguration applies a new configuration with the same targets, and a limit
// that arrives before its target.
func TestRateLimitSurvivesConfiguration(t *testing.T) {
	b := newDiscoveredBench(t, 1, 7)
	b.limitTarget("engine-1", 0.5)
	b.limitTarget("engine-2", 0.5)
	b.shard.Configure(b.now, b.shard.snapshot.WithTargets(2, []*object.Target{
		{Name: "engine-1", Pool: testPool, Zone: "a", Address: "http://t", Slots: 7},
		{Name: "engine-2", Pool: testPool, Zone: "a", Address: "http://t", Slots: 7},
	}), nil)
	require.Equal(t, 2, b.shard.Summary(b.now).Limited)
	_, decisions := b.send("first", nil)
	require.Empty(t, decisions)
}

// TestUrgentRequestsGetTheLimitedRateFirst lets requests of all classes wait for targets that all name
// rate limits.
func TestUrgentRequestsGetTheLimitedRateFirst(t *testing.T) {
	b := newDiscoveredBench(t, 2, 7)
	b.limitTarget("engine-1", 2)
	b.limitTarget("engine-2", 2)
	low, _ := b.send("third", nil)
	middle, _ := b.send("second", nil)
	high, _ := b.send("first", nil)
	var order []wire.RequestID
	for range 100 {
		order = append(order, granted(b.advance(10*time.Millisecond))...)
	}
	require.Equal(t, []wire.RequestID{high, middle, low}, order)
}

// TestRequestsThatRateLimitsDelayTooLongAreRefused sends more requests than rate limits let pass before
// their deadline. The excess must be refused at once, with the time until its turn as retry delay.
func TestRequestsThatRateLimitsDelayTooLongAreRefused(t *testing.T) {
	b := newDiscoveredBench(t, 2, 7)
	b.limitTarget("engine-1", 1)
	b.limitTarget("engine-2", 1)
	waiting := 0
	for range 12 {
		_, decisions := b.send("first", func(r *wire.Register) { r.MaxWaitMS = 3000; r.DeadlineMS = 20_000 })
		if len(decisions) == 0 {
			waiting++
			continue
		}
		require.Equal(t, outcome.TargetsRateLimited, refusals(decisions)[0].Reason)
		require.GreaterOrEqual(t, refusals(decisions)[0].RetryAfter, 2500*time.Millisecond)
	}
	require.InDelta(t, 6, waiting, 1, "two a second for three seconds")
}

// TestRateLimitCountsAsLessCapacity compares the slots that count for reserves and trials with what
// rate limits let run.
func TestRateLimitCountsAsLessCapacity(t *testing.T) {
	b := newDiscoveredBench(t, 2, 10)
	b.sendSteadily(20, 500*time.Millisecond, 2*time.Second)
	b.limitTarget("engine-1", 4)
	require.InDelta(t, 10+4*0.5, b.shard.totalSlots, 0.2)
	require.Equal(t, 1, b.shard.Summary(b.now).Limited)
	grants, _ := b.sendSteadily(60, 500*time.Millisecond, 2*time.Second)
	require.Greater(t, len(grants["engine-2"]), len(grants["engine-1"]))
	counts := b.shard.TakeCounts()["first"]
	require.Positive(t, counts.Diverted+counts.HeldBack)
}

// TestPausedAndLimitedTarget combines a limit with a rejection, a pause and a crash.
func TestPausedAndLimitedTarget(t *testing.T) {
	b := newDiscoveredBench(t, 1, 7)
	b.limitTarget("engine-1", 100)
	b.advance(50 * time.Millisecond)
	id, decisions := b.send("first", nil)
	require.Len(t, granted(decisions), 1)
	b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Rejected: true})
	_, decisions = b.send("first", nil)
	require.Empty(t, decisions, "the target has rejected a request")
	require.Empty(t, b.advance(rejectPause/2))
	require.Len(t, granted(b.advance(rejectPause)), 1)
}

// TestGeneratedRateLimitsHold changes limits, shares, load and failures at random. Between two changes
// of a limit, its target must get no more than the limit allows.
func TestGeneratedRateLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(testPool, NewQuotas())
		b := &bench{shard: s, now: time.Unix(1000, 0)}
		objects := []object.Object{
			&object.Tier{Name: "first", Priority: 3},
			&object.Account{Name: "big", Tiers: []object.TierName{"first"}, KeyHashes: []string{object.HashKey("1")}},
			&object.Pool{Name: testPool, Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true},
		}
		snapshot, err := object.Compile(1, "", objects)
		require.NoError(t, err)
		var found []*object.Target
		for i := range 3 {
			found = append(found, &object.Target{Name: targetName(i), Pool: testPool, Zone: "a", Address: "http://t", Slots: 4})
		}
		s.Configure(b.now, snapshot.WithTargets(1, found), nil)
		limits := map[object.TargetName]wire.RequestRate{}
		grants := map[object.TargetName][]time.Time{}
		var running []wire.RequestID
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				g, ok := d.(Grant)
				if !ok {
					continue
				}
				require.Equal(t, limits[g.Target] > 0, g.RateCounted)
				running = append(running, g.ID)
				grants[g.Target] = append(grants[g.Target], b.now)
				if limit := float64(limits[g.Target]); limit > 0 {
					require.LessOrEqual(t, most(grants[g.Target], rateWindow), allowedGrants(limit))
				}
			}
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				name := targetName(rapid.IntRange(0, 2).Draw(t, "target"))
				limit := wire.RequestRate(rapid.SampledFrom([]float64{0, 0.3, 1.6, 5, 60}).Draw(t, "limit"))
				b.now = b.now.Add(time.Millisecond)
				if limit != limits[name] {
					grants[name] = nil
				}
				limits[name] = limit
				apply(b.limitTarget(name, limit))
			case 1:
				part := rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "share")
				apply(s.SetShare(b.now, Share{Slots: part, Quota: part}))
			case 2, 3, 4, 5:
				_, decisions := b.send("first", func(r *wire.Register) { r.MaxWaitMS = 1000 })
				apply(decisions)
			case 6, 7:
				if len(running) > 0 {
					id := running[0]
					running = running[1:]
					f := wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true}
					f.Failed = rapid.IntRange(0, 9).Draw(t, "failed") == 0
					apply(s.Finish(b.now, f))
				}
			default:
				apply(b.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond))
			}
		}
	})
}
