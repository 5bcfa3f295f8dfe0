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

// quotaFronts are fronts whose requests use the quota of one account by way of arbiters that
// come and go.
type quotaFronts struct {
	now    time.Time
	quota  *object.Quota
	quotas *Quotas
	// former is an arbiter that is not in use now.
	former *Quotas
	fronts []*quotaFront
	used   float64
}

type quotaFront struct {
	id    wire.HostID
	since time.Time
	use   *UseWindow
}

func newQuotaFronts(count int, quota *object.Quota) *quotaFronts {
	f := &quotaFronts{now: time.Unix(1000, 0), quota: quota}
	for i := range count {
		f.fronts = append(f.fronts, &quotaFront{id: wire.HostID(fmt.Sprint("front-", i)), since: f.now.Add(-time.Minute), use: NewUseWindow(f.now)})
	}
	f.newArbiter()
	return f
}

// newArbiter replaces the arbiter; all fronts tell the new one what they have used.
func (f *quotaFronts) newArbiter() {
	f.quotas = NewQuotas()
	for _, front := range f.fronts {
		f.tell(front)
	}
}

func (f *quotaFronts) tell(front *quotaFront) {
	used := wire.Used{AgeMS: f.now.Sub(front.since).Milliseconds(), StepMS: UseStep.Milliseconds()}
	used.Accounts = []wire.AccountUsed{{Account: "a", Costs: front.use.Recent(f.now, UseSpan)}}
	f.quotas.AddReported(f.now, front.id, used)
}

// restart replaces a front by one that knows nothing.
func (f *quotaFronts) restart(i int) {
	f.quotas.RemoveFront(f.fronts[i].id)
	f.fronts[i] = &quotaFront{id: f.fronts[i].id + "+", since: f.now, use: NewUseWindow(f.now)}
	f.tell(f.fronts[i])
}

// ask sends one request and reports whether it was granted.
func (f *quotaFronts) ask(i int, cost float64) bool {
	front := f.fronts[i%len(f.fronts)]
	state, _ := f.quotas.admit(f.now, f.quota, quotaCharge{account: "a", cost: cost, share: 1})
	if state == nil {
		f.quotas.recordGrant(f.now, "a", front.id, cost)
		front.use.Add(f.now, cost)
		f.used += cost
	}
	return state == nil
}

// flood asks for all that is granted at a moment.
func (f *quotaFronts) flood() {
	for i := 0; f.ask(i, 5); i++ {
	}
}

// TestNewArbitersKeepTheLimit lets an account use all that it is granted, while arbiters and
// fronts come and go.
func TestNewArbitersKeepTheLimit(t *testing.T) {
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, PlainTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 500}
	allowed := (1000*8+1000)*1.1 + 500.0
	rows := []struct {
		name string
		// change is called every 10 ms with the number of the call.
		change func(f *quotaFronts, tick int)
	}{
		{"one arbiter", func(*quotaFronts, int) {}},
		{"a new arbiter each second", func(f *quotaFronts, tick int) {
			if tick%100 == 50 {
				f.newArbiter()
			}
		}},
		{"two new arbiters at once", func(f *quotaFronts, tick int) {
			if tick == 400 || tick == 410 {
				f.newArbiter()
			}
		}},
		{"links that open again", func(f *quotaFronts, tick int) {
			if tick%30 == 0 {
				f.tell(f.fronts[tick/30%len(f.fronts)])
			}
		}},
		{"the arbiter is cut off and comes back", func(f *quotaFronts, tick int) {
			switch tick {
			case 1000:
				f.former = f.quotas
				f.newArbiter()
			case 1200:
				f.quotas = f.former
				for _, front := range f.fronts {
					f.tell(front)
				}
			}
		}},
		{"all hosts start again", func(f *quotaFronts, tick int) {
			if tick != 500 {
				return
			}
			for i := range f.fronts {
				f.restart(i)
			}
			f.newArbiter()
		}},
		{"a front starts again", func(f *quotaFronts, tick int) {
			if tick == 500 {
				f.restart(0)
			}
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newQuotaFronts(4, quota)
			var usedAt []float64
			for tick := range 2400 {
				row.change(f, tick)
				f.flood()
				usedAt = append(usedAt, f.used)
				if tick >= 800 {
					require.LessOrEqual(t, f.used-usedAt[tick-800], allowed, "in the 8 s before %d ms", tick*10)
				}
				f.now = f.now.Add(10 * time.Millisecond)
			}
			require.GreaterOrEqual(t, f.used, 24*1000*0.95, "an account gets its rate")
		})
	}
}

// TestAccountInsideItsLimitIsServedByNewArbiters sends what the quota allows, in bursts.
func TestAccountInsideItsLimitIsServedByNewArbiters(t *testing.T) {
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, PlainTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 500}
	f := newQuotaFronts(4, quota)
	for tick := range 2400 {
		if tick%300 == 150 {
			f.newArbiter()
		}
		if tick%50 == 0 { // Half a second's worth at once.
			for i := range 10 {
				require.True(t, f.ask(i, 50), "request %d at %d ms", i, tick*10)
			}
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
}

// TestAccountGetsItsRateAfterAllHostsStartedAgain: what was used before is unknown.
func TestAccountGetsItsRateAfterAllHostsStartedAgain(t *testing.T) {
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, PlainTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 500}
	f := newQuotaFronts(4, quota)
	for i := range f.fronts {
		f.restart(i)
	}
	f.newArbiter()
	refused := 0
	for range 80 {
		f.now = f.now.Add(100 * time.Millisecond)
		if !f.ask(0, 100) {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 2)
}

func TestUseWindowForgetsWhatIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewUseWindow(now)
	w.Add(now, 5)
	w.Add(now.Add(time.Second), 7)
	require.InDelta(t, 12, w.Sum(now.Add(time.Second), 8*time.Second), 0)
	require.InDelta(t, 7, w.Sum(now.Add(9*time.Second), 8*time.Second), 0)
	require.Zero(t, w.Sum(now.Add(time.Minute), 8*time.Second))
	w.Add(now, 3)
	require.Zero(t, w.Sum(now.Add(time.Minute), 8*time.Second), "a use from long ago")
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
	for _, cost := range []float64{900, 140} { // The quota of a window, and most of the tolerated excess.
		_, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = cost })
		require.Len(t, granted(decisions), 1)
	}
	state, wait := other.chargeQuota(b.now, &request{tier: b.shard.tiers[0], Register: wire.Register{Account: "metered", QuotaCost: 100}})
	require.NotNil(t, state)
	require.Equal(t, object.AccountName("metered"), state.Account)
	require.InDelta(t, 100, state.Cost, 0)
	require.Greater(t, state.Used, state.Limit-100)
	require.Positive(t, wait)
}

func TestQuotaOfARequestThatDidNotRunIsGivenBack(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
	for range 20 {
		waiting, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 900 })
		require.Empty(t, decisions)
		require.InDelta(t, 900, b.shard.quotas.accounts["metered"].waitingCost, 0)
		b.shard.Withdraw(b.now, waiting)
	}
	use := b.shard.quotas.accounts["metered"]
	require.Zero(t, use.waitingCost)
	require.InDelta(t, 1, use.granted.Sum(b.now, UseSpan), 0)
}

// TestRequestsThatWaitCountWhenTheyAreSent floods a pool that serves nothing for a while and
// then all at once. What was admitted over ten seconds must not be sent within eight.
func TestRequestsThatWaitCountWhenTheyAreSent(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	blocking, _ := b.ask("first", nil)
	var sent []time.Duration
	began := b.now
	note := func(decisions []Decision) {
		for range granted(decisions) {
			sent = append(sent, b.now.Sub(began))
		}
	}
	flood := func(span time.Duration) {
		for until := b.now.Add(span); b.now.Before(until); {
			for range 20 {
				_, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 10; r.MaxWaitMS = 60_000 })
				note(decisions)
			}
			note(b.advance(100 * time.Millisecond))
		}
	}
	flood(2 * time.Second)
	b.shard.totalSlots = 10_000
	for _, target := range b.shard.targets {
		target.limit = 10_000
	}
	note(b.finish(blocking))
	flood(10 * time.Second)
	for i, at := range sent {
		inWindow := 0
		for _, other := range sent[i:] {
			if other-at < 8*time.Second {
				inWindow += 10
			}
		}
		require.LessOrEqual(t, float64(inWindow), 900*1.1+100)
	}
	require.Greater(t, len(sent), 100)
}

// TestLoweredQuotaComesIntoForceOverAWindow lowers the quota of an account that has used all of
// it, and that keeps to the new one from then on.
func TestLoweredQuotaComesIntoForceOverAWindow(t *testing.T) {
	quota := object.Quota{PerSecond: 1000, Burst: 1000, PlainTokens: 1, Window: object.Duration(8 * time.Second)}
	for _, test := range []struct {
		name      string
		perSecond float64 // Of the new quota.
	}{
		{"to a half", 500},
		{"to a tenth", 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newQuotaFronts(4, &quota)
			spend := func(seconds int, perSecond float64) (refused int) {
				for range seconds * 10 {
					if !f.ask(0, perSecond/10) {
						refused++
					}
					f.now = f.now.Add(100 * time.Millisecond)
				}
				return refused
			}
			require.Zero(t, spend(20, 1000))
			lowered := quota
			lowered.PerSecond = test.perSecond
			f.quota = &lowered
			require.Zero(t, spend(20, test.perSecond), "requests within the new quota")
			require.Positive(t, spend(20, 2*test.perSecond+200), "the new quota is in force")
		})
	}
}

// TestFloodUsesTheWindowFromItsStart replays an account that sends six times as much for
// six seconds. What the window still holds is given out when it is asked for.
func TestFloodUsesTheWindowFromItsStart(t *testing.T) {
	b := newDiscoveredBench(t, 100, 100)
	send := func(perTick int) (refused int) {
		for range perTick {
			_, decisions := b.ask("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
			refused += len(refusals(decisions))
		}
		b.advance(100 * time.Millisecond)
		return refused
	}
	for range 80 {
		send(2)
	}
	early := 0
	for range 10 {
		early += send(60) // 600 at once, after 160 in the last window of 900.
	}
	require.Zero(t, early)
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
