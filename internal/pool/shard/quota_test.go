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

// quotaSetup simulates fronts that use the quota of one account through changing arbiters.
type quotaSetup struct {
	now    time.Time
	quota  *object.Quota
	quotas *Quotas
	// previous is a former arbiter that is not in use.
	previous *Quotas
	fronts   []*quotaFront
	used     float64
}

type quotaFront struct {
	id        wire.HostID
	startedAt time.Time
	usage     *UsageWindow
}

func newQuotaSetup(count int, quota *object.Quota) *quotaSetup {
	f := &quotaSetup{now: time.Unix(1000, 0), quota: quota}
	for i := range count {
		f.fronts = append(f.fronts, &quotaFront{id: wire.HostID(fmt.Sprint("front-", i)), startedAt: f.now.Add(-time.Minute), usage: NewUsageWindow(f.now)})
	}
	f.newArbiter()
	return f
}

// newArbiter replaces the arbiter. All fronts report their usage to the new one.
func (f *quotaSetup) newArbiter() {
	f.quotas = NewQuotas()
	for _, front := range f.fronts {
		f.report(front)
	}
}

func (f *quotaSetup) report(front *quotaFront) {
	used := wire.Used{AgeMS: f.now.Sub(front.startedAt).Milliseconds(), StepMS: UsageStep.Milliseconds()}
	used.Accounts = []wire.AccountUsed{{Account: "a", Costs: front.usage.Recent(f.now, MaxUsageWindow)}}
	f.quotas.AddReported(f.now, front.id, used)
}

// restart replaces a front by one without recorded usage.
func (f *quotaSetup) restart(i int) {
	f.quotas.RemoveFront(f.fronts[i].id)
	f.fronts[i] = &quotaFront{id: f.fronts[i].id + "+", startedAt: f.now, usage: NewUsageWindow(f.now)}
	f.report(f.fronts[i])
}

// send sends one request and reports whether it was granted.
func (f *quotaSetup) send(i int, cost float64) bool {
	front := f.fronts[i%len(f.fronts)]
	state, _ := f.quotas.admit(f.now, f.quota, quotaCharge{account: "a", cost: cost, share: 1})
	if state == nil {
		f.quotas.recordGrant(f.now, "a", front.id, cost, 8*time.Second)
		front.usage.Add(f.now, cost)
		f.used += cost
	}
	return state == nil
}

// flood sends requests until one is refused.
func (f *quotaSetup) flood() {
	for i := 0; f.send(i, 5); i++ {
	}
}

// TestNewArbitersKeepTheLimit lets an account use all of its quota while arbiters and fronts are
// replaced. A new arbiter knows earlier usage only from the reports of the fronts. If it counted
// too little of it, the account would exceed its limit within a window.
func TestNewArbitersKeepTheLimit(t *testing.T) {
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, DefaultTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 500}
	allowed := (1000*8+1000)*1.1 + 500.0
	rows := []struct {
		name string
		// event is called every 10 ms with the number of the call.
		event func(f *quotaSetup, tick int)
	}{
		{"one arbiter", func(*quotaSetup, int) {}},
		{"a new arbiter every second", func(f *quotaSetup, tick int) {
			if tick%100 == 50 {
				f.newArbiter()
			}
		}},
		{"two new arbiters in quick succession", func(f *quotaSetup, tick int) {
			if tick == 400 || tick == 410 {
				f.newArbiter()
			}
		}},
		{"links reconnect", func(f *quotaSetup, tick int) {
			if tick%30 == 0 {
				f.report(f.fronts[tick/30%len(f.fronts)])
			}
		}},
		{"the arbiter is disconnected and returns", func(f *quotaSetup, tick int) {
			switch tick {
			case 1000:
				f.previous = f.quotas
				f.newArbiter()
			case 1200:
				f.quotas = f.previous
				for _, front := range f.fronts {
					f.report(front)
				}
			}
		}},
		{"all hosts restart", func(f *quotaSetup, tick int) {
			if tick != 500 {
				return
			}
			for i := range f.fronts {
				f.restart(i)
			}
			f.newArbiter()
		}},
		{"a front restarts", func(f *quotaSetup, tick int) {
			if tick == 500 {
				f.restart(0)
			}
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newQuotaSetup(4, quota)
			var usedAt []float64
			for tick := range 2400 {
				row.event(f, tick)
				f.flood()
				usedAt = append(usedAt, f.used)
				if tick >= 800 {
					require.LessOrEqual(t, f.used-usedAt[tick-800], allowed, "in the 8 s before %d ms", tick*10)
				}
				f.now = f.now.Add(10 * time.Millisecond)
			}
			require.GreaterOrEqual(t, f.used, 24*1000*0.95, "the account gets its full rate")
		})
	}
}

// TestAccountInsideItsLimitIsServedByNewArbiters sends exactly what the quota allows, in bursts.
func TestAccountInsideItsLimitIsServedByNewArbiters(t *testing.T) {
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, DefaultTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 500}
	f := newQuotaSetup(4, quota)
	for tick := range 2400 {
		if tick%300 == 150 {
			f.newArbiter()
		}
		if tick%50 == 0 { // Half a second's quota in one burst.
			for i := range 10 {
				require.True(t, f.send(i, 50), "request %d at %d ms", i, tick*10)
			}
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
}

// TestAccountGetsItsRateAfterAllHostsRestarted checks that an account within its rate is served
// although its earlier usage is unknown.
func TestAccountGetsItsRateAfterAllHostsRestarted(t *testing.T) {
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, DefaultTokens: 1, Window: object.Duration(8 * time.Second), Overage: 0.1, Slack: 500}
	f := newQuotaSetup(4, quota)
	for i := range f.fronts {
		f.restart(i)
	}
	f.newArbiter()
	refused := 0
	for range 80 {
		f.now = f.now.Add(100 * time.Millisecond)
		if !f.send(0, 100) {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 2)
}

func TestUsageWindowDropsOldUsage(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewUsageWindow(now)
	w.Add(now, 5)
	w.Add(now.Add(time.Second), 7)
	require.InDelta(t, 12, w.Sum(now.Add(time.Second), 8*time.Second), 0)
	require.InDelta(t, 7, w.Sum(now.Add(9*time.Second), 8*time.Second), 0)
	require.Zero(t, w.Sum(now.Add(time.Minute), 8*time.Second))
	w.Add(now, 3)
	require.Zero(t, w.Sum(now.Add(time.Minute), 8*time.Second), "usage older than the window")
}

func TestQuotaAdmitsTheToleratedExcess(t *testing.T) {
	b := newDiscoveredBench(t, 100, 100)
	send := func(cost float64) []Decision {
		_, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = cost })
		return decisions
	}
	send(1)
	b.advance(20 * time.Second)
	used := 0
	for range 80 { // Eight seconds at ten times the rate.
		for range 100 {
			used += len(granted(send(1)))
		}
		b.advance(100 * time.Millisecond)
	}
	quota := 100*8 + 100.0
	require.GreaterOrEqual(t, float64(used), quota)
	require.LessOrEqual(t, float64(used), quota*1.1+100)
	over := refusals(send(50))
	require.Len(t, over, 1)
	require.Equal(t, outcome.AccountLimit, over[0].Reason)
	require.Positive(t, over[0].RetryAfter)
}

func TestQuotaIsSharedByThePoolsOfOneArbiter(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1000)
	other := New("other", b.shard.quotas)
	other.Configure(b.now, b.shard.snapshot, nil)
	b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
	b.advance(10 * time.Second)
	for _, cost := range []float64{900, 140} { // The quota of a window and most of the tolerated excess.
		_, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = cost })
		require.Len(t, granted(decisions), 1)
	}
	state, wait := other.chargeQuota(b.now, &request{tier: b.shard.tiers[0], Register: wire.Register{Account: "metered", QuotaCost: 100}})
	require.NotNil(t, state)
	require.Equal(t, object.AccountName("metered"), state.Account)
	require.InDelta(t, 100, state.Cost, 0)
	require.Greater(t, state.Used, state.Limit-100)
	require.Positive(t, wait)
}

func TestQuotaOfARequestThatDidNotRunIsRefunded(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
	for range 20 {
		waiting, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 900 })
		require.Empty(t, decisions)
		require.InDelta(t, 900, b.shard.quotas.accounts["metered"].waitingCost, 0)
		b.shard.Withdraw(b.now, waiting)
	}
	use := b.shard.quotas.accounts["metered"]
	require.Zero(t, use.waitingCost)
	require.InDelta(t, 1, use.granted.Sum(b.now, MaxUsageWindow), 0)
}

// TestWaitingRequestsCountWhenTheyAreGranted floods a pool that is blocked for a while and then
// grants everything. Requests admitted over ten seconds must not be granted within one window of
// eight seconds.
func TestWaitingRequestsCountWhenTheyAreGranted(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	blocking, _ := b.send("first", nil)
	var sent []time.Duration
	startedAt := b.now
	record := func(decisions []Decision) {
		for range granted(decisions) {
			sent = append(sent, b.now.Sub(startedAt))
		}
	}
	flood := func(duration time.Duration) {
		for until := b.now.Add(duration); b.now.Before(until); {
			for range 20 {
				_, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 10; r.MaxWaitMS = 60_000 })
				record(decisions)
			}
			record(b.advance(100 * time.Millisecond))
		}
	}
	flood(2 * time.Second)
	b.shard.totalSlots = 10_000
	for _, target := range b.shard.targets {
		target.limit = 10_000
	}
	record(b.finish(blocking))
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

// TestLoweredQuotaTakesEffectOverAWindow lowers the quota of an account that has used all of it
// and stays within the new quota from then on.
func TestLoweredQuotaTakesEffectOverAWindow(t *testing.T) {
	quota := object.Quota{PerSecond: 1000, Burst: 1000, DefaultTokens: 1, Window: object.Duration(8 * time.Second)}
	for _, test := range []struct {
		name      string
		perSecond float64 // Of the new quota.
	}{
		{"to one half", 500},
		{"to one tenth", 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newQuotaSetup(4, &quota)
			sendFor := func(seconds int, perSecond float64) (refused int) {
				for range seconds * 10 {
					if !f.send(0, perSecond/10) {
						refused++
					}
					f.now = f.now.Add(100 * time.Millisecond)
				}
				return refused
			}
			require.Zero(t, sendFor(20, 1000))
			lowered := quota
			lowered.PerSecond = test.perSecond
			f.quota = &lowered
			require.Zero(t, sendFor(20, test.perSecond), "requests within the new quota")
			require.Positive(t, sendFor(20, 2*test.perSecond+200), "the new quota is active")
		})
	}
}

// TestBurstMayUseTheRestOfTheWindow sends at six times the rate for one second after a quiet
// window. The unused quota of the window must be available immediately.
func TestBurstMayUseTheRestOfTheWindow(t *testing.T) {
	b := newDiscoveredBench(t, 100, 100)
	send := func(perTick int) (refused int) {
		for range perTick {
			_, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
			refused += len(refusals(decisions))
		}
		b.advance(100 * time.Millisecond)
		return refused
	}
	for range 80 {
		send(2)
	}
	refused := 0
	for range 10 {
		refused += send(60) // 600 in one second, after 160 in the last window of 900.
	}
	require.Zero(t, refused)
}

// TestAccountsAreServedAfterAllHostsRestarted simulates the first second after a restart of all
// hosts. Fronts connect to the new arbiter one after another, while the callers of an account
// within its limit retry together. They must not be refused because the share of the new arbiter
// is still growing.
func TestAccountsAreServedAfterAllHostsRestarted(t *testing.T) {
	b := newDiscoveredBench(t, 10, 100)
	refused := 0
	for front := 1; front <= 6; front++ {
		share := float64(front) / 6
		b.shard.SetShare(b.now, Share{Slots: share, Quota: share})
		for range 5 {
			_, decisions := b.send("first", func(r *wire.Register) { r.Account = "metered"; r.QuotaCost = 1 })
			refused += len(refusals(decisions))
		}
		b.advance(10 * time.Millisecond)
	}
	require.LessOrEqual(t, refused, 3, "30 requests of an account that may send 100 at once")
}
