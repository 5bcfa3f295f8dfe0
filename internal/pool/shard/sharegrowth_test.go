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

// growthFronts is the number of fronts that attach to a new arbiter, growthStep the time between two. growthCost is the
// cost of a request in tokens: more than the share of one front allows in growthStep.
const (
	growthFronts = 32
	growthStep   = 8 * time.Millisecond
	growthCost   = 8000
)

// startGrowth is the outcome of the requests of the first third of a second.
type startGrowth struct{ granted, overQuota int }

// playStart lets all fronts of a fleet attach to a new arbiter one after another. Each sends eight
// requests at once. The usage of the last window is unknown, as after a loss of all hosts.
func playStart(t *testing.T, wait time.Duration, fronts int) startGrowth {
	a := newNewArbiter(t, 280)
	a.shard.SetStartWait(wait)
	a.shard.SetShare(a.now, Share{Slots: 1.0 / growthFronts, Quota: 1.0 / growthFronts})
	var result startGrowth
	count := func(decisions []Decision) {
		for _, decision := range decisions {
			switch d := decision.(type) {
			case Grant:
				result.granted++
			case Refuse:
				require.Equal(t, outcome.AccountLimit, d.Reason)
				result.overQuota++
			}
		}
	}
	next := 0
	for front := range fronts {
		a.now = a.now.Add(growthStep)
		id := wire.HostID(fmt.Sprintf("run-%d", front))
		a.shard.quotas.AddReported(a.now, id, wire.Used{StepMS: UsageStep.Milliseconds()})
		share := float64(front+1) / growthFronts
		count(a.shard.SetShare(a.now, Share{Slots: share, Quota: share}))
		for range 8 {
			next++
			count(a.shard.Register(a.now, wire.Register{
				ID: wire.RequestID(fmt.Sprint(next)), Pool: testPool, Account: a.used[0].Account, Tier: "first", Front: id,
				PromptTokens: 1000, OutputTokens: 50, QuotaCost: growthCost, MaxWaitMS: 2000, Phase: wire.Waiting,
			}))
		}
	}
	a.now = a.now.Add(wait)
	count(a.shard.Tick(a.now))
	require.Equal(t, next, result.granted+result.overQuota+a.shard.Waiting())
	return result
}

// TestRequestsWaitForTheShareOfANewArbiter replays the first third of a second of a fleet of 32 hosts: the share of the
// arbiter grows from 1/32 to all. It guards against refusals of requests that the whole quota allows.
func TestRequestsWaitForTheShareOfANewArbiter(t *testing.T) {
	without := playStart(t, 0, growthFronts)
	with := playStart(t, 300*time.Millisecond, growthFronts)
	require.Positive(t, without.overQuota)
	require.Zero(t, with.overQuota)
	require.Greater(t, with.granted, without.granted)
}

// TestWaitForTheShareEnds guards against requests that wait forever, or are granted beyond the share, if the other hosts
// do not attach.
func TestWaitForTheShareEnds(t *testing.T) {
	const wait = 100 * time.Millisecond
	play := playStart(t, wait, 2)
	require.Positive(t, play.overQuota)
	quota := newNewArbiter(t, 1).shard.quota("account-0")
	window := time.Duration(quota.Window)
	share := (quota.PerSecond*window.Seconds() + quota.Burst + quota.AllowedOverage()) * 2 / growthFronts
	// The usage before the start is unknown and may have been as high as the limit.
	allowed := share * (wait + 2*growthStep).Seconds() / window.Seconds()
	require.LessOrEqual(t, float64(play.granted*growthCost), allowed)
}

// TestWithdrawnRequestDoesNotWaitForTheShare guards against a grant of a request whose caller has left.
func TestWithdrawnRequestDoesNotWaitForTheShare(t *testing.T) {
	a := newNewArbiter(t, 280)
	a.shard.SetStartWait(300 * time.Millisecond)
	a.shard.SetShare(a.now, Share{Slots: 1.0 / growthFronts, Quota: 1.0 / growthFronts})
	account := object.AccountName("account-0")
	require.Empty(t, a.shard.Register(a.now, wire.Register{
		ID: "large", Pool: testPool, Account: account, Tier: "first", PromptTokens: 1000, QuotaCost: 1e7, MaxWaitMS: 2000, Phase: wire.Waiting,
	}))
	require.Equal(t, 1, a.shard.Waiting())
	require.Empty(t, a.shard.Withdraw(a.now, "large"))
	require.Zero(t, a.shard.Waiting())
	require.Empty(t, a.shard.SetShare(a.now, Share{1, 1}))
}
