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

// oneTree is a store in memory of which only transactions are used.
type oneTree struct {
	store.Tree
	mu       sync.Mutex
	revision int64
	items    map[string]store.Value
	writes   int
	// lost writes are carried out and their answers are lost.
	lost bool
}

func (o *oneTree) Txn(_ context.Context, t store.Transaction) (bool, []store.Value, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range t.Compares {
		if o.items[c.Key].ModRevision != c.ModRevision {
			return false, nil, nil
		}
	}
	o.revision++
	o.writes++
	for _, p := range t.Puts {
		o.items[p.Key] = store.Value{Data: p.Data, ModRevision: o.revision}
	}
	if o.lost {
		return false, nil, store.ErrUnavailable
	}
	return true, nil, nil
}

// record returns what the store holds of the rollout of pool p.
func (o *oneTree) record(t *testing.T) *object.Rollout {
	o.mu.Lock()
	defer o.mu.Unlock()
	value := o.items[discovery.RolloutKey("p")]
	r := &object.Rollout{}
	require.NoError(t, json.Unmarshal(value.Data, r))
	r.RecordRevision = value.ModRevision
	return r
}

type testTranslator struct{ discovery.Translator }

func (testTranslator) RolloutStatus(r *object.Rollout) (store.Put, error) {
	return store.Put{Key: "status", Data: []byte(r.State)}, nil
}

// newController creates a controller of a host that believes to be the arbiter. It does not
// run by itself.
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
	snapshot, err := object.Compile(1, "", []object.Object{&object.Pool{Name: "p", Type: object.ServicePool, Discovered: true, FixedSlots: true, RunToEnd: true}})
	require.NoError(t, err)
	targets := []*object.Target{
		{Name: "old", Pool: "p", Generation: "v1", Slots: 2}, {Name: "new", Pool: "p", Generation: "v2", Slots: 2},
	}
	require.True(t, r.board.SetConfig(snapshot.WithTargets(revision, targets).WithRollouts([]*object.Rollout{spec})))
}

func ordered() *object.Rollout {
	return &object.Rollout{Pool: "p", To: "v2", From: []object.Generation{"v1"}, Order: 3, State: object.RolloutOrdered, Duration: object.Duration(time.Minute)}
}

func newTree() *oneTree { return &oneTree{items: map[string]store.Value{}} }

// TestRolloutHasOneRecordThoughTwoHostsWrite: both take themselves for the arbiter.
func TestRolloutHasOneRecordThoughTwoHostsWrite(t *testing.T) {
	tree := newTree()
	for range 2 {
		r := newController(t, tree)
		r.publish(t, 1, ordered())
		require.Equal(t, 1, r.lookAtAll(t.Context(), time.Now()))
	}
	require.Equal(t, 1, tree.writes)
	require.Equal(t, object.RolloutRunning, tree.record(t).State)
	require.Equal(t, "running", string(tree.items["status"].Data))
}

// TestRolloutRecordIsNotWrittenTwiceAfterALostAnswer: the write was carried out.
func TestRolloutRecordIsNotWrittenTwiceAfterALostAnswer(t *testing.T) {
	tree := newTree()
	tree.lost = true
	r := newController(t, tree)
	r.publish(t, 1, ordered())
	now := time.Now()
	r.lookAtAll(t.Context(), now)
	r.lookAtAll(t.Context(), now.Add(writePause/2))
	require.Equal(t, 1, tree.writes)
	tree.lost = false
	r.lookAtAll(t.Context(), now.Add(2*writePause))
	require.Equal(t, 1, tree.writes, "its condition does not hold any more")
}

// TestRolloutThatHasEndedIsLeftAlone, also by a host that still takes it for running: a
// verdict is never replaced.
func TestRolloutThatHasEndedIsLeftAlone(t *testing.T) {
	tree := newTree()
	late := newController(t, tree)
	first := newController(t, tree)
	first.publish(t, 1, ordered())
	first.lookAtAll(t.Context(), time.Now())
	running := tree.record(t)
	ended := *running
	ended.State = object.RolloutRolledBack
	require.NoError(t, first.write(t.Context(), time.Now(), &ended))

	running.BegunMS -= time.Hour.Milliseconds() // Its time is up, so this host wants to end it.
	late.publish(t, 1, running)
	late.arbiter.Rollout("p")
	late.lookAtAll(t.Context(), time.Now())
	require.Equal(t, object.RolloutRolledBack, tree.record(t).State)
	require.Equal(t, "rolled-back", string(tree.items["status"].Data))
	require.Equal(t, 2, tree.writes)

	first.publish(t, 2, tree.record(t))
	require.Zero(t, first.lookAtAll(t.Context(), time.Now()))
}

func TestRolloutWithoutAnotherVersionIsCompletedAtOnce(t *testing.T) {
	tree := newTree()
	r := newController(t, tree)
	spec := ordered()
	spec.From = nil
	r.publish(t, 1, spec)
	r.lookAtAll(t.Context(), time.Now())
	require.Equal(t, object.RolloutCompleted, tree.record(t).State)
}
