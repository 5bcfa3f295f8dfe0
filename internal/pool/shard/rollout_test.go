package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/object"
)

const rolloutDuration = 10 * time.Second

// rolloutBench creates a pool with four targets of an old version and four of a new one.
func rolloutBench(t *testing.T) *bench {
	b := newDiscoveredBench(t, 0, 0)
	b.shard.SetRolloutLimits(RolloutLimits{Share: 0.1, Slack: 50})
	b.configureRollout(object.RolloutOrdered, nil)
	return b
}

// configureRollout configures the targets of both versions and a rollout.
func (b *bench) configureRollout(state object.RolloutState, evidence []byte) {
	var found []*object.Target
	for n := range 8 {
		version := object.Generation("v1")
		if n >= 4 {
			version = "v2"
		}
		found = append(found, &object.Target{Name: targetName(n), Pool: testPool, Zone: "a", Address: "http://t", Slots: 2, Generation: version})
	}
	spec := &object.Rollout{
		Pool: testPool, To: "v2", From: []object.Generation{"v1"}, OrderRevision: 7, State: state,
		StartedMS: b.now.UnixMilli(), Duration: object.Duration(rolloutDuration), Evidence: evidence,
	}
	b.shard.Configure(b.now, b.shard.snapshot.WithTargets(1, found).WithRollouts([]*object.Rollout{spec}), nil)
}

// serve sends requests that take 20 ms each, one after another, for the given time and counts
// them by version.
func (b *bench) serve(duration time.Duration, fails func(object.Generation) bool) map[object.Generation]int {
	count := map[object.Generation]int{}
	for until := b.now.Add(duration); b.now.Before(until); {
		id, decisions := b.send("first", nil)
		require.Len(b.t, granted(decisions), 1)
		version := b.shard.targets[decisions[0].(Grant).Target].generation
		count[version]++
		b.advance(20 * time.Millisecond)
		failed := fails(version)
		b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Failed: failed, Completed: !failed, PromptTokens: 1, OutputTokens: 9, FirstTokenMS: 5, DecodeUS: 1000})
	}
	return count
}

func never(object.Generation) bool { return false }

func TestRolloutWithoutRecordSendsNothingToTheNewVersion(t *testing.T) {
	b := rolloutBench(t)
	require.Zero(t, b.serve(2*time.Second, never)["v2"])
	_, judged := b.shard.Rollout(b.now)
	require.False(t, judged)
}

func TestRolloutOfAGoodVersionTakesOverBeforeTheOldOneIsStopped(t *testing.T) {
	b := rolloutBench(t)
	b.configureRollout(object.RolloutRunning, nil)
	seen := b.serve(rolloutDuration*8/10, never)
	require.Positive(t, seen["v2"])
	require.LessOrEqual(t, seen["v2"], (seen["v1"]+seen["v2"])/10+1)
	state, _ := b.shard.Rollout(b.now)
	require.Equal(t, trial.Undecided, state.Verdict)
	b.serve(rolloutDuration*19/100, never)
	state, _ = b.shard.Rollout(b.now)
	require.Equal(t, trial.Completed, state.Verdict)
	require.Zero(t, b.serve(time.Second, never)["v1"], "promoted before the record is written")
	b.configureRollout(object.RolloutCompleted, nil)
	require.Zero(t, b.serve(time.Second, never)["v1"], "the old targets are still reported as ready")
}

func TestBadVersionGetsNoMoreRequests(t *testing.T) {
	b := rolloutBench(t)
	b.configureRollout(object.RolloutRunning, nil)
	bad := 0
	b.serve(rolloutDuration/2, func(g object.Generation) bool {
		if g == "v2" {
			bad++
		}
		return g == "v2"
	})
	state, _ := b.shard.Rollout(b.now)
	require.Equal(t, trial.RolledBack, state.Verdict)
	require.Less(t, bad, 50)
	require.Zero(t, b.serve(time.Second, never)["v2"])
	b.configureRollout(object.RolloutRolledBack, nil)
	require.Zero(t, b.serve(time.Second, never)["v2"], "the new targets are still reported as ready")
}

// TestRolloutContinuesAtAnotherArbiter passes the evidence of one arbiter to another. Evidence
// that cannot be read is ignored.
func TestRolloutContinuesAtAnotherArbiter(t *testing.T) {
	first := rolloutBench(t)
	first.configureRollout(object.RolloutRunning, nil)
	first.serve(rolloutDuration*6/10, never)
	state, _ := first.shard.Rollout(first.now)
	second := rolloutBench(t)
	second.configureRollout(object.RolloutRunning, []byte(fmt.Sprintf(`{"seen-ms":%d,"answers":%d}`, state.Evidence.ElapsedMS, state.Evidence.Answers)))
	taken, _ := second.shard.Rollout(second.now)
	require.Equal(t, state.Evidence.Answers, taken.Evidence.Answers)
	third := rolloutBench(t)
	third.configureRollout(object.RolloutRunning, []byte(`{"answers":"of a build that judges otherwise"}`))
	restarted, judged := third.shard.Rollout(third.now)
	require.True(t, judged)
	require.Zero(t, restarted.Evidence.Answers)
}
