package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// fakeTree is a store in memory whose calls can be made to fail.
type fakeTree struct {
	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	history  []store.Item
	err      error
	lists    int
	follows  int
	leases   map[store.LeaseID]bool
	changed  chan struct{}
}

func newFakeTree() *fakeTree {
	return &fakeTree{revision: 1, items: map[string]store.Item{}, leases: map[store.LeaseID]bool{}, changed: make(chan struct{})}
}

func (f *fakeTree) set(key, data string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	item := store.Item{Key: key, Data: []byte(data), Revision: f.revision}
	f.items[key] = item
	f.history = append(f.history, item)
	f.wake()
}

func (f *fakeTree) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.items, key)
	f.history = append(f.history, store.Item{Key: key, Revision: f.revision, Deleted: true})
	f.wake()
}

func (f *fakeTree) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
	f.wake()
}

// followed returns the number of watches so far.
func (f *fakeTree) followed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follows
}

func (f *fakeTree) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeTree) List(context.Context, string) ([]store.Item, int64, error) {
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

func (f *fakeTree) Follow(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	f.mu.Lock()
	f.follows++
	f.mu.Unlock()
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		changed, err, revision := f.changed, f.err, f.revision
		var items []store.Item
		for _, i := range f.history {
			if i.Revision > after {
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
	f.mu.Unlock()
	if err != nil {
		return false, nil, err
	}
	for _, p := range t.Puts {
		f.set(p.Key, string(p.Data))
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

// testTranslator reads a configuration that is just a number, and targets that are named
// by their address.
type testTranslator struct{}

func (testTranslator) ConfigKey() string     { return "config" }
func (testTranslator) TargetsPrefix() string { return "targets/" }

func (testTranslator) Config(data []byte) (object.Revision, []object.Object, error) {
	var revision object.Revision
	if err := json.Unmarshal(data, &revision); err != nil {
		return 0, nil, err
	}
	return revision, []object.Object{&object.Pool{Name: "p", Type: object.EnginePool, Discovered: true}}, nil
}

func (testTranslator) Target(key string, data []byte) (*object.Target, error) {
	var t object.Target
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	t.Name = object.TargetName(key[len("targets/"):])
	return &t, nil
}

const readyTarget = `{"pool":"p","zone":"a","address":"http://10.0.0.1:80","slots":7}`

type fixture struct {
	tree  *fakeTree
	board *board.Board
	d     *Controller
}

// play runs a test in a bubble whose clock only moves when all wait.
func play(t *testing.T, test func(*testing.T, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{tree: newFakeTree(), board: board.New(board.Member{Name: "entry-1"})}
		f.tree.set("config", "1")
		f.tree.set("targets/i-1", readyTarget)
		f.d = New(common.Discard(), f.board, f.tree, testTranslator{}, http2.New(time.Second, nil))
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

// settle passes the pause between two answers.
func settle() { time.Sleep(2 * batchPause) }

func TestChangesReachTheBoard(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		require.Equal(t, object.Revision(1), f.revision())
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		f.tree.set("config", "5")
		f.tree.set("targets/i-2", readyTarget)
		settle()
		require.Equal(t, object.Revision(5), f.revision())
		require.Equal(t, []object.TargetName{"i-1", "i-2"}, f.targets())
		f.tree.remove("targets/i-1")
		settle()
		require.Equal(t, []object.TargetName{"i-2"}, f.targets())
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	rows := []struct{ name, data string }{
		{"older version", "3"},
		{"not readable", "{"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			play(t, func(t *testing.T, f *fixture) {
				f.tree.set("config", "4")
				settle()
				f.tree.set("config", row.data)
				settle()
				require.Equal(t, object.Revision(4), f.revision())
				f.tree.remove("config")
				settle()
				require.Equal(t, object.Revision(4), f.revision())
			})
		})
	}
}

func TestForeignEntriesNameNoTarget(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.tree.set("targets/i-2", "\x00")
		f.tree.set("targets/i-3", `{"pool":"p","zone":"a","address":"nowhere","slots":7}`)
		f.tree.set("targets/NOT A NAME", readyTarget)
		settle()
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		f.tree.set("targets/i-1", "broken")
		settle()
		require.Empty(t, f.targets())
	})
}

func TestStoreIsListedAgainAfterCompaction(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.tree.fail(store.ErrCompacted)
		f.tree.mu.Lock()
		f.tree.err = nil
		f.tree.mu.Unlock()
		f.tree.set("config", "9")
		settle()
		require.Equal(t, object.Revision(9), f.revision())
	})
}

// TestTargetsThatExpireInAnOutageAreKept lets entries lapse while the store is away. Those
// whose owners write again stay in use, the others are taken for gone in the end.
func TestTargetsThatExpireInAnOutageAreKept(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.tree.set("targets/i-2", readyTarget)
		settle()
		f.tree.fail(errors.New("down"))
		time.Sleep(5 * time.Second)
		require.Equal(t, []object.TargetName{"i-1", "i-2"}, f.targets())
		f.tree.remove("targets/i-1")
		f.tree.remove("targets/i-2")
		f.tree.fail(nil)
		time.Sleep(maxRetry + settleTime)
		require.Equal(t, []object.TargetName{"i-1", "i-2"}, f.targets(), "both may come back")
		f.tree.set("targets/i-2", readyTarget)
		time.Sleep(lapseGrace + settleTime)
		require.Equal(t, []object.TargetName{"i-2"}, f.targets())
	})
}

const settleTime = 300 * time.Millisecond

func TestTargetThatLeavesWithoutOutageIsGoneAtOnce(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		time.Sleep(time.Minute)
		f.tree.remove("targets/i-1")
		settle()
		require.Empty(t, f.targets())
	})
}

func TestOnlyANewerPeerIsBelieved(t *testing.T) {
	rows := []struct {
		name     string
		revision int64
		want     object.Revision
	}{
		{"knows more", 100, 8},
		{"knows less", 1, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			play(t, func(t *testing.T, f *fixture) {
				f.tree.fail(errors.New("cut off"))
				settle()
				f.d.takePeer(Items{Revision: row.revision, Items: []store.Item{
					{Key: "config", Data: []byte("8"), Revision: row.revision},
					{Key: "targets/i-1", Data: []byte(readyTarget), Revision: row.revision},
				}}, "http://peer")
				require.Equal(t, row.want, f.revision())
			})
		})
	}
}

// TestHostThatAloneIsCutOffBelievesThatATargetHasGone replays a host that the store does not
// serve while its peers follow it: what they say has gone must not be used any more.
func TestHostThatAloneIsCutOffBelievesThatATargetHasGone(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.tree.fail(errors.New("cut off"))
		for range 20 {
			f.d.Nudge(member.Knowledge{Store: f.d.followed(), StoreAge: time.Second}, "http://peer")
			time.Sleep(500 * time.Millisecond)
		}
		revision := f.d.followed() + 1
		f.d.takePeer(Items{Revision: revision, Partial: true, Items: []store.Item{{Key: "targets/i-1", Revision: revision, Deleted: true}}}, "http://peer")
		require.Empty(t, f.targets())
	})
}

// TestTargetThatLeavesInACompactionIsGoneAtOnce lets a target leave while the history is
// dropped.
func TestTargetThatLeavesInACompactionIsGoneAtOnce(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.tree.mu.Lock()
		f.tree.revision++
		delete(f.tree.items, "targets/i-1")
		f.tree.mu.Unlock()
		f.tree.fail(store.ErrCompacted)
		synctest.Wait()
		f.tree.fail(nil)
		time.Sleep(settleTime)
		require.Empty(t, f.targets())
	})
}

// TestTargetThatAPeerLostInAnOutageIsKept passes the outage of a peer on with its news.
func TestTargetThatAPeerLostInAnOutageIsKept(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		revision := f.d.followed() + 50
		f.d.takePeer(Items{
			Revision: revision, Partial: true, TroubleAgeMS: 500,
			Items: []store.Item{{Key: "targets/i-1", Revision: revision, Deleted: true}},
		}, "http://peer")
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		time.Sleep(lapseGrace + settleTime)
		require.Empty(t, f.targets())
	})
}

// TestHostThatDoesNotWatchAsksNobodyWhilePeersConfirm counts the calls of a host that is not
// among the watching ones.
func TestHostThatDoesNotWatchAsksNobodyWhilePeersConfirm(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		self := f.board.Members().Self
		members := &board.Members{Self: self, Live: []board.Member{self}}
		for i := range 500 {
			members.Live = append(members.Live, board.Member{Name: fmt.Sprint("peer-", i)})
		}
		f.board.SetMembers(members)
		require.False(t, f.d.watches())
		time.Sleep(watchWait + time.Second) // The watch that is under way ends.
		before := f.tree.followed()
		for range 30 {
			f.d.Nudge(member.Knowledge{Store: f.d.followed(), StoreAge: time.Second}, "http://peer")
			time.Sleep(time.Second)
		}
		require.Equal(t, before, f.tree.followed())
		time.Sleep(maxAge + time.Second)
		synctest.Wait()
		require.Greater(t, f.tree.followed(), before, "nobody confirms any more")
	})
}

// TestChangesBeforeThoseOfAPeerAreIgnored lets a watch answer late, after a peer has told
// of newer changes.
func TestChangesBeforeThoseOfAPeerAreIgnored(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		before := f.d.followed()
		f.d.takePeer(Items{Revision: before + 50, Items: []store.Item{{Key: "config", Data: []byte("1"), Revision: before}}}, "http://peer")
		time.Sleep(lapseGrace + settleTime)
		require.Empty(t, f.targets())
		f.d.apply([]store.Item{{Key: "targets/i-1", Data: []byte(readyTarget), Revision: before + 1}}, before, before+1)
		require.Empty(t, f.targets(), "the target is gone since")
	})
}

func TestItemsAreWhatAPeerNeeds(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		all := f.d.Items("")
		require.Equal(t, f.board.Store().Revision, all.Revision)
		require.False(t, all.Partial)
		require.Len(t, all.Items, 2)
		before := strconv.FormatInt(all.Revision, 10)
		f.tree.set("targets/i-2", readyTarget)
		f.tree.remove("targets/i-1")
		settle()
		synctest.Wait()
		changes := f.d.Items(before)
		require.True(t, changes.Partial)
		require.Len(t, changes.Items, 2)
	})
}

func TestRegistrarRegistersAgainWhenItsLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		r := NewRegistrar(common.Discard(), board.New(board.Member{Name: "entry-1", CallerURL: "10.0.0.1:80"}), tree)
		synctest.Wait()
		first := tree.items[HostsPrefix+"entry-1"]
		require.NotEmpty(t, first.Data)
		tree.mu.Lock()
		clear(tree.leases)
		tree.mu.Unlock()
		tree.remove(HostsPrefix + "entry-1")
		time.Sleep(2 * renewInterval)
		synctest.Wait()
		require.Equal(t, first.Data, tree.items[HostsPrefix+"entry-1"].Data)
		require.NoError(t, r.Close())
		require.Empty(t, tree.leases)
	})
}

func TestRegisteredHostsAreListed(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		for i := range 3 {
			f.tree.set(fmt.Sprintf("%sentry-%d", HostsPrefix, i), fmt.Sprintf(`{"name":"entry-%d","zone":"a"}`, i))
		}
		f.tree.set(HostsPrefix+"broken", "{")
		settle()
		synctest.Wait()
		groups, err := f.d.List(context.Background())
		require.NoError(t, err)
		require.Len(t, groups, 3)
	})
}
