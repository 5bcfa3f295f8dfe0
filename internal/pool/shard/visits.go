package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// visitSpan is for how long refused requests are remembered at least, unless there are
	// more than visitLimit.
	visitSpan = 15 * time.Second
	// visitLimit bounds the refused requests that are remembered in one span.
	visitLimit = 1 << 15
	// alikeLimit bounds those with the same fingerprint, so that a flood of one request costs
	// no search among all of it.
	alikeLimit = 16
	// visitTolerance is how far the end of a caller's patience may differ between its visits: its
	// requests are under way for different times.
	visitTolerance = 250 * time.Millisecond
)

// visit is a request that was refused and whose caller may come back.
type visit struct {
	// since is when the caller first came, and until when it stops waiting.
	since, until time.Time
}

// visits remembers refused requests, so that a caller that comes back is known by what it asks
// and by how long it still waits. Deadlines alone do not tell: callers of one route set
// different ones.
type visits struct {
	// newer are those of the present span, older those of the span before.
	newer, older map[wire.Fingerprint][]visit
	// begunAt is when the present span has begun, and count the number of its visits.
	begunAt time.Time
	count   int
}

// expire begins a new span when the present one is over or full, and forgets the oldest.
func (v *visits) expire(now time.Time) {
	if v.newer != nil && now.Sub(v.begunAt) < visitSpan && v.count < visitLimit {
		return
	}
	v.older = v.newer
	if now.Sub(v.begunAt) >= 2*visitSpan {
		v.older = nil
	}
	v.newer = map[wire.Fingerprint][]visit{}
	v.begunAt = now
	v.count = 0
}

// add remembers a refused request.
func (v *visits) add(now time.Time, key wire.Fingerprint, refused visit) {
	v.expire(now)
	if alike := v.newer[key]; len(alike) >= alikeLimit {
		v.newer[key] = append(slices.Delete(alike, 0, 1), refused)
		return
	}
	v.newer[key] = append(v.newer[key], refused)
	v.count++
}

// take returns the earlier visit of a caller that waits until the given time, and forgets it.
func (v *visits) take(now time.Time, key wire.Fingerprint, until time.Time) (visit, bool) {
	v.expire(now)
	for _, known := range []map[wire.Fingerprint][]visit{v.newer, v.older} {
		for i, earlier := range known[key] {
			if earlier.until.Sub(until).Abs() > visitTolerance {
				continue
			}
			known[key] = slices.Delete(known[key], i, i+1)
			if len(known[key]) == 0 {
				delete(known, key)
			}
			return earlier, true
		}
	}
	return visit{}, false
}

// noteRefused remembers a refused request whose caller can be known again.
func (s *Shard) noteRefused(now time.Time, q *request) {
	if q.Fingerprint != 0 && !q.callerUntil.IsZero() {
		s.visits.add(now, q.Fingerprint, visit{since: q.callerSince, until: q.callerUntil})
	}
}

// noteReturn recognises a caller that comes back. What it has waited already counts for its
// objective, and it may not have the time to come once more.
func (s *Shard) noteReturn(now time.Time, q *request) {
	if q.Fingerprint == 0 || q.callerUntil.IsZero() {
		return
	}
	earlier, found := s.visits.take(now, q.Fingerprint, q.callerUntil)
	if !found {
		return
	}
	before := q.callerSince.Sub(earlier.since)
	q.callerSince = earlier.since
	q.BeginMS = leftAfter(q.BeginMS, before)
	q.ObjectiveMS = leftAfter(q.ObjectiveMS, before)
	q.MayReturn = false
}

// returnedPart is the part of the time left for its objective, as a divisor, for which a
// request that came back ranks as one in time. It was told when to come, and what it has waited
// already is lost if it is refused again.
const returnedPart = 2

// leftAfter returns what is left of a time in milliseconds when its caller has waited before.
func leftAfter(leftMS int64, before time.Duration) int64 {
	if leftMS <= 0 {
		return leftMS // There is no objective, or it has passed.
	}
	return max(leftMS-before.Milliseconds(), leftMS/returnedPart, 1)
}
