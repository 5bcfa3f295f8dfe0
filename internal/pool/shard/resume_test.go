package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// versionBench is a pool whose targets have the given versions and one slot each.
type versionBench struct {
	*bench
	targets  []*object.Target
	snapshot *object.Snapshot
	revision object.Revision
}

func newVersionBench(t *testing.T, versions ...object.Generation) *versionBench {
	b := &versionBench{bench: newDiscoveredBench(t, 0, 1)}
	b.snapshot = b.shard.snapshot
	for i, version := range versions {
		b.targets = append(b.targets, &object.Target{Name: targetName(i), Pool: testPool, Zone: "a", Address: "http://t", Slots: 1, Generation: version})
	}
	b.configure()
	return b
}

// configure applies the targets, and their versions as the host reads them.
func (b *versionBench) configure() []Decision {
	b.revision++
	var listed []*object.Target
	var versions []object.Generation
	for _, t := range b.targets {
		spec := *t
		listed = append(listed, &spec)
		versions = append(versions, t.Generation)
	}
	b.shard.origins.Serve(b.now, time.Minute, versions)
	return b.shard.Configure(b.now, b.snapshot.WithTargets(b.revision+1, listed), nil)
}

func (b *versionBench) begin(stream wire.StreamID) (wire.RequestID, []Decision) {
	b.now = b.now.Add(time.Millisecond)
	return b.send("first", func(r *wire.Register) { r.Stream = stream })
}

func (b *versionBench) resume(stream wire.StreamID) (wire.RequestID, []Decision) {
	b.now = b.now.Add(time.Millisecond)
	return b.send("first", func(r *wire.Register) { r.Resumption = &wire.Resumption{Stream: stream} })
}

// grantOf returns the only grant among decisions.
func grantOf(t *testing.T, decisions []Decision) Grant {
	require.Len(t, granted(decisions), 1)
	for _, d := range decisions {
		if g, isGrant := d.(Grant); isGrant {
			return g
		}
	}
	return Grant{}
}

// TestStreamWaitsForATargetOfItsVersion guards against a stream that goes on at another version because a slot is free
// there, and against one that holds up new streams while it waits.
func TestStreamWaitsForATargetOfItsVersion(t *testing.T) {
	b := newVersionBench(t, "v1", "v2")
	_, decisions := b.begin(1)
	first := grantOf(t, decisions)
	busy, decisions := b.begin(2)
	second := grantOf(t, decisions)
	require.NotEqual(t, first.Target, second.Target)
	b.finish(first.ID)

	resumed, decisions := b.resume(2)
	require.Empty(t, granted(decisions), "the target of its version is busy")
	another, decisions := b.begin(3)
	require.Equal(t, first.Target, grantOf(t, decisions).Target, "a new stream uses the free target")
	third, decisions := b.begin(4)
	require.Empty(t, granted(decisions))

	grant := grantOf(t, b.finish(busy))
	require.Equal(t, resumed, grant.ID, "it keeps its place in the queue")
	require.Equal(t, second.Target, grant.Target)
	require.Equal(t, &wire.Resumption{Version: b.targets[1].Generation, Bound: true}, grant.Resumption)
	require.Equal(t, third, grantOf(t, b.finish(another)).ID)
}

// TestStreamIsRefusedWithoutItsVersion refuses streams that cannot go on, at once and while they wait.
func TestStreamIsRefusedWithoutItsVersion(t *testing.T) {
	b := newVersionBench(t, "v1", "v2")
	_, decisions := b.begin(1)
	first := grantOf(t, decisions)
	_, decisions = b.resume(99)
	require.Equal(t, outcome.StreamUnknown, refusals(decisions)[0].Reason)

	waiting, decisions := b.resume(1)
	require.Empty(t, refusals(decisions))
	for _, target := range b.targets {
		target.Drain = target.Name == first.Target
	}
	decisions = b.configure()
	require.Equal(t, []wire.RequestID{waiting}, []wire.RequestID{refusals(decisions)[0].ID})
	require.Equal(t, outcome.StreamVersionGone, refusals(decisions)[0].Reason)
	_, decisions = b.resume(1)
	require.Equal(t, outcome.StreamVersionGone, refusals(decisions)[0].Reason)
}

// TestNewArbiterLearnsTheVersionsOfRunningStreams registers a running stream at an arbiter that did not grant it.
func TestNewArbiterLearnsTheVersionsOfRunningStreams(t *testing.T) {
	b := newVersionBench(t, "v1", "v2")
	b.shard.Register(b.now, wire.Register{
		ID: "moved", Pool: testPool, Account: "big", Tier: "first", PromptTokens: 1, Phase: wire.Running, Target: targetName(1), Moved: true, Stream: 5,
	})
	b.finish("moved")
	b.now = b.now.Add(time.Second)
	_, decisions := b.resume(5)
	require.Equal(t, targetName(1), grantOf(t, decisions).Target)
}

// TestTargetThatReturnsWithAnotherVersionIsNotUsed replaces the version of a target with free slots under its name.
func TestTargetThatReturnsWithAnotherVersionIsNotUsed(t *testing.T) {
	b := newVersionBench(t, "v1", "v1", "v2")
	id, decisions := b.begin(1)
	require.NotEqual(t, targetName(2), grantOf(t, decisions).Target)
	b.finish(id)
	b.targets[0].Generation, b.targets[0].StartedMS = "v2", 77
	b.targets[1].Generation, b.targets[1].StartedMS = "v2", 78
	b.targets[2].Generation, b.targets[2].StartedMS = "v1", 79
	b.configure()
	_, decisions = b.resume(1)
	require.Equal(t, targetName(2), grantOf(t, decisions).Target, "a version that returns is the same one")
}
