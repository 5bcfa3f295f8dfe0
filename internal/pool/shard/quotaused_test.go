package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// TestGrantsThatWereLostDoNotHideLaterUse replays an arbiter whose grants did not reach a front,
// because the link was cut; the front used as much by the grants of another arbiter meanwhile
// and comes back.
func TestGrantsThatWereLostDoNotHideLaterUse(t *testing.T) {
	const cost, steps = 700.0, 6
	rows := []struct {
		name string
		// costs are what the front tells, the newest first.
		costs []float64
		// recent and all are what must be counted in the last second and in all.
		recent, all float64
	}{
		{"lost, and used elsewhere since", []float64{0, cost, 0, 0, 0, 0, 0}, cost, 2 * cost},
		{"received", []float64{0, 0, 0, 0, 0, 0, cost}, 0, cost},
		{"received a step later", []float64{0, 0, 0, 0, 0, cost, 0}, 0, cost},
		{"received, and used elsewhere since", []float64{0, cost, 0, 0, 0, 0, cost}, cost, 2 * cost},
		{"lost, and nothing used", []float64{0, 0, 0, 0, 0, 0, 0}, 0, cost},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			q := NewQuotas()
			q.AddReported(now, "front", wire.Used{AgeMS: 60000, StepMS: UseStep.Milliseconds()})
			q.recordGrant(now, "a", "front", cost)
			now = now.Add(steps * UseStep)
			q.AddReported(now, "front", wire.Used{
				AgeMS: 60000, StepMS: UseStep.Milliseconds(), Accounts: []wire.AccountUsed{{Account: "a", Costs: row.costs}},
			})
			use := q.account(now, "a")
			require.InDelta(t, row.recent, use.granted.Sum(now, time.Second), 0)
			require.InDelta(t, row.all, use.granted.Sum(now, UseSpan), 0)
		})
	}
}

// TestUseThatIsToldCountsForItsWholeWindow: what a front tells is known by steps only, so an
// arbiter must take the latest time that a use may have had.
func TestUseThatIsToldCountsForItsWholeWindow(t *testing.T) {
	const window, offsets = 8 * time.Second, 10
	begin := time.Unix(1000, 0)
	// The steps of the front and of the arbiter begin at any times, and the use is told at any.
	for number := range offsets * offsets * offsets {
		offset := func(divisor int) time.Duration {
			return time.Duration(number/divisor%offsets) * UseStep / offsets
		}
		used := begin.Add(offset(1))
		front := NewUseWindow(begin)
		front.Add(used, 700)
		told := used.Add(time.Second + offset(offsets))
		q := NewQuotas()
		q.account(begin.Add(-time.Minute+offset(offsets*offsets)), "a")
		q.AddReported(told, "front", wire.Used{
			AgeMS: 60000, StepMS: UseStep.Milliseconds(), Accounts: []wire.AccountUsed{{Account: "a", Costs: front.Recent(told, UseSpan)}},
		})
		last := used.Add(window - time.Millisecond)
		require.InDelta(t, 700, q.account(last, "a").granted.Sum(last, window), 0, "used %v, told %v after the begin", used.Sub(begin), told.Sub(begin))
	}
}

// TestUseOfAFrontThatWasLostElsewhereIsReckonedWith: for three seconds a front is served by
// another arbiter, with which its run is lost. The next run of the host knows nothing of it.
func TestUseOfAFrontThatWasLostElsewhereIsReckonedWith(t *testing.T) {
	const lost = 3 * time.Second
	quota := &object.Quota{PerSecond: 1000, Burst: 1000, PlainTokens: 1, Window: object.Duration(8 * time.Second)}
	limit := quota.PerSecond*8 + quota.Burst
	rows := []struct {
		name string
		// serving is for how long this arbiter has served before, and share its part for the three
		// seconds.
		serving time.Duration
		share   float64
		// quiet is set if no request comes while the host starts again.
		quiet bool
		want  float64
	}{
		{"it was served here all the while", time.Minute, 1, false, 0},
		// It may have used its whole part in a moment.
		{"it was served elsewhere", time.Minute, 0.75, false, limit / 4},
		{"and nobody asked when it came back", time.Minute, 0.75, true, limit / 4},
		{"and this arbiter has served for half a window", 4 * time.Second, 0.75, false, limit / 4},
		// Five seconds before it, three since.
		{"and this arbiter is new", 0, 0.75, false, limit / 4 * (5 + 3) / 8},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			q := NewQuotas()
			for _, front := range []wire.HostID{"a", "b", "c", "d"} {
				q.AddReported(now, front, wire.Used{AgeMS: 60000, StepMS: UseStep.Milliseconds()})
			}
			q.servingSince, q.lastServedAt = now.Add(-row.serving), now
			ask := func(share, cost float64) *QuotaState {
				state, _ := q.admit(now, quota, quotaCharge{account: "x", cost: cost, share: share})
				return state
			}
			require.Nil(t, ask(1, 0))
			for until := now.Add(lost); now.Before(until); now = now.Add(10 * time.Millisecond) {
				require.Nil(t, ask(row.share, 0))
			}
			q.RemoveFront("d")
			now = now.Add(10 * time.Millisecond)
			q.AddReported(now, "d-again", wire.Used{StepMS: UseStep.Milliseconds()})
			if !row.quiet {
				require.Nil(t, ask(row.share, 0))
			}
			now = now.Add(20 * time.Millisecond)
			state := ask(1, 2*limit)
			require.NotNil(t, state)
			require.InDelta(t, row.want, state.Used, limit/100)
			now = now.Add(8 * time.Second)
			require.InDelta(t, 0, ask(1, 2*limit).Used, 0, "a window later nothing is unknown")
		})
	}
}
