package front

import (
	"time"

	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
)

const (
	// attachedFor is how long a front counts as served here after its last registration.
	attachedFor = 3 * time.Second
	// rememberHosts is how long a host that has gone still counts for quotas: it may run on
	// without being seen, and its share must not be used twice.
	rememberHosts = 10 * time.Second
)

// attach notes that a front is served by this arbiter and adapts the part of the pool that
// the arbiter may use: that of the fronts which it serves among all hosts. While all are
// served by one arbiter, it uses the whole pool; hosts that cannot reach each other share
// the pool without talking.
func (w *worker) attach(now time.Time, s *Session) {
	w.attached[s] = now
	if !w.shard.Discovered() {
		return
	}
	share := w.shareOf(now, s.server.board.Members())
	if share == w.share {
		return
	}
	w.share = share
	w.carryOut(w.shard.SetShare(now, share))
}

func (w *worker) shareOf(now time.Time, members *board.Members) shard.Share {
	served := 0
	for s, at := range w.attached {
		if now.Sub(at) > attachedFor {
			delete(w.attached, s)
			continue
		}
		served++
	}
	w.most.add(now, members.Registered)
	return shard.Share{
		Slots: part(served, len(members.Live)),
		Quota: part(served, w.most.value()),
	}
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
