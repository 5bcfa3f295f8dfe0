package rollout

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
)

// fakeTree is an in-memory store that supports only transactions.
type fakeTree struct {
	store.Tree
	mu       sync.Mutex
	revision store.Position
	items    map[string]store.Value
	writes   int
	// loseResponses makes Txn commit and return an error, as if the response was lost.
	loseResponses bool
}

func (f *fakeTree) Txn(_ context.Context, t store.Transaction) (bool, []store.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range t.Compares {
		if f.items[c.Key].ModRevision != c.ModRevision {
			return false, nil, nil
		}
	}
	f.revision++
	f.writes++
	for _, p := range t.Puts {
		f.items[p.Key] = store.Value{Data: p.Data, ModRevision: f.revision}
	}
	if f.loseResponses {
		return false, nil, store.ErrUnavailable
	}
	return true, nil, nil
}

// record returns the stored rollout record of pool p.
func (f *fakeTree) record(t *testing.T) *object.Rollout {
	f.mu.Lock()
	defer f.mu.Unlock()
	value := f.items[discovery.RolloutKey("p")]
	r := &object.Rollout{}
	require.NoError(t, json.Unmarshal(value.Data, r))
	r.RecordRevision = value.ModRevision
	return r
}

type testTranslator struct{ discovery.Translator }

func (testTranslator) RolloutStatus(r *object.Rollout) (store.Put, error) {
	return store.Put{Key: "status", Data: []byte(r.State)}, nil
}

// newController creates a controller of a host that considers itself the arbiter. It does not
// start the controller's loop.
func newController(t *testing.T, tree store.Tree) *Controller {
	c := common.Discard()
	c.Settings.Gateway = &settings.Gateway{Rollout: settings.Rollout{Share: 0.1, Slack: 50}}
	b := board.New(board.Member{Name: "entry-1"})
	b.SetJoined()
	arbiter := front.New(c, b)
	t.Cleanup(func() { require.NoError(t, arbiter.Close()) })
	return &Controller{
		common: c, log: c.Log("rollout"), board: b, tree: tree, translator: testTranslator{}, arbiter: arbiter,
		writtenAt: map[object.PoolName]time.Time{},
	}
}

// publish puts a rollout on the board of a host.
func (r *Controller) publish(t *testing.T, revision object.Revision, spec *object.Rollout) {
	snapshot, err := object.Compile(1, "", []object.Object{&object.Pool{Name: "p", Type: object.ServicePool, Discovered: true, FixedSlots: true, NonPreemptible: true}})
	require.NoError(t, err)
	targets := []*object.Target{
		{Name: "old", Pool: "p", Generation: "v1", Slots: 2}, {Name: "new", Pool: "p", Generation: "v2", Slots: 2},
	}
	require.True(t, r.board.SetConfig(snapshot.WithTargets(revision, targets).WithRollouts([]*object.Rollout{spec})))
}

func orderedRollout() *object.Rollout {
	return &object.Rollout{Pool: "p", To: "v2", From: []object.Generation{"v1"}, OrderRevision: 3, State: object.RolloutOrdered, Duration: object.Duration(time.Minute)}
}

func newFakeTree() *fakeTree { return &fakeTree{items: map[string]store.Value{}} }

// TestConcurrentArbitersWriteOneRecord covers two hosts that both consider themselves the
// arbiter.
func TestConcurrentArbitersWriteOneRecord(t *testing.T) {
	tree := newFakeTree()
	for range 2 {
		r := newController(t, tree)
		r.publish(t, 1, orderedRollout())
		require.Equal(t, 1, r.updateRollouts(t.Context(), time.Now()))
	}
	require.Equal(t, 1, tree.writes)
	require.Equal(t, object.RolloutRunning, tree.record(t).State)
	require.Equal(t, "running", string(tree.items["status"].Data))
}

// TestRecordIsNotWrittenTwiceAfterALostResponse covers a write that was committed although its
// response was lost. Its retry must fail, because the record has a newer revision.
func TestRecordIsNotWrittenTwiceAfterALostResponse(t *testing.T) {
	tree := newFakeTree()
	tree.loseResponses = true
	r := newController(t, tree)
	r.publish(t, 1, orderedRollout())
	now := time.Now()
	r.updateRollouts(t.Context(), now)
	r.updateRollouts(t.Context(), now.Add(writeRetryDelay/2))
	require.Equal(t, 1, tree.writes)
	tree.loseResponses = false
	r.updateRollouts(t.Context(), now.Add(2*writeRetryDelay))
	require.Equal(t, 1, tree.writes, "the revision has changed")
}

// TestEndedRolloutIsNotOverwritten checks that a verdict is never replaced, not even by a host whose
// copy of the record still says that the rollout is running.
func TestEndedRolloutIsNotOverwritten(t *testing.T) {
	tree := newFakeTree()
	stale := newController(t, tree)
	first := newController(t, tree)
	first.publish(t, 1, orderedRollout())
	first.updateRollouts(t.Context(), time.Now())
	running := tree.record(t)
	ended := *running
	ended.State = object.RolloutRolledBack
	require.NoError(t, first.write(t.Context(), time.Now(), &ended))

	running.StartedMS -= time.Hour.Milliseconds() // Its duration has passed, so this host tries to end it.
	stale.publish(t, 1, running)
	stale.arbiter.Rollout("p")
	stale.updateRollouts(t.Context(), time.Now())
	require.Equal(t, object.RolloutRolledBack, tree.record(t).State)
	require.Equal(t, "rolled-back", string(tree.items["status"].Data))
	require.Equal(t, 2, tree.writes)

	first.publish(t, 2, tree.record(t))
	require.Zero(t, first.updateRollouts(t.Context(), time.Now()))
}

func TestRolloutWithoutAnotherVersionCompletesAtOnce(t *testing.T) {
	tree := newFakeTree()
	r := newController(t, tree)
	spec := orderedRollout()
	spec.From = nil
	r.publish(t, 1, spec)
	r.updateRollouts(t.Context(), time.Now())
	require.Equal(t, object.RolloutCompleted, tree.record(t).State)
}
