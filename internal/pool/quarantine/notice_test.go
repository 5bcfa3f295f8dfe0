package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const testPool object.PoolName = "p"

// prompt returns the causes of a request with the given parts of its prompt.
func prompt(parts ...wire.PrefixHash) []wire.Cause { return CausesOf(parts, 0) }

func isHeld(b *Book, now time.Time, pool object.PoolName, causes []wire.Cause) bool {
	_, isHeld := b.HeldCause(now, pool, causes)
	return isHeld
}

func held(prefix wire.PrefixHash, version int) wire.PrefixNotice {
	return wire.PrefixNotice{Pool: testPool, Prefix: prefix, Version: version, State: wire.PrefixHeld, Crashes: 5, Isolated: 3, Requests: 3}
}

func cleared(prefix wire.PrefixHash, version int) wire.PrefixNotice {
	return wire.PrefixNotice{Pool: testPool, Prefix: prefix, Version: version, State: wire.PrefixCleared}
}

// TestNoticesInAnyOrderConverge applies notices of two arbiters in different orders.
func TestNoticesInAnyOrderConverge(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := []struct {
		name    string
		notices []wire.PrefixNotice
		held    bool
	}{
		{"held", []wire.PrefixNotice{held(7, 2)}, true},
		{"held, then released", []wire.PrefixNotice{held(7, 2), cleared(7, 3)}, false},
		{"the release arrives first", []wire.PrefixNotice{cleared(7, 3), held(7, 2)}, false},
		{"two arbiters disagree", []wire.PrefixNotice{cleared(7, 3), held(7, 3)}, true},
		{"two arbiters disagree, in the other order", []wire.PrefixNotice{held(7, 3), cleared(7, 3)}, true},
		{"held again", []wire.PrefixNotice{held(7, 2), cleared(7, 3), held(7, 5)}, true},
		{"another prefix", []wire.PrefixNotice{held(8, 2)}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var book *Book
			tracker := New(testPool)
			for _, n := range row.notices {
				book = book.With(now, n)
				require.Same(t, book, book.With(now, n), "a notice that is known changes nothing")
				tracker.Learn(now, n)
			}
			prefixes := prompt(1, 7, 99)
			require.Equal(t, row.held, isHeld(book, now, testPool, prefixes))
			require.Equal(t, row.held, tracker.IsHeld(now, prefixes))
			require.False(t, isHeld(book, now, "another", prefixes))
			require.False(t, isHeld(book, now, testPool, prompt(1, 7)), "the last prefix belongs to the request itself")
			next := New(testPool)
			for _, n := range book.Notices(now) {
				next.Learn(now, n)
			}
			require.Equal(t, row.held, next.IsHeld(now, prefixes), "the next arbiter knows it")
			require.Empty(t, next.TakeNotices(), "what was learned is not announced again")
		})
	}
}

// TestMemoryIsBounded adds more prefixes than are remembered, in each of them one that is held.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(testPool)
	var book *Book
	tracker.Learn(now, held(1, 1))
	book = book.With(now, held(1, 1))
	for i := range 3 * maxCauses {
		id := wire.RequestID(fmt.Sprint(i))
		prefixes := prompt(wire.PrefixHash(10+i), wire.PrefixHash(1_000_000+i))
		tracker.Ended(now, Attempt{ID: id, Causes: prefixes, Prompt: wire.PrefixHash(1_000_000 + i), Target: "t", End: Broken, LeftAtTarget: 1})
		tracker.TargetEnded(now, "t")
	}
	for i := range maxCauses / 8 {
		book = book.With(now, wire.PrefixNotice{Pool: testPool, Prefix: wire.PrefixHash(10 + i), Version: 1, State: wire.PrefixSuspect})
	}
	require.LessOrEqual(t, len(tracker.causes), maxCauses)
	require.True(t, tracker.IsHeld(now, prompt(1, 2)))
	require.True(t, isHeld(book, now, testPool, prompt(1, 2)))
	later := now.Add(observedRetention + 2*time.Second)
	tracker.Expire(later)
	require.Len(t, tracker.causes, 1, "only the held prefix is remembered for longer")
	require.Len(t, book.Notices(later), 1)
	tracker.Expire(now.Add(heldRetention + 3*time.Second))
	require.Empty(t, tracker.causes)
}

// TestHeldPrefixInUseIsNotForgotten refuses requests of a held prefix for hours.
func TestHeldPrefixInUseIsNotForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(testPool)
	tracker.Learn(now, held(1, 1))
	var book *Book
	for range 300 {
		now = now.Add(time.Minute)
		tracker.Expire(now)
		require.True(t, tracker.IsHeld(now, prompt(1, 2)))
		for _, n := range tracker.TakeNotices() {
			book = book.With(now, n)
		}
	}
	require.True(t, isHeld(book, now, testPool, prompt(1, 2)))
}

func TestCrashIsToldFromLostAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	attempt := func(id wire.RequestID, left int) Attempt {
		return Attempt{ID: id, Causes: prompt(1, 2), Target: "t", End: Broken, LeftAtTarget: left}
	}
	answered := Attempt{ID: "ok", Causes: prompt(5, 6), Target: "t", End: Completed, LeftAtTarget: 1}
	rows := []struct {
		name   string
		events func(tr *Tracker)
		want   int
	}{
		{"one answer is lost", func(tr *Tracker) { tr.Ended(now, attempt("a", 0)) }, 0},
		{"all answers are lost at once", func(tr *Tracker) { tr.Ended(now, attempt("a", 1)); tr.Ended(now, attempt("b", 0)) }, 1},
		{"the target cannot be reached", func(tr *Tracker) { tr.Ended(now, attempt("a", 0)); tr.TargetEnded(now.Add(time.Second), "t") }, 1},
		{"another target cannot be reached", func(tr *Tracker) { tr.Ended(now, attempt("a", 0)); tr.TargetEnded(now.Add(time.Second), "u") }, 0},
		{"the target answers later", func(tr *Tracker) {
			tr.Ended(now, attempt("a", 1))
			tr.Ended(now.Add(time.Second), answered)
			tr.TargetEnded(now.Add(2*time.Second), "t")
		}, 0},
		{"an answer from before the crash is reported late", func(tr *Tracker) {
			tr.Ended(now, attempt("a", 1))
			tr.Ended(now.Add(10*time.Millisecond), answered)
			tr.TargetEnded(now.Add(time.Second), "t")
		}, 1},
		{"the target goes much later", func(tr *Tracker) { tr.Ended(now, attempt("a", 0)); tr.TargetEnded(now.Add(time.Minute), "t") }, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tracker := New(testPool)
			row.events(tracker)
			crashes := 0
			if e := tracker.causes[wire.Cause{Hash: 1}]; e != nil {
				crashes = e.crashes
			}
			require.Equal(t, row.want, crashes)
			require.Nil(t, tracker.causes[wire.Cause{Hash: 2}], "the last prefix belongs to the request itself")
		})
	}
}

// TestReleaseOutlivesOlderNotices releases a prefix. A host that was away for minutes still says that it is held.
func TestReleaseOutlivesOlderNotices(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(testPool)
	var book *Book
	for _, n := range []wire.PrefixNotice{held(1, 4), cleared(1, 5)} {
		tracker.Learn(now, n)
		book = book.With(now, n)
	}
	now = now.Add(20 * time.Minute)
	tracker.Expire(now)
	book = book.With(now, held(2, 1))
	tracker.Learn(now, held(1, 4))
	book = book.With(now, held(1, 4))
	require.False(t, tracker.IsHeld(now, prompt(1, 9)))
	require.False(t, isHeld(book, now, testPool, prompt(1, 9)))
}
