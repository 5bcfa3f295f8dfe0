package front

import (
	"sync"
	"time"

	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
)

const (
	// attachedFor is how long a front counts as served here after its last registration.
	attachedFor = 3 * time.Second
	// pruneInterval is the time between two searches for fronts that are silent. Each request
	// is noted, and there may be hundreds of fronts.
	pruneInterval = 100 * time.Millisecond
	// rememberHosts is how long a host that has gone still counts for quotas: it may run on
	// without being seen, and its share must not be used twice.
	rememberHosts = 10 * time.Second
)

// attachments are the fronts that this arbiter serves. It may use the part of the pools
// and quotas that they are of all hosts: while one arbiter serves all, it uses them whole;
// hosts that cannot reach each other share them without talking.
type attachments struct {
	mu   sync.Mutex
	last map[*Session]time.Time // When each session last registered a request.
	// prunedAt is when the fronts were last searched for silent ones.
	prunedAt time.Time
	// most remembers how many hosts were registered lately.
	most recentMax
}

// note records that a session has registered a request and returns the share.
func (a *attachments) note(now time.Time, s *Session, members *board.Members) shard.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[s] = now
	if now.Sub(a.prunedAt) >= pruneInterval {
		a.prunedAt = now
		a.prune(now)
	}
	a.most.add(now, members.Registered)
	return shard.Share{
		Slots: part(len(a.last), len(members.Live)),
		Quota: part(len(a.last), a.most.value()),
	}
}

// prune forgets the fronts that have been silent for too long. It needs the lock.
func (a *attachments) prune(now time.Time) {
	for session, at := range a.last {
		if now.Sub(at) > attachedFor {
			delete(a.last, session)
		}
	}
}

// drop forgets a session that has ended.
func (a *attachments) drop(s *Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.last, s)
}

func part(served, all int) float64 {
	if served >= all {
		return 1
	}
	return float64(max(served, 1)) / float64(all)
}

// recentMax is the highest of the values of the last rememberHosts, and of up to as long
// before.
type recentMax struct {
	current, previous int
	since             time.Time
}

func (r *recentMax) add(now time.Time, value int) {
	if now.Sub(r.since) >= rememberHosts {
		r.previous, r.current = r.current, 0
		r.since = now
	}
	r.current = max(r.current, value)
}

func (r *recentMax) value() int { return max(r.current, r.previous) }
