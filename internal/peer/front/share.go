package front

import (
	"sync"
	"time"

	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
)

const (
	// attachmentTimeout is how long a front counts as served here after its last registration.
	attachmentTimeout = 3 * time.Second
	// pruneInterval is the time between two searches for silent fronts. The search does not run on
	// each request, because there may be hundreds of fronts.
	pruneInterval = 100 * time.Millisecond
	// hearInterval is the time between two searches for sessions that are quiet.
	hearInterval = 50 * time.Millisecond
	// hostRetention is how long a disconnected host still counts for quotas: it may still run and be
	// unreachable, and its share must not be used twice.
	hostRetention = 10 * time.Second
)

// attachments are the fronts that this arbiter serves. The arbiter may use a fraction of the pools
// and quotas: the number of its fronts divided by the number of all hosts. An arbiter that serves all
// fronts uses them whole, and hosts that cannot reach each other share them without communication.
type attachments struct {
	mu             sync.Mutex
	lastRegistered map[*Session]time.Time // When each session last registered a request.
	// prunedAt is when the fronts were last searched for silent ones.
	prunedAt time.Time
	// quietAfter is the time without a message after which a session does not count for quotas, because its front may
	// use its share at another arbiter soon.
	quietAfter time.Duration
	// heard is the number of sessions that were not quiet at heardAt.
	heard   int
	heardAt time.Time
	// maxRegistered is the highest recent number of registered hosts.
	maxRegistered recentMax
}

// newAttachments creates attachments. A front leaves a silent link timeout after the last message that it received, which its
// arbiter may have sent up to interval before the link was cut. The arbiter stops counting the front earlier.
func newAttachments(interval, timeout time.Duration) attachments {
	return attachments{lastRegistered: map[*Session]time.Time{}, quietAfter: timeout - interval - hearInterval}
}

// recordRegistration records that a session has registered a request and returns the share.
func (a *attachments) recordRegistration(now time.Time, s *Session, members *board.Members) shard.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.lastRegistered[s]; !found {
		a.heardAt = time.Time{}
	}
	a.lastRegistered[s] = now
	if now.Sub(a.prunedAt) >= pruneInterval {
		a.prunedAt = now
		a.prune(now)
	}
	a.maxRegistered.add(now, members.Registered)
	return shard.Share{
		Slots: fraction(len(a.lastRegistered), len(members.Live)),
		Quota: fraction(a.countHeard(now), a.maxRegistered.value()),
	}
}

// countHeard returns the number of sessions that are not quiet. It needs the lock.
func (a *attachments) countHeard(now time.Time) int {
	if now.Sub(a.heardAt) < hearInterval {
		return a.heard
	}
	a.heard, a.heardAt = 0, now
	for s := range a.lastRegistered {
		if !s.isQuiet(now, a.quietAfter) {
			a.heard++
		}
	}
	return a.heard
}

// prune removes the fronts that have not registered a request for attachmentTimeout. It needs the
// lock.
func (a *attachments) prune(now time.Time) {
	for session, at := range a.lastRegistered {
		if now.Sub(at) > attachmentTimeout {
			delete(a.lastRegistered, session)
		}
	}
}

// drop removes a session that has ended or whose front has left.
func (a *attachments) drop(s *Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.lastRegistered, s)
	a.heardAt = time.Time{}
}

func fraction(served, all int) float64 {
	if served >= all {
		return 1
	}
	return float64(max(served, 1)) / float64(all)
}

// recentMax is the highest value of a recent period, which is one to two times hostRetention long.
type recentMax struct {
	current, previous int
	windowStart       time.Time
}

func (r *recentMax) add(now time.Time, value int) {
	if now.Sub(r.windowStart) >= hostRetention {
		r.previous, r.current = r.current, 0
		r.windowStart = now
	}
	r.current = max(r.current, value)
}

func (r *recentMax) value() int { return max(r.current, r.previous) }
