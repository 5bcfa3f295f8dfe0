package member

import (
	"slices"
	"strings"
	"time"

	"redwinglock/internal/state/digest"
)

const (
	// minSyncInterval and maxSyncInterval bound the time between two anti-entropy syncs. The
	// interval doubles with each sync, so that a starting fleet converges quickly and later
	// churn causes little traffic.
	minSyncInterval = 500 * time.Millisecond
	maxSyncInterval = 10 * time.Second
	// syncMismatches is the number of consecutive heartbeats with differing digests that cause a
	// sync. Fewer can be due to updates that are still spreading.
	syncMismatches = 2
)

// Digest returns a digest of the live members and their incarnations, including this host.
func (t *Table) Digest() uint32 {
	sum := updateDigest(t.self)
	for _, e := range t.entries {
		if e.live() {
			sum ^= updateDigest(e.Update)
		}
	}
	return uint32(sum)
}

func updateDigest(u Update) uint64 { return digest.Mix(digest.Of(u.Member.Name) + u.Incarnation) }

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

// mergeAll applies the live members from another host's anti-entropy sync. It does not spread
// them as updates, because all other hosts sync as well. Members that are dead in this view are
// scheduled for a probe.
func (t *Table) mergeAll(now time.Time, all []Update) {
	for _, u := range all {
		if t.apply(now, u) {
			t.entries[u.Member.Name].sendsLeft = 0
			continue
		}
		if e := t.entries[u.Member.Name]; e != nil && e.Status == Dead {
			t.disputedDead = append(t.disputedDead, u.Member.Name)
		}
	}
}

// syncer decides when to run an anti-entropy sync with a peer.
type syncer struct {
	mismatches int
	interval   time.Duration
	nextAt     time.Time
}

// due reports whether to sync with a peer. sameDigest reports whether the peer's digest equals this
// host's. The interval before a sync with a peer in another availability zone is twice as long,
// because traffic between zones costs more.
func (s *syncer) due(now time.Time, sameDigest, sameZone bool) bool {
	if sameDigest {
		s.mismatches = 0
		return false
	}
	s.mismatches++
	earliest := s.nextAt
	if !sameZone {
		earliest = earliest.Add(s.interval)
	}
	if s.mismatches < syncMismatches || now.Before(earliest) {
		return false
	}
	s.mismatches = 0
	s.interval = min(max(2*s.interval, minSyncInterval), maxSyncInterval)
	s.nextAt = now.Add(s.interval)
	return true
}
