package member

import (
	"slices"
	"strings"
	"time"

	"redwinglock/internal/state/digest"
)

const (
	// minSyncPause and maxSyncPause bound the time between two exchanges of all members. It
	// doubles from one to the next, so that a start converges soon and churn costs little.
	minSyncPause = 500 * time.Millisecond
	maxSyncPause = 10 * time.Second
	// syncMismatches is the number of heartbeats in a row whose digests differ before all
	// members are exchanged. Updates that are under way explain fewer.
	syncMismatches = 2
)

// Digest returns a digest of the live members and their incarnations, this host included.
func (t *Table) Digest() uint32 {
	sum := digestOf(t.self)
	for _, e := range t.entries {
		if e.live() {
			sum ^= digestOf(e.Update)
		}
	}
	return uint32(sum)
}

func digestOf(u Update) uint64 { return digest.Mix(digest.Of(u.Member.Name) + u.Incarnation) }

// All returns the live members, this host first.
func (t *Table) All() []Update {
	all := []Update{t.self}
	for _, e := range t.entries {
		if e.live() {
			all = append(all, e.Update)
		}
	}
	slices.SortFunc(all[1:], func(a, b Update) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return all
}

// takeAll takes the live members that another host knows. They are not passed on: all others
// exchange them as well.
func (t *Table) takeAll(now time.Time, all []Update) {
	for _, u := range all {
		if t.apply(now, u) {
			t.entries[u.Member.Name].sends = 0
			continue
		}
		if e := t.entries[u.Member.Name]; e != nil && e.Status == Dead {
			t.doubted = append(t.doubted, u.Member.Name)
		}
	}
}

// syncer decides when all members are exchanged with a peer.
type syncer struct {
	mismatches int
	pause      time.Duration
	nextAt     time.Time
}

// due reports whether all members should be exchanged with a peer whose digest is the same
// as the own one or not. Peers of other availability zones are asked only after twice the
// pause, because bytes between zones cost more.
func (s *syncer) due(now time.Time, same, near bool) bool {
	if same {
		s.mismatches = 0
		return false
	}
	s.mismatches++
	wait := s.nextAt
	if !near {
		wait = wait.Add(s.pause)
	}
	if s.mismatches < syncMismatches || now.Before(wait) {
		return false
	}
	s.mismatches = 0
	s.pause = min(max(2*s.pause, minSyncPause), maxSyncPause)
	s.nextAt = now.Add(s.pause)
	return true
}
