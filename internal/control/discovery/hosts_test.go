package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// zoneMembers returns the members that host number self sees in a zone of n hosts. The last
// strong hosts have a higher capacity.
func zoneMembers(self, n, strong int) *board.Members {
	view := &board.Members{Registered: n}
	for i := range n {
		m := board.Member{Name: fmt.Sprintf("entry-%d", i), Zone: "a", Run: "run", PeerURL: "http://p", Capacity: 0.2}
		if i >= n-strong {
			m.Capacity = 0.8
		}
		view.Live = append(view.Live, m)
	}
	view.Self = view.Live[self]
	return view
}

func listedNames(t *testing.T, l *HostList) []string {
	groups, err := l.List(context.Background())
	require.NoError(t, err)
	var names []string
	for _, g := range groups {
		names = append(names, g.Labels[hosts.LabelName])
	}
	return names
}

// TestOneHostOfAZoneWritesItsList runs all hosts of a zone with the same members. One host writes
// the list, and none writes it again while nothing changes.
func TestOneHostOfAZoneWritesItsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		var lists []*HostList
		for i := range 6 {
			b := board.New(zoneMembers(i, 6, 2).Self)
			b.SetMembers(zoneMembers(i, 6, 2))
			lists = append(lists, NewHostList(common.Discard(), b, tree))
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, listedNames(t, lists[0]), 6)
		require.Equal(t, store.Position(2), tree.current(), "written once")
		for _, l := range lists {
			require.NoError(t, l.Close())
		}
	})
}

// TestListIsUpdatedWhenHostsOrTheStoredItemChange removes hosts, then overwrites the stored item
// with invalid data.
func TestListIsUpdatedWhenHostsOrTheStoredItemChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		b := board.New(zoneMembers(2, 3, 1).Self)
		b.SetMembers(zoneMembers(2, 3, 1))
		l := NewHostList(common.Discard(), b, tree)
		time.Sleep(updateInterval)
		require.Equal(t, []string{"entry-0", "entry-1", "entry-2"}, listedNames(t, l))
		fewer := zoneMembers(2, 3, 1)
		fewer.Live[1].Leaving = true
		fewer.Live = fewer.Live[1:]
		b.SetMembers(fewer)
		time.Sleep(minWriteInterval + updateInterval)
		require.Equal(t, []string{"entry-2"}, listedNames(t, l))
		tree.set(HostsPrefix+"a", "{")
		time.Sleep(recheckInterval + updateInterval)
		require.Equal(t, []string{"entry-2"}, listedNames(t, l))
		require.NoError(t, l.Close())
	})
}

// TestIsolatedHostKeepsOthersOnTheList starts a host that reaches no other host. It adds itself
// to the list after a delay that grows as its capacity falls, and removes no other host.
func TestIsolatedHostKeepsOthersOnTheList(t *testing.T) {
	rows := []struct {
		name     string
		capacity float64
		before   string
		want     []string
	}{
		{"first host", 0.8, "", []string{"entry-5"}},
		{"first host, low capacity", 0.2, "", []string{"entry-5"}},
		{"others are listed", 0.8, `{"hosts":[{"name":"entry-1","zone":"a"}]}`, []string{"entry-1", "entry-5"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tree := newFakeTree()
				if row.before != "" {
					tree.set(HostsPrefix+"a", row.before)
				}
				b := board.New(board.Member{Name: "entry-5", Zone: "a", Capacity: row.capacity})
				l := NewHostList(common.Discard(), b, tree)
				before := tree.current()
				time.Sleep(registrationDelay(row.capacity) - time.Millisecond)
				synctest.Wait()
				require.Equal(t, before, tree.current(), "too early")
				time.Sleep(2 * updateInterval)
				require.Equal(t, row.want, listedNames(t, l))
				require.NoError(t, l.Close())
				require.Equal(t, row.want[:len(row.want)-1], append([]string{}, listedNames(t, l)...), "it removes itself")
			})
		})
	}
}

// silentTree is a store that does not answer once it is silent.
type silentTree struct {
	*fakeTree
	silent atomic.Bool
}

func (s *silentTree) List(ctx context.Context, prefix string) ([]store.Item, store.Position, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.fakeTree.List(ctx, prefix)
}

// TestSilentStoreHoldsUpAStopOnce closes the list of the last host of a zone twice, as a planned stop does: when it
// begins and after all requests have ended. A host that waited for the store again at its end was killed by its
// supervisor, 8 s after the begin.
func TestSilentStoreHoldsUpAStopOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := &silentTree{fakeTree: newFakeTree()}
		l := NewHostList(common.Discard(), board.New(board.Member{Name: "entry-5", Zone: "a", Capacity: 0.8}), tree)
		time.Sleep(2 * updateInterval)
		tree.silent.Store(true)
		begin := time.Now()
		require.NoError(t, l.Close())
		require.Equal(t, leaveTimeout, time.Since(begin))
		begin = time.Now()
		require.NoError(t, l.Close())
		require.Zero(t, time.Since(begin))
	})
}

// TestLastOfTheStoppingHostsLeavesTheList stops two hosts of a zone, of which the other one leaves after the list of
// this one is closed. Without another call, the hosts that start next would find this one on the list.
func TestLastOfTheStoppingHostsLeavesTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		b := board.New(zoneMembers(1, 2, 1).Self)
		b.SetMembers(zoneMembers(1, 2, 1))
		l := NewHostList(common.Discard(), b, tree)
		time.Sleep(updateInterval)
		require.NoError(t, l.Close())
		require.Equal(t, []string{"entry-0", "entry-1"}, listedNames(t, l), "the other host still runs")
		alone := zoneMembers(1, 2, 1)
		alone.Live = alone.Live[1:]
		b.SetMembers(alone)
		l.Leave()
		require.Equal(t, []string{"entry-0"}, listedNames(t, l))
	})
}

func TestListIsWrittenAfterAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		tree.fail(errors.New("down"))
		b := board.New(zoneMembers(1, 2, 1).Self)
		b.SetMembers(zoneMembers(1, 2, 1))
		l := NewHostList(common.Discard(), b, tree)
		time.Sleep(20 * time.Second)
		tree.fail(nil)
		time.Sleep(minWriteInterval + updateInterval)
		require.Len(t, listedNames(t, l), 2)
		require.NoError(t, l.Close())
	})
}

// TestStaleInitialListIsNotPublished starts a host whose first read of the store returns an old
// list. A target that was deleted since and a configuration that was replaced since must never
// reach the board, not even briefly.
func TestStaleInitialListIsNotPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		tree.set("config", "1")
		tree.set("targets/i-1", readyTarget)
		tree.freezeStaleList()
		tree.set("config", "5")
		tree.remove("targets/i-1")
		tree.set("targets/i-2", readyTarget)
		f := &fixture{tree: tree, board: board.New(board.Member{Name: "entry-1"})}
		seen := f.board.Changed()
		f.d = New(common.Discard(), f.board, tree, testTranslator{}, http2.New(time.Second, nil))
		synctest.Wait()
		require.Nil(t, f.board.Config(), "nothing is confirmed yet")
		require.Zero(t, f.board.Store().Position)
		select {
		case <-seen:
			require.Fail(t, "the board has changed")
		default:
		}
		time.Sleep(startupPeerWait + 10*time.Millisecond)
		require.Equal(t, object.Revision(5), f.revision())
		require.Equal(t, []object.TargetName{"i-2"}, f.targets())
		require.NoError(t, f.d.Close())
	})
}
