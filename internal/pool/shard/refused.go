package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// refusalRetention is the minimum time that a refused request is remembered, unless there are
	// more than maxRefusedRequests.
	refusalRetention = 15 * time.Second
	// maxRefusedRequests limits the refused requests that are remembered per period.
	maxRefusedRequests = 1 << 15
	// maxSameFingerprint limits the refused requests with the same fingerprint, so that a flood of
	// identical requests does not make lookups slow.
	maxSameFingerprint = 16
	// giveUpTolerance is how far the time at which a caller gives up may differ between its
	// attempts. The network delay of the attempts varies.
	giveUpTolerance = 250 * time.Millisecond
)

// refusedRequest is a refused request whose caller may retry.
type refusedRequest struct {
	// arrivedAt is when the caller first sent the request. callerGivesUpAt is when the caller stops
	// waiting.
	arrivedAt, callerGivesUpAt time.Time
}

// refusedRequests remembers refused requests in order to detect retries. A retry has the same
// fingerprint and the same time at which the caller gives up. The deadline is not sufficient,
// because callers of one route set different deadlines.
type refusedRequests struct {
	// current holds the requests of the current period, previous those of the period before.
	current, previous map[wire.Fingerprint][]refusedRequest
	// periodStart is the start of the current period. count is the number of requests added in it.
	periodStart time.Time
	count       int
}

// rotate starts a new period if the current one is over or full, and drops the oldest requests.
func (r *refusedRequests) rotate(now time.Time) {
	if r.current != nil && now.Sub(r.periodStart) < refusalRetention && r.count < maxRefusedRequests {
		return
	}
	r.previous = r.current
	if now.Sub(r.periodStart) >= 2*refusalRetention {
		r.previous = nil
	}
	r.current = map[wire.Fingerprint][]refusedRequest{}
	r.periodStart = now
	r.count = 0
}

// add stores a refused request.
func (r *refusedRequests) add(now time.Time, key wire.Fingerprint, refused refusedRequest) {
	r.rotate(now)
	if sameFingerprint := r.current[key]; len(sameFingerprint) >= maxSameFingerprint {
		r.current[key] = append(slices.Delete(sameFingerprint, 0, 1), refused)
		return
	}
	r.current[key] = append(r.current[key], refused)
	r.count++
}

// remove finds an earlier attempt of a caller that gives up at the given time, and removes it.
func (r *refusedRequests) remove(now time.Time, key wire.Fingerprint, givesUpAt time.Time) (refusedRequest, bool) {
	r.rotate(now)
	for _, period := range []map[wire.Fingerprint][]refusedRequest{r.current, r.previous} {
		for i, earlier := range period[key] {
			if earlier.callerGivesUpAt.Sub(givesUpAt).Abs() > giveUpTolerance {
				continue
			}
			period[key] = slices.Delete(period[key], i, i+1)
			if len(period[key]) == 0 {
				delete(period, key)
			}
			return earlier, true
		}
	}
	return refusedRequest{}, false
}

// recordRefusal remembers a refused request if its retry can be detected.
func (s *Shard) recordRefusal(now time.Time, q *request) {
	if q.Fingerprint != 0 && !q.callerGivesUpAt.IsZero() {
		s.refusedRequests.add(now, q.Fingerprint, refusedRequest{arrivedAt: q.callerArrivedAt, callerGivesUpAt: q.callerGivesUpAt})
	}
}

// matchRetry detects the retry of a refused request. The time that the caller has waited since
// its first attempt counts toward its latency objective, and it may not have time for another
// retry.
func (s *Shard) matchRetry(now time.Time, q *request) {
	if q.Fingerprint == 0 || q.callerGivesUpAt.IsZero() {
		return
	}
	earlier, found := s.refusedRequests.remove(now, q.Fingerprint, q.callerGivesUpAt)
	if !found {
		return
	}
	waited := q.callerArrivedAt.Sub(earlier.arrivedAt)
	q.callerArrivedAt = earlier.arrivedAt
	q.AnswerWithinMS = timeLeftAfter(q.AnswerWithinMS, waited)
	q.DispatchWithinMS = timeLeftAfter(q.DispatchWithinMS, waited)
	q.MayRetry = false
}

// retryObjectiveDivisor limits how far the objective of a retry is shortened: at least the
// objective divided by retryObjectiveDivisor remains, during which the retry is not late. The
// scheduler chose the time of the retry, and another refusal would waste all the time that the
// caller has waited.
const retryObjectiveDivisor = 2

// timeLeftAfter returns the time left until an objective, in milliseconds, for a caller that has
// already waited.
func timeLeftAfter(leftMS int64, waited time.Duration) int64 {
	if leftMS <= 0 {
		return leftMS // There is no objective, or its time is over.
	}
	return max(leftMS-waited.Milliseconds(), leftMS/retryObjectiveDivisor, 1)
}
