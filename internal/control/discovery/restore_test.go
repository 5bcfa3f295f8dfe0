package discovery

import (
	"maps"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/member"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

const (
	drainingTarget = `{"pool":"p","zone":"a","address":"http://10.0.0.1:80","slots":7,"drain":true}`
	otherTarget    = `{"pool":"p","zone":"a","address":"http://10.0.0.2:80","slots":7}`
)

// treeCopy is a copy of the content of a fakeTree.
type treeCopy struct {
	revision store.Position
	items    map[string]store.Item
}

func (f *fakeTree) copy() treeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return treeCopy{f.revision, maps.Clone(f.items)}
}

// restore replaces the content by a copy and begins the next era.
func (f *fakeTree) restore(from treeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era() + 1
	f.revision = store.NewPosition(era, from.revision.Revision())
	f.items = map[string]store.Item{}
	f.history = nil
	for key, i := range from.items {
		i.Position = store.NewPosition(era, i.Position.Revision())
		f.items[key] = i
	}
	f.wake()
}

// runInAnEra runs a test with a started controller whose store names an era.
func runInAnEra(t *testing.T, test func(*testing.T, *fixture)) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.restore(f.tree.copy())
		time.Sleep(settleDelay)
		test(t, f)
	})
}

// pass writes unrelated keys until the revision of the store is higher than the given one.
func (f *fakeTree) pass(revision store.Position) {
	for f.current().Revision() <= revision.Revision() {
		f.set("other", "x")
	}
}

// TestChangesAfterARestoreAreSeen restores the store and lets its revisions pass those of before.
func TestChangesAfterARestoreAreSeen(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		older := f.tree.copy()
		f.tree.set("config", "5")
		f.tree.set("targets/i-2", otherTarget)
		waitForBatch()
		before := f.tree.current()
		f.tree.restore(older)
		f.tree.set("targets/i-3", otherTarget)
		f.tree.set("config", "8")
		f.tree.pass(before)
		time.Sleep(settleDelay)
		require.Equal(t, object.Revision(8), f.revision())
		require.ElementsMatch(t, []object.TargetName{"i-1", "i-2", "i-3"}, f.targets(), "i-2 may be written again")
		time.Sleep(expiryGrace)
		require.ElementsMatch(t, []object.TargetName{"i-1", "i-3"}, f.targets(), "i-2 was not written again")
		require.Equal(t, f.tree.current(), f.board.Store().Position)
	})
}

// TestOlderCopyDoesNotReplaceWhatIsKnown restores the store from a copy with earlier states.
func TestOlderCopyDoesNotReplaceWhatIsKnown(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		f.tree.set("targets/gone", readyTarget)
		f.tree.set("targets/draining", readyTarget)
		f.tree.set("targets/sound", readyTarget)
		f.tree.set("config", "3")
		waitForBatch()
		older := f.tree.copy()
		f.tree.remove("targets/gone")
		f.tree.set("targets/draining", drainingTarget)
		f.tree.set("config", "5")
		waitForBatch()
		f.tree.restore(older)
		time.Sleep(settleDelay)
		require.Equal(t, object.Revision(5), f.revision())
		require.ElementsMatch(t, []object.TargetName{"i-1", "sound"}, f.targets())

		// The operator and the targets write again. One target that had left was started again.
		f.tree.set("config", "5")
		f.tree.set("targets/draining", drainingTarget)
		f.tree.set("targets/gone", otherTarget)
		waitForBatch()
		require.Equal(t, object.Revision(5), f.revision())
		require.ElementsMatch(t, []object.TargetName{"i-1", "sound", "gone"}, f.targets())
		f.tree.set("config", "6")
		waitForBatch()
		require.Equal(t, object.Revision(6), f.revision())
	})
}

// TestEntryOfTheCopyIsAppliedOnceItIsWrittenAgain holds the earlier state of a target back, which it writes again
// without a change that a watch reports.
func TestEntryOfTheCopyIsAppliedOnceItIsWrittenAgain(t *testing.T) {
	rows := []struct {
		name    string
		rewrite bool
		after   time.Duration
	}{
		{"written again", true, 2*restoreListInterval + watchTimeout},
		{"not written again, and still listed", false, restoreGrace + 2*restoreListInterval + watchTimeout},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runInAnEra(t, func(t *testing.T, f *fixture) {
				older := f.tree.copy()
				f.tree.remove("targets/i-1")
				waitForBatch()
				require.Empty(t, f.targets())
				f.tree.restore(older)
				time.Sleep(settleDelay)
				require.Empty(t, f.targets(), "the target has left")
				if row.rewrite {
					f.tree.mu.Lock()
					f.tree.revision++
					f.tree.items["targets/i-1"] = store.Item{Key: "targets/i-1", Data: []byte(readyTarget), Position: f.tree.revision}
					f.tree.mu.Unlock()
				}
				read := f.d.currentPosition()
				time.Sleep(row.after)
				require.Equal(t, []object.TargetName{"i-1"}, f.targets())
				changes := f.d.Items(strconv.FormatInt(read.Revision(), 10), strconv.FormatInt(int64(read.Era()), 10), false)
				require.True(t, changes.Partial)
				require.Equal(t, row.rewrite, len(changes.Items) == 1, "a peer that has read this host before gets it")
				lists := f.tree.listCount()
				time.Sleep(time.Minute)
				require.Equal(t, lists, f.tree.listCount(), "the store is not listed any more")
			})
		})
	}
}

// TestStateOfAnEarlierEraIsNeverNewer lets peers report and send states of the era before.
func TestStateOfAnEarlierEraIsNeverNewer(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		old := f.d.currentPosition()
		f.tree.restore(f.tree.copy())
		time.Sleep(settleDelay)
		now := f.d.currentPosition()
		require.Equal(t, old.Revision(), now.Revision())
		require.Greater(t, now, old)
		f.tree.fail(store.ErrUnavailable)
		time.Sleep(maxUnconfirmedAge)
		confirmed := f.board.Store().ConfirmedAt
		f.d.HandlePeerState(member.PeerState{StorePosition: old, StoreAge: 0}, "http://peer")
		require.Equal(t, confirmed, f.board.Store().ConfirmedAt, "an equal number of another era confirms nothing")
		f.d.applyPeerItems(Items{Era: old.Era(), Revision: old.Revision() + 100, Items: []store.Item{{Key: "targets/i-9", Data: []byte(readyTarget), Position: old + 100}}}, "http://peer")
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
	})
}

// TestPeerTellsAConfigurationThatTheCopyLacks starts a host that reads the older configuration of a copy.
func TestPeerTellsAConfigurationThatTheCopyLacks(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		f.tree.restore(f.tree.copy())
		time.Sleep(settleDelay)
		now := f.d.currentPosition()
		peer := newerPeer{"http://peer", now, 7}
		require.True(t, f.d.stillLacks(peer))
		f.d.applyPeerItems(Items{Era: now.Era(), Revision: now.Revision(), Items: []store.Item{
			{Key: "config", Data: []byte("7"), Position: store.NewPosition(1, now.Revision()+20)},
		}}, "http://peer")
		require.Equal(t, object.Revision(7), f.revision())
		require.False(t, f.d.stillLacks(peer))
		require.ElementsMatch(t, []object.TargetName{"i-1"}, f.targets(), "the rest of the items is of the same position")
	})
}

// TestPeersGetAllItemsOfAnotherEra reads items from a host in another era, and as an earlier build does.
func TestPeersGetAllItemsOfAnotherEra(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		f.tree.restore(f.tree.copy())
		time.Sleep(settleDelay)
		rows := []struct {
			name, since, era string
			partial          bool
		}{
			{"the era before", "1", "1", false},
			{"the same era", "3", "2", true},
			{"an earlier build", "3", "", true},
			{"nothing", "", "", false},
		}
		for _, row := range rows {
			got := f.d.Items(row.since, row.era, false)
			require.Equal(t, row.partial, got.Partial, row.name)
			require.Equal(t, store.Era(2), got.Era, row.name)
		}
	})
}

// TestRecordOfARolloutOutlivesAnOlderCopy restores the store from a copy in which a rollout still runs, or has not begun.
func TestRecordOfARolloutOutlivesAnOlderCopy(t *testing.T) {
	const order = `{"pool":"p","to":"2","duration":"6s"}`
	record := func(f *fixture, state string) string {
		return `{"pool":"p","to":"2","from":["1"],"order":` + f.orderPosition() + `,"state":"` + state + `","begun-ms":1,"duration":"6s"}`
	}
	for _, stored := range []string{"", "running"} {
		t.Run("stored "+stored, func(t *testing.T) {
			runInAnEra(t, func(t *testing.T, f *fixture) {
				f.tree.set("orders/p", order)
				if stored != "" {
					f.tree.set(RolloutKey("p"), record(f, stored))
				}
				waitForBatch()
				older := f.tree.copy()
				f.tree.set(RolloutKey("p"), record(f, "rolled-back"))
				waitForBatch()
				f.tree.restore(older)
				time.Sleep(settleDelay)
				f.tree.set("orders/p", order)
				waitForBatch()
				synctest.Wait()
				rollouts := f.board.Config().Rollouts()
				require.Len(t, rollouts, 1)
				rollout := rollouts["p"]
				require.Equal(t, object.RolloutRolledBack, rollout.State)
				require.True(t, rollout.Unsaved, "the arbiter writes the record again")
				require.Equal(t, stored == "", rollout.RecordRevision == 0)
			})
		})
	}
}

// TestStateOfAnEarlierBuildIsNoRestore starts a host that has read its state from a peer that knows no eras.
func TestStateOfAnEarlierBuildIsNoRestore(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.d.applyPeerItems(Items{Revision: 90, Items: []store.Item{{Key: "targets/i-1", Data: []byte(drainingTarget), Position: 90}}}, "http://peer")
		f.tree.restore(f.tree.copy())
		time.Sleep(watchTimeout + settleDelay)
		require.Equal(t, store.Era(1), f.d.currentPosition().Era())
		require.Equal(t, []object.TargetName{"i-1"}, f.targets(), "the store is believed at once")
	})
}

// TestTwoRestoresWithinSecondsAreFollowed restores the store again, from a still older copy, while entries of the first
// copy are held back.
func TestTwoRestoresWithinSecondsAreFollowed(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		oldest := f.tree.copy()
		f.tree.set("targets/i-2", otherTarget)
		waitForBatch()
		older := f.tree.copy()
		f.tree.remove("targets/i-2")
		f.tree.set("config", "4")
		waitForBatch()
		f.tree.restore(older)
		time.Sleep(settleDelay)
		require.Equal(t, []object.TargetName{"i-1"}, f.targets(), "i-2 has left")
		f.tree.set("config", "7")
		waitForBatch()
		f.tree.restore(oldest)
		time.Sleep(settleDelay)
		require.Equal(t, object.Revision(7), f.revision())
		require.Equal(t, []object.TargetName{"i-1"}, f.targets())
		f.tree.set("targets/i-2", otherTarget)
		f.tree.set("config", "9")
		waitForBatch()
		require.Equal(t, object.Revision(9), f.revision())
		require.ElementsMatch(t, []object.TargetName{"i-1", "i-2"}, f.targets())
		require.Equal(t, store.Era(3), f.board.Store().Position.Era())
	})
}

// TestRecordsThatTheCopyHasUnchangedCanBeReplaced restores the store from a copy with the same records. Their positions are
// those of the new era, or this host could not replace them by compare-and-swap.
func TestRecordsThatTheCopyHasUnchangedCanBeReplaced(t *testing.T) {
	runInAnEra(t, func(t *testing.T, f *fixture) {
		f.tree.set(HeldPrefixesKey("p"), `[{"pool":"p","prefix":7,"version":4,"state":"held","crashes":6}]`)
		f.tree.set(QuotaBurstsKey, `{"a":0.4}`)
		f.tree.set(RolloutKey("p"), `{"pool":"p","to":"v2","state":"running"}`)
		waitForBatch()
		position := func(key string) store.Position { return f.tree.copy().items[key].Position }
		rolloutPosition := func() store.Position { return f.board.Config().Rollout("p").RecordRevision }
		require.Equal(t, position(RolloutKey("p")), rolloutPosition())
		f.tree.restore(f.tree.copy())
		time.Sleep(settleDelay)
		require.Equal(t, position(HeldPrefixesKey("p")), f.board.PrefixRecord("p").Position)
		require.Len(t, f.board.PrefixRecord("p").Held, 1)
		require.Equal(t, position(QuotaBurstsKey), f.board.BurstRecord().Position)
		require.Equal(t, position(RolloutKey("p")), rolloutPosition())
	})
}
