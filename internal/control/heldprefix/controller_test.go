package heldprefix

import (
	"context"
	"sync"
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

// fakeTree is an in-memory store that supports only transactions.
type fakeTree struct {
	store.Tree
	mu       sync.Mutex
	revision store.Position
	items    map[string]store.Value
	err      error
}

func (f *fakeTree) Txn(_ context.Context, t store.Transaction) (bool, []store.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return false, nil, f.err
	}
	for _, c := range t.Compares {
		if f.items[c.Key].ModRevision != c.ModRevision {
			return false, nil, nil
		}
	}
	f.revision++
	for _, p := range t.Puts {
		f.items[p.Key] = store.Value{Data: p.Data, ModRevision: f.revision}
	}
	return true, nil, nil
}

func held(prefix wire.PrefixHash, version int) wire.PrefixNotice {
	return wire.PrefixNotice{Pool: "p", Prefix: prefix, Version: version, State: wire.PrefixHeld, Crashes: 5}
}

// newController creates a controller of a host that considers itself the arbiter, without its loop.
func newController(tree store.Tree) *Controller {
	c := common.Discard()
	b := board.New(board.Member{Name: "entry-1"})
	b.SetJoined()
	return &Controller{common: c, log: c.Log("held-prefix"), board: b, tree: tree, writtenAt: map[object.PoolName]time.Time{}}
}

// readBack puts the stored record on the board, as the host reads it.
func (f *fakeTree) readBack(t *testing.T, b *board.Board) []wire.PrefixNotice {
	value := f.items[discovery.HeldPrefixesKey("p")]
	notices, err := discovery.DecodeHeldPrefixes("p", value.Data)
	require.NoError(t, err)
	b.SetPrefixRecord("p", board.PrefixRecord{Position: value.ModRevision, Held: notices})
	return notices
}

func TestHeldPrefixesAreWrittenOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tree := &fakeTree{items: map[string]store.Value{}}
	r := newController(tree)
	ctx := context.Background()
	require.False(t, r.update(ctx, now), "nothing is known")
	r.board.RecordPrefix(now, wire.PrefixNotice{Pool: "p", Prefix: 9, Version: 1, State: wire.PrefixSuspect})
	require.False(t, r.update(ctx, now), "a suspect prefix is not written")
	r.board.RecordPrefix(now, held(7, 4))
	require.True(t, r.update(ctx, now))
	require.Equal(t, []wire.PrefixNotice{held(7, 4)}, tree.readBack(t, r.board))
	now = now.Add(time.Minute)
	require.False(t, r.update(ctx, now), "the record is up to date")
	require.Equal(t, store.Position(1), tree.revision)

	r.board.RecordPrefix(now, wire.PrefixNotice{Pool: "p", Prefix: 7, Version: 5, State: wire.PrefixCleared})
	require.True(t, r.update(ctx, now))
	require.Empty(t, tree.readBack(t, r.board), "a released prefix is removed")
}

func TestWriteIsTriedAgainAfterAFailureOrAConflict(t *testing.T) {
	now := time.Unix(1000, 0)
	tree := &fakeTree{items: map[string]store.Value{}, err: store.ErrUnavailable}
	r := newController(tree)
	r.board.RecordPrefix(now, held(7, 4))
	require.True(t, r.update(context.Background(), now))
	tree.err = nil
	require.True(t, r.update(context.Background(), now), "not before the delay has passed")
	require.Zero(t, tree.revision)
	tree.items[discovery.HeldPrefixesKey("p")] = store.Value{Data: []byte(`[]`), ModRevision: 30} // Of another host.
	tree.revision = 30
	now = now.Add(writeRetryDelay)
	require.True(t, r.update(context.Background(), now))
	require.Equal(t, store.Position(30), tree.revision, "what another host has written is not replaced unseen")
	tree.readBack(t, r.board)
	now = now.Add(writeRetryDelay)
	require.True(t, r.update(context.Background(), now))
	require.Equal(t, []wire.PrefixNotice{held(7, 4)}, tree.readBack(t, r.board))
}

func TestOnlyTheArbiterWrites(t *testing.T) {
	now := time.Unix(1000, 0)
	tree := &fakeTree{items: map[string]store.Value{}}
	r := newController(tree)
	self := board.Member{Name: "entry-1", Leaving: true}
	r.board.SetMembers(&board.Members{Self: self, Live: []board.Member{self, {Name: "entry-2"}}})
	r.board.RecordPrefix(now, held(7, 4))
	require.False(t, r.update(context.Background(), now))
	require.Zero(t, tree.revision)
}

// TestSuspectRequestsAreWritten guards against a request that crashes three targets more after each loss of all hosts.
func TestSuspectRequestsAreWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	tree := &fakeTree{items: map[string]store.Value{}}
	r := newController(tree)
	suspect := wire.PrefixNotice{Pool: "p", Kind: wire.RequestCause, Prefix: 7, Version: 1, State: wire.PrefixSuspect, Crashes: 2}
	r.board.RecordPrefix(now, suspect)
	require.True(t, r.update(context.Background(), now))
	require.Equal(t, []wire.PrefixNotice{suspect}, tree.readBack(t, r.board))
	now = now.Add(writeRetryDelay)
	suspect.Version, suspect.State, suspect.Crashes, suspect.Checks = 2, wire.PrefixHeld, 3, 1
	r.board.RecordPrefix(now, suspect)
	r.board.RecordPrefix(now, held(7, 4)) // A prefix with the same number is another cause.
	require.True(t, r.update(context.Background(), now))
	require.ElementsMatch(t, []wire.PrefixNotice{held(7, 4), suspect}, tree.readBack(t, r.board))
}
