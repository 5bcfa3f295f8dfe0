package streamorigin

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// fakeTree is an in-memory store that supports transactions and leases.
type fakeTree struct {
	store.Tree
	revision store.Position
	items    map[string][]byte
	leases   map[string]store.LeaseID
	granted  store.LeaseID
	err      error
}

func (f *fakeTree) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.granted++
	return f.granted, f.err
}

func (f *fakeTree) Txn(_ context.Context, t store.Transaction) (bool, []store.Value, error) {
	if f.err != nil {
		return false, nil, f.err
	}
	f.revision++
	for _, p := range t.Puts {
		f.items[p.Key], f.leases[p.Key] = p.Data, p.Lease
	}
	return true, nil, nil
}

// streams returns all streams that the store holds, with their versions.
func (f *fakeTree) streams(t *testing.T) map[wire.StreamID]object.Generation {
	all := map[wire.StreamID]object.Generation{}
	for key, data := range f.items {
		if !strings.HasPrefix(key, discovery.StreamsKey("p", "")) {
			continue
		}
		require.NotZero(t, f.leases[key], "the store removes it some day")
		batches, err := discovery.DecodeStreams(data)
		require.NoError(t, err)
		for _, b := range batches {
			for _, stream := range b.Streams {
				all[stream] = b.Version
			}
		}
	}
	return all
}

// newController creates a controller of a host that considers itself the arbiter, without its loop.
func newController(t *testing.T, tree store.Tree, versions ...object.Generation) *Controller {
	b := board.New(board.Member{Name: "entry-1", Run: "run-1"})
	b.SetJoined()
	c := common.Discard()
	r := &Controller{common: c, log: c.Log("stream-origins"), board: b, tree: tree, versionsWrittenAt: map[object.PoolName]time.Time{}}
	r.serve(t, 1, versions...)
	return r
}

// serve replaces the targets by one of each version.
func (r *Controller) serve(t *testing.T, revision object.Revision, versions ...object.Generation) {
	snapshot, err := object.Compile(1, "", []object.Object{
		&object.Tier{Name: "tier", Priority: 1},
		&object.Pool{Name: "p", Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true},
		&object.Pool{Name: "plain", Type: object.ServicePool, FixedSlots: true, NonPreemptible: true, Discovered: true},
		&object.Route{
			Name: "r", Host: "h", PathPrefix: "/r/", Execution: object.Stream, Resumable: true, Public: true, Tier: "tier", MaxAttempts: 2,
			Timeout: object.Duration(20 * time.Second), Pools: []object.WeightedPool{{Pool: "p", Weight: 1}},
		},
	})
	require.NoError(t, err)
	var targets []*object.Target
	for _, version := range versions {
		targets = append(targets, &object.Target{Name: object.TargetName("t-" + version), Pool: "p", Address: "http://t", Slots: 1, Generation: version})
	}
	require.True(t, r.board.SetConfig(snapshot.WithTargets(revision, targets)))
}

// TestStreamsAreWrittenWhileVersionsAreMixed writes nothing but the version while there is only one.
func TestStreamsAreWrittenWhileVersionsAreMixed(t *testing.T) {
	now := time.Now()
	tree := &fakeTree{items: map[string][]byte{}, leases: map[string]store.LeaseID{}}
	r := newController(t, tree, "v1")
	r.board.Origins("p").Record(now, 1, "v1")
	require.Equal(t, retryDelay, r.update(context.Background(), now))
	require.Len(t, tree.items, 1, "the version")
	versions, err := discovery.DecodeVersions(tree.items[discovery.VersionsKey("p")])
	require.NoError(t, err)
	r.board.SetVersionRecord("p", board.VersionRecord{Position: tree.revision, Versions: versions})
	require.Zero(t, r.update(context.Background(), now), "nothing to do until the board changes")

	r.serve(t, 2, "v1", "v2")
	now = now.Add(2 * retryDelay)
	require.Equal(t, writeInterval, r.update(context.Background(), now))
	require.Equal(t, map[wire.StreamID]object.Generation{1: "v1"}, tree.streams(t))
	r.board.Origins("p").Record(now, 2, "v2")
	tree.err = errors.New("away")
	require.Equal(t, retryDelay, r.update(context.Background(), now))
	tree.err = nil
	r.update(context.Background(), now.Add(retryDelay))
	require.Equal(t, map[wire.StreamID]object.Generation{1: "v1", 2: "v2"}, tree.streams(t), "also after a failure")
	writes := tree.revision
	r.update(context.Background(), now.Add(retryDelay))
	require.LessOrEqual(t, tree.revision, writes+1, "nothing new but the versions")
}

func TestOnlyTheArbiterWritesVersions(t *testing.T) {
	tree := &fakeTree{items: map[string][]byte{}, leases: map[string]store.LeaseID{}}
	r := newController(t, tree, "v1")
	self := board.Member{Name: "entry-1", Run: "run-1", Leaving: true}
	r.board.SetMembers(&board.Members{Self: self, Live: []board.Member{self, {Name: "entry-2"}}})
	require.Zero(t, r.update(context.Background(), time.Now()))
	require.Empty(t, tree.items)
}

// TestManyStreamsAreWrittenInParts bounds the values.
func TestManyStreamsAreWrittenInParts(t *testing.T) {
	now := time.Now()
	tree := &fakeTree{items: map[string][]byte{}, leases: map[string]store.LeaseID{}}
	r := newController(t, tree, "v1", "v2")
	for i := range 2*maxStreamsPerWrite + 1 {
		r.board.Origins("p").Record(now, wire.StreamID(i+1), "v1")
	}
	r.update(context.Background(), now)
	require.Len(t, tree.streams(t), 2*maxStreamsPerWrite+1)
	require.Len(t, tree.items, 3+1)
}
