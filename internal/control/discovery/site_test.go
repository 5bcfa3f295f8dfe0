package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// fakeTree is an in-memory store whose calls can be made to fail.
type fakeTree struct {
	mu       sync.Mutex
	revision store.Position
	items    map[string]store.Item
	history  []store.Item
	err      error
	lists    int
	follows  int
	leases   map[store.LeaseID]bool
	changed  chan struct{}

	stale         []store.Item
	staleRevision store.Position
}

func newFakeTree() *fakeTree {
	return &fakeTree{revision: 1, items: map[string]store.Item{}, leases: map[store.LeaseID]bool{}, changed: make(chan struct{})}
}

func (f *fakeTree) set(key, data string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	item := store.Item{Key: key, Data: []byte(data), Position: f.revision}
	f.items[key] = item
	f.history = append(f.history, item)
	f.wake()
}

func (f *fakeTree) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.items, key)
	f.history = append(f.history, store.Item{Key: key, Position: f.revision, Deleted: true})
	f.wake()
}

func (f *fakeTree) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
	f.wake()
}

// current returns the revision of the store.
func (f *fakeTree) current() store.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// watchCount returns the number of watch calls so far.
func (f *fakeTree) watchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follows
}

func (f *fakeTree) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeTree) List(context.Context, string) ([]store.Item, store.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.err != nil {
		return nil, 0, f.err
	}
	var items []store.Item
	for _, i := range f.items {
		items = append(items, i)
	}
	return items, f.revision, nil
}

// ListStale returns the frozen list if there is one, otherwise the current items.
func (f *fakeTree) ListStale(ctx context.Context, prefix string) ([]store.Item, store.Position, error) {
	f.mu.Lock()
	stale, revision := f.stale, f.staleRevision
	f.mu.Unlock()
	if stale == nil {
		return f.List(ctx, prefix)
	}
	return stale, revision, nil
}

// freezeStaleList makes ListStale return the present items from now on.
func (f *fakeTree) freezeStaleList() {
	items, revision, _ := f.List(context.Background(), "")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale, f.staleRevision = items, revision
}

func (f *fakeTree) WatchChanges(ctx context.Context, _ string, after store.Position, wait time.Duration) ([]store.Item, store.Position, error) {
	f.mu.Lock()
	f.follows++
	f.mu.Unlock()
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		changed, err, revision := f.changed, f.err, f.revision
		if err == nil && revision.Era() != after.Era() {
			err = store.ErrRestored
		}
		var items []store.Item
		for _, i := range f.history {
			if i.Position > after {
				items = append(items, i)
			}
		}
		f.mu.Unlock()
		if err != nil {
			return nil, 0, err
		}
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timeout:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (f *fakeTree) Txn(_ context.Context, t store.Transaction) (bool, []store.Value, error) {
	f.mu.Lock()
	err := f.err
	matched := true
	for _, c := range t.Compares {
		matched = matched && f.items[c.Key].Position == c.ModRevision
	}
	f.mu.Unlock()
	if err != nil || !matched {
		return false, nil, err
	}
	for _, p := range t.Puts {
		f.set(p.Key, string(p.Data))
	}
	for _, key := range t.Deletes {
		f.remove(key)
	}
	return true, nil, nil
}

func (f *fakeTree) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lease := store.LeaseID(len(f.leases) + 1)
	f.leases[lease] = true
	return lease, f.err
}

func (f *fakeTree) KeepAlive(_ context.Context, lease store.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil && !f.leases[lease] {
		return store.ErrNoLease
	}
	return f.err
}

func (f *fakeTree) Revoke(_ context.Context, lease store.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leases, lease)
	return f.err
}

// testTranslator decodes a configuration that consists of its revision, and targets in JSON whose
// names come from their keys.
type testTranslator struct{}

func (testTranslator) ConfigKey() string { return "config" }

func (testTranslator) TargetsPrefix() string { return "targets/" }

func (testTranslator) Config(data []byte) (object.Revision, []object.Object, error) {
	var revision object.Revision
	if err := json.Unmarshal(data, &revision); err != nil {
		return 0, nil, err
	}
	return revision, []object.Object{&object.Pool{Name: "p", Type: object.EnginePool, Discovered: true}}, nil
}

func (testTranslator) RolloutsPrefix() string { return "orders/" }

func (testTranslator) Rollout(data []byte) (*object.Rollout, error) {
	order := &object.Rollout{}
	if err := json.Unmarshal(data, order); err != nil {
		return nil, fmt.Errorf("decode order: %w", err)
	}
	return order, nil
}

func (testTranslator) RolloutStatus(r *object.Rollout) (store.Put, error) {
	return store.Put{Key: "status/" + string(r.Pool), Data: []byte(r.State)}, nil
}

func (testTranslator) Target(key string, data []byte) (*object.Target, error) {
	var t object.Target
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	t.Name = object.TargetName(key[len("targets/"):])
	return &t, nil
}

type fixture struct {
	tree  *fakeTree
	board *board.Board
	d     *Controller
}

// runWithController runs a test with a started controller in a synctest bubble, whose clock
// advances only when all goroutines are blocked.
func runWithController(t *testing.T, test func(*testing.T, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{tree: newFakeTree(), board: board.New(board.Member{Name: "entry-1"})}
		f.tree.set("config", "1")
		f.tree.set("targets/i-1", readyTarget)
		f.board.SetJoined()
		f.d = New(common.Discard(), f.board, f.tree, testTranslator{}, http2.New(time.Second, nil))
		time.Sleep(2 * confirmTimeout)
		synctest.Wait()
		test(t, f)
		require.NoError(t, f.d.Close())
	})
}

func (f *fixture) targets() []object.TargetName {
	synctest.Wait()
	var names []object.TargetName
	for _, t := range f.board.Config().Pool("p").Targets {
		if !t.Drain {
			names = append(names, t.Name)
		}
	}
	return names
}

func (f *fixture) revision() object.Revision {
	synctest.Wait()
	return f.board.Config().Revision
}

// waitForBatch waits until the controller has made its next store call after a batch of changes.
func waitForBatch() { time.Sleep(2 * batchDelay) }

// listCount returns the number of list calls so far.
func (f *fakeTree) listCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

// orderPosition returns the position of the order of the pool p as text.
func (f *fixture) orderPosition() string {
	f.tree.mu.Lock()
	defer f.tree.mu.Unlock()
	return strconv.FormatInt(int64(f.tree.items["orders/p"].Position), 10)
}
