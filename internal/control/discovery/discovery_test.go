package discovery

import (
	"errors"
	"fmt"
	"strconv"
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

const readyTarget = `{"pool":"p","zone":"a","address":"http://10.0.0.1:80","slots":7}`

func TestChangesReachTheBoard(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		require.Equal(t, object.Revision(1), f.revision())
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		f.tree.set("config", "5")
		f.tree.set("targets/i-2", readyTarget)
		waitForBatch()
		require.Equal(t, object.Revision(5), f.revision())
		require.Equal(t, []object.TargetName{"i-1", "i-2"}, f.targets())
		f.tree.remove("targets/i-1")
		waitForBatch()
		require.Equal(t, []object.TargetName{"i-2"}, f.targets())
	})
}

func TestOlderOrInvalidConfigurationIsIgnored(t *testing.T) {
	rows := []struct{ name, data string }{
		{"older version", "3"},
		{"not readable", "{"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithController(t, func(t *testing.T, f *fixture) {
				f.tree.set("config", "4")
				waitForBatch()
				f.tree.set("config", row.data)
				waitForBatch()
				require.Equal(t, object.Revision(4), f.revision())
				f.tree.remove("config")
				waitForBatch()
				require.Equal(t, object.Revision(4), f.revision())
			})
		})
	}
}

func TestInvalidTargetEntriesAreIgnored(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.set("targets/i-2", "\x00")
		f.tree.set("targets/i-3", `{"pool":"p","zone":"a","address":"nowhere","slots":7}`)
		f.tree.set("targets/NOT A NAME", readyTarget)
		waitForBatch()
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		f.tree.set("targets/i-1", "broken")
		waitForBatch()
		require.Empty(t, f.targets())
	})
}

func TestStoreIsListedAgainAfterCompaction(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.fail(store.ErrCompacted)
		f.tree.mu.Lock()
		f.tree.err = nil
		f.tree.mu.Unlock()
		f.tree.set("config", "9")
		waitForBatch()
		require.Equal(t, object.Revision(9), f.revision())
	})
}

// TestTargetsThatExpireInAnOutageAreKeptForAGracePeriod lets entries expire during a store
// outage. A target whose owner writes its entry again stays in use; the other is removed after
// the grace period.
func TestTargetsThatExpireInAnOutageAreKeptForAGracePeriod(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.set("targets/i-2", readyTarget)
		waitForBatch()
		f.tree.fail(errors.New("down"))
		time.Sleep(5 * time.Second)
		require.Equal(t, []object.TargetName{"i-1", "i-2"}, f.targets())
		f.tree.remove("targets/i-1")
		f.tree.remove("targets/i-2")
		f.tree.fail(nil)
		time.Sleep(maxRetryDelay + settleDelay)
		require.Equal(t, []object.TargetName{"i-1", "i-2"}, f.targets(), "the owners may write both entries again")
		f.tree.set("targets/i-2", readyTarget)
		time.Sleep(expiryGrace + settleDelay)
		require.Equal(t, []object.TargetName{"i-2"}, f.targets())
	})
}

const settleDelay = 300 * time.Millisecond

func TestTargetDeletedWithoutOutageIsRemovedAtOnce(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		time.Sleep(time.Minute)
		f.tree.remove("targets/i-1")
		waitForBatch()
		require.Empty(t, f.targets())
	})
}

func TestOnlyItemsOfANewerPeerAreApplied(t *testing.T) {
	rows := []struct {
		name     string
		position store.Position
		want     object.Revision
	}{
		{"newer revision", 100, 8},
		{"older revision", 1, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithController(t, func(t *testing.T, f *fixture) {
				f.tree.fail(errors.New("cut off"))
				waitForBatch()
				f.d.applyPeerItems(Items{Revision: row.position.Revision(), Items: []store.Item{
					{Key: "config", Data: []byte("8"), Position: row.position},
					{Key: "targets/i-1", Data: []byte(readyTarget), Position: row.position},
				}}, "http://peer")
				require.Equal(t, row.want, f.revision())
			})
		})
	}
}

// TestPeerDeletionIsAppliedWhileOnlyThisHostIsCutOff covers a host whose store calls fail while
// its peers still confirm the state of the store. This is no store outage, so a target that a
// peer reports as deleted must be removed without a grace period.
func TestPeerDeletionIsAppliedWhileOnlyThisHostIsCutOff(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.fail(errors.New("cut off"))
		for range 20 {
			f.d.HandlePeerState(member.PeerState{StorePosition: f.d.currentPosition(), StoreAge: time.Second}, "http://peer")
			time.Sleep(500 * time.Millisecond)
		}
		position := f.d.currentPosition() + 1
		f.d.applyPeerItems(Items{Revision: position.Revision(), Partial: true, Items: []store.Item{{Key: "targets/i-1", Position: position, Deleted: true}}}, "http://peer")
		require.Empty(t, f.targets())
	})
}

// TestTargetDeletedBeforeACompactionIsRemovedAtOnce deletes a target whose deletion event is lost
// to a compaction of the store's history. The next list of the store shows that it is missing.
func TestTargetDeletedBeforeACompactionIsRemovedAtOnce(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.mu.Lock()
		f.tree.revision++
		delete(f.tree.items, "targets/i-1")
		f.tree.mu.Unlock()
		f.tree.fail(store.ErrCompacted)
		synctest.Wait()
		f.tree.fail(nil)
		time.Sleep(settleDelay)
		require.Empty(t, f.targets())
	})
}

// TestTargetDeletedInAnOutageOfAPeerIsKeptForAGracePeriod applies a deletion from a peer that has
// seen a store outage. The host must keep the target as if it had seen the outage itself.
func TestTargetDeletedInAnOutageOfAPeerIsKeptForAGracePeriod(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		position := f.d.currentPosition() + 50
		f.d.applyPeerItems(Items{
			Revision: position.Revision(), Partial: true, OutageAgeMS: 500,
			Items: []store.Item{{Key: "targets/i-1", Position: position, Deleted: true}},
		}, "http://peer")
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		time.Sleep(expiryGrace + settleDelay)
		require.Empty(t, f.targets())
	})
}

// TestNonWatchingHostMakesNoStoreCallsWhilePeersConfirm guards the load on the store: a host that
// is not a watcher calls it only when peers stop confirming the revision.
func TestNonWatchingHostMakesNoStoreCallsWhilePeersConfirm(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		self := f.board.Members().Self
		members := &board.Members{Self: self, Live: []board.Member{self}}
		for i := range 500 {
			members.Live = append(members.Live, board.Member{Name: fmt.Sprint("peer-", i)})
		}
		f.board.SetMembers(members)
		require.False(t, f.d.isWatcher())
		time.Sleep(watchTimeout + time.Second) // The running watch call ends.
		before := f.tree.watchCount()
		for range 30 {
			f.d.HandlePeerState(member.PeerState{StorePosition: f.d.currentPosition(), StoreAge: time.Second}, "http://peer")
			time.Sleep(time.Second)
		}
		require.Equal(t, before, f.tree.watchCount())
		time.Sleep(maxUnconfirmedAge + time.Second)
		synctest.Wait()
		require.Greater(t, f.tree.watchCount(), before, "no peer confirms the revision")
	})
}

// TestHostDoesNotWatchBeforeItHasJoined starts a host that has not found the others yet, while
// all targets register. It must not select itself as one of the few hosts that watch the store.
func TestHostDoesNotWatchBeforeItHasJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		tree.set("config", "1")
		b := board.New(board.Member{Name: "entry-1"})
		d := New(common.Discard(), b, tree, testTranslator{}, http2.New(time.Second, nil))
		for i := range 40 {
			tree.set(fmt.Sprint("targets/i-", i), readyTarget)
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, tree.watchCount(), 2)
		require.NotNil(t, b.Config(), "the configuration is published")
		b.SetJoined()
		time.Sleep(settleDelay)
		require.Greater(t, tree.watchCount(), 2)
		require.NoError(t, d.Close())
	})
}

// TestStoreChangesOlderThanThoseOfAPeerAreIgnored applies the result of a watch call after newer
// changes of a peer. The older change must not restore a target that has been deleted since.
func TestStoreChangesOlderThanThoseOfAPeerAreIgnored(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		before := f.d.currentPosition()
		f.d.applyPeerItems(Items{Revision: (before + 50).Revision(), Items: []store.Item{{Key: "config", Data: []byte("1"), Position: before}}}, "http://peer")
		time.Sleep(expiryGrace + settleDelay)
		require.Empty(t, f.targets())
		f.d.applyChangesAfter([]store.Item{{Key: "targets/i-1", Data: []byte(readyTarget), Position: before + 1}}, before, before+1)
		require.Empty(t, f.targets(), "the target has been deleted since")
	})
}

func TestItemsReturnsAllOrTheRequestedChanges(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		all := f.d.Items("", "", false)
		require.Equal(t, f.board.Store().Position.Revision(), all.Revision)
		require.False(t, all.Partial)
		require.Len(t, all.Items, 2)
		before := strconv.FormatInt(all.Revision, 10)
		f.tree.set("targets/i-2", readyTarget)
		f.tree.remove("targets/i-1")
		waitForBatch()
		synctest.Wait()
		changes := f.d.Items(before, "", false)
		require.True(t, changes.Partial)
		require.Len(t, changes.Items, 2)
	})
}
