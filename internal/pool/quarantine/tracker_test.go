package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// crashWith lets one request with the prefixes crash its target, and lets other requests arrive before it.
func crashWith(t *Tracker, now time.Time, number int, prefixes []wire.PrefixHash, others [][]wire.PrefixHash) {
	for _, other := range others {
		t.Arrived(other)
	}
	t.Arrived(prefixes)
	id, target := wire.RequestID(fmt.Sprint(number)), object.TargetName(fmt.Sprint("t-", number))
	t.Granted(now, id, prefixes)
	t.Ended(now, Attempt{ID: id, Prefixes: prefixes, Target: target, GrantedAt: now, Broken: true})
	t.TargetEnded(now, target)
}

// TestPrefixOfManyRequestsIsNotHeld crashes targets with requests of a prefix that a part of all requests has.
// A prefix of most requests stands in most crashes, whatever their cause.
func TestPrefixOfManyRequestsIsNotHeld(t *testing.T) {
	rows := []struct {
		name string
		// othersWith and othersWithout are the other requests per crash, with and without the prefix.
		othersWith, othersWithout int
		held                      bool
	}{
		{"a prefix of few requests", 0, 9, true},
		{"a prefix of one in five", 1, 9, true},
		{"a prefix of half of all", 5, 4, false},
		{"a prefix of all", 9, 0, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := New(testPool)
			var others [][]wire.PrefixHash
			for range row.othersWith {
				others = append(others, []wire.PrefixHash{7, 50})
			}
			for range row.othersWithout {
				others = append(others, []wire.PrefixHash{8, 50})
			}
			for i := range 12 {
				now = now.Add(time.Second)
				crashWith(tracker, now, i, []wire.PrefixHash{7, wire.PrefixHash(100 + i)}, others)
			}
			require.Equal(t, row.held, tracker.IsHeld(now, []wire.PrefixHash{7, 1}))
			if !row.held {
				require.True(t, tracker.MayGrant(now.Add(time.Second), []wire.PrefixHash{7, 1}))
			}
		})
	}
}

// TestPrefixOfAllRequestsIsNotHeldRightAfterItWasCleared lets so many requests arrive that a prefix is known to be
// common, and then crashes targets in quick succession, as a fleet of which all targets are down does.
func TestPrefixOfAllRequestsIsNotHeldRightAfterItWasCleared(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(testPool)
	others := slices.Repeat([][]wire.PrefixHash{{7, 50}}, 10)
	for i := range 3 {
		now = now.Add(time.Second)
		crashWith(tracker, now, i, []wire.PrefixHash{7, wire.PrefixHash(100 + i)}, others)
	}
	require.False(t, tracker.IsSuspect([]wire.PrefixHash{7, 1}), "cleared, as all requests have it")
	for i := 3; i < 12; i++ {
		now = now.Add(time.Second)
		crashWith(tracker, now, i, []wire.PrefixHash{7, wire.PrefixHash(100 + i)}, nil)
		require.False(t, tracker.IsHeld(now, []wire.PrefixHash{7, 1}), "after crash %d", i)
	}
}

// TestSoundPrefixOfPoisonRequestsIsCleared makes the first prefix of poison requests suspect, too. Sound
// requests with it must run before those that have both.
func TestSoundPrefixOfPoisonRequestsIsCleared(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(testPool)
	both, sound := []wire.PrefixHash{1, 7, 100}, []wire.PrefixHash{1, 101}
	for i := range 2 {
		now = now.Add(time.Second)
		crashWith(tracker, now, i, []wire.PrefixHash{1, 7, wire.PrefixHash(200 + i)}, nil)
	}
	now = now.Add(time.Millisecond)
	require.True(t, tracker.IsSuspect(sound))
	now = now.Add(unconfirmedGap)
	require.False(t, tracker.MayGrant(now, both), "a crash would not tell which prefix caused it")
	require.True(t, tracker.MayGrant(now, sound))
	tracker.Granted(now, "sound", sound)
	tracker.Begun(now, "sound", sound, now)
	require.False(t, tracker.IsSuspect(sound))
	require.True(t, tracker.MayGrant(now, both))
	require.True(t, tracker.MayGrant(now.Add(ambiguousDelay), both))
}

// TestAnswerFromBeforeTheCrashesIsNoProof ends a long answer to a prompt whose prefix crashes targets since it
// began.
func TestAnswerFromBeforeTheCrashesIsNoProof(t *testing.T) {
	now := time.Unix(1000, 0)
	long := Attempt{ID: "long", Prefixes: []wire.PrefixHash{7, 99}, Target: "t", GrantedAt: now, Begun: true, LeftAtTarget: 1}
	tracker := New(testPool)
	for i := range 8 {
		now = now.Add(time.Second)
		crashWith(tracker, now, i, []wire.PrefixHash{7, wire.PrefixHash(200 + i)}, nil)
	}
	require.True(t, tracker.IsHeld(now, []wire.PrefixHash{7, 1}))
	tracker.Ended(now, long)
	require.True(t, tracker.IsHeld(now, []wire.PrefixHash{7, 1}))
}
