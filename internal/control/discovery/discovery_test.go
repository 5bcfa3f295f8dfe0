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

// TestHostThatKnowsNoOtherDoesNotWatch starts a host that has not found the others yet, while
// all targets register. It must not take itself for one of the few that watch the store.
func TestHostThatKnowsNoOtherDoesNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		tree.set("config", "1")
		b := board.New(board.Member{Name: "entry-1"})
		d := New(common.Discard(), b, tree, testTranslator{}, http2.New(time.Second, nil))
		for i := range 40 {
			tree.set(fmt.Sprint("targets/i-", i), readyTarget)
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, tree.followed(), 2)
		require.NotNil(t, b.Config(), "it knows what it needs to serve")
		b.SetJoined()
		time.Sleep(settleTime)
		require.Greater(t, tree.followed(), 2)
		require.NoError(t, d.Close())
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
