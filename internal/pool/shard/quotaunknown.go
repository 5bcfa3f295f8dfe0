package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
)

// recordServing updates the times at which this arbiter has handled requests, for all fronts or
// for a part of them. The period of serving starts again after a pause longer than the window.
func (q *Quotas) recordServing(now time.Time, window time.Duration, share float64) {
	if now.Sub(q.lastServedAt) > window {
		q.servingSince = now
		q.servedAllAt = now
		q.unknown.valid = false
	}
	if isPart := share < 1; isPart != q.unknown.servedPart {
		q.unknown = unknownTime{servedPart: isPart}
	}
	q.lastServedAt = now
	if share < 1 {
		q.servedPartFrom, q.servedPartAt = q.servedAllAt, now
		return
	}
	if q.servedPartAt.After(q.servedAllAt) {
		q.servedPartAt = now // All fronts are served again, but the time of the change is unknown.
	}
	q.servedAllAt = now
}

// unknownTime is the sum of the times, over all fronts, for which the usage in the last window is
// unknown. It is kept for a short time, because there may be hundreds of fronts.
type unknownTime struct {
	sum    time.Duration
	window time.Duration
	at     time.Time
	valid  bool
	// servedPart is set if this arbiter serves only a part of the fronts.
	servedPart bool
}

// unknownRefresh is the time after which the unknown time of all fronts is computed again.
const unknownRefresh = 10 * time.Millisecond

// unknownFraction returns the fraction of the last window's usage that is unknown. The unknown usage
// may have been as high as the limit.
func (q *Quotas) unknownFraction(now time.Time, window time.Duration) float64 {
	u := &q.unknown
	if !u.valid || u.window != window || now.Sub(u.at) >= unknownRefresh {
		u.sum, u.window, u.at, u.valid = 0, window, now, true
		for _, startedAt := range q.countingSince {
			u.sum += q.unknownOf(now, window, startedAt)
		}
	}
	return u.sum.Seconds() / window.Seconds() / float64(max(len(q.countingSince), 1))
}

// unknownOf returns for how long in the last window the usage of a front is unknown: the time before
// the start of the front or of serving by this arbiter, whichever was first, and the time that another
// arbiter may have served the previous run of its host.
func (q *Quotas) unknownOf(now time.Time, window time.Duration, startedAt time.Time) time.Duration {
	begin := startedAt
	if q.servingSince.Before(startedAt) {
		begin = q.servingSince
	}
	return min(max(window-now.Sub(begin), 0)+q.servedElsewhere(now, window, startedAt), window)
}

// setCountingSince records since when a front has recorded its usage.
func (q *Quotas) setCountingSince(front wire.HostID, startedAt time.Time) {
	u := &q.unknown
	if previous, found := q.countingSince[front]; found {
		u.sum -= q.unknownOf(u.at, u.window, previous)
	}
	q.countingSince[front] = startedAt
	u.sum = max(u.sum+q.unknownOf(u.at, u.window, startedAt), 0)
}

// servedElsewhere returns for how long in the last window another arbiter may have served the
// previous run of a host whose front started at the given time. If this arbiter served all
// fronts at that start, the previous run reported its usage here. If this arbiter served all
// fronts for at least half a window before, the result is the whole window, because the lost run
// may have used its whole share within a short time. A newer arbiter cannot distinguish lost fronts
// from fronts that started together with it.
func (q *Quotas) servedElsewhere(now time.Time, window time.Duration, startedAt time.Time) time.Duration {
	if q.servedPartAt.Before(startedAt) {
		return 0
	}
	from := q.servedPartFrom
	if oldest := now.Add(-window); from.Before(oldest) {
		from = oldest
	}
	lost := max(startedAt.Sub(from), 0)
	if lost > 0 && q.servedPartFrom.Sub(q.servingSince) >= window/2 {
		return window
	}
	return lost
}
