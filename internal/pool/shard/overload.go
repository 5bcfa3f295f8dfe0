package shard

import (
	"hash/fnv"
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// retryAfterDivisor sets the minimum retry delay of a refused request whose caller may
	// retry: the time left until the deadline, divided by retryAfterDivisor. Jitter adds up to half
	// of the delay.
	retryAfterDivisor = 5
	minRetryAfter     = 250 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	// drainRateWindow is the interval over which the drain rate is averaged.
	drainRateWindow = 2 * time.Second
)

// drainRate is the rate at which the pool completes tokens.
type drainRate struct {
	windowStart time.Time
	tokens      int64
	perSecond   float64
}

func (r *drainRate) add(now time.Time, tokens int64) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.tokens += tokens
	elapsed := now.Sub(r.windowStart)
	if elapsed < drainRateWindow {
		return
	}
	current := float64(r.tokens) / elapsed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = current
	}
	r.perSecond = (r.perSecond + current) / 2
	r.windowStart = now
	r.tokens = 0
}

// timeToDrain estimates the time to complete the given number of tokens, 0 if unknown.
func (r *drainRate) timeToDrain(tokens int64) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.perSecond * float64(time.Second))
}

// responseTime estimates the time from a grant to the first token of the answer, as a moving
// average with its mean deviation.
type responseTime struct {
	mean, deviation time.Duration
}

const (
	// responseDivisor is the inverse weight of a new sample in the moving averages.
	responseDivisor = 16
	// responseDeviations is the number of deviations above the mean in the upper bound.
	responseDeviations = 2
)

func (r *responseTime) add(sample time.Duration) {
	if sample <= 0 {
		return
	}
	if r.mean == 0 {
		r.mean, r.deviation = sample, sample/2
		return
	}
	difference := sample - r.mean
	r.mean += difference / responseDivisor
	r.deviation += (difference.Abs() - r.deviation) / responseDivisor
}

// upperBound returns the time within which most answers begin.
func (r *responseTime) upperBound() time.Duration { return r.mean + responseDeviations*r.deviation }

// startsAfterDeadline reports whether the answer would probably begin after the caller's
// deadline, so that the prefill would be wasted.
func (s *Shard) startsAfterDeadline(now time.Time, q *request) bool {
	return !q.deadline.IsZero() && now.Add(s.responseTime.upperBound()).After(q.deadline)
}

// tokensAhead estimates the number of tokens that are served before a waiting request: those of
// all higher tiers, and those of its own tier that fair sharing puts first.
func (s *Shard) tokensAhead(q *request) int64 {
	var tokens int64
	for _, tier := range s.tiers {
		if tier == q.tier {
			break
		}
		tokens += tier.queuedTokens
	}
	return tokens + q.tier.tokensAhead(q)
}

// tokensAhead estimates the number of tokens of the tier that fair sharing puts before a waiting
// request.
func (t *tierQueue) tokensAhead(q *request) int64 {
	own := float64(q.account.queuedTokens-q.estimatedTokens) * float64(t.activeWeight) / float64(q.account.weight)
	return min(int64(own), t.queuedTokens-q.estimatedTokens)
}

// tokensAheadShare returns tokensAhead as a fraction of the tokens of all other requests of the tier.
func (t *tierQueue) tokensAheadShare(q *request) float64 {
	others := t.queuedTokens - q.estimatedTokens
	if others <= 0 {
		return 0
	}
	return float64(t.tokensAhead(q)) / float64(others)
}

// missesDeadline reports whether the request probably cannot be granted in time.
func (s *Shard) missesDeadline(now time.Time, q *request) bool {
	if !now.Before(q.expiresAt) || s.startsAfterDeadline(now, q) {
		return true
	}
	return now.Add(s.drainRate.timeToDrain(s.tokensAhead(q))).After(q.expiresAt)
}

// retryAfter suggests a retry delay: the estimated time to complete the requests ahead, with up
// to half of it added as jitter, so that callers do not return together.
func (s *Shard) retryAfter(now time.Time, q *request) time.Duration {
	wait := min(max(s.drainRate.timeToDrain(s.tokensAhead(q)), minRetryAfter), maxRetryAfter)
	if availableAt, unavailable := s.allUnavailable(); unavailable {
		wait = max(wait, availableAt.Sub(now))
	}
	wait = max(wait, min(s.rateWait(q), maxRetryAfter))
	return s.extendRetryAfter(now, q, wait)
}

// extendRetryAfter extends the wait if the caller has time for a later retry, and adds jitter.
func (s *Shard) extendRetryAfter(now time.Time, q *request, wait time.Duration) time.Duration {
	if q.MayRetry && !q.deadline.IsZero() {
		// The overload may last, so the retry comes as late as still leaves time for an answer.
		wait = max(wait, q.deadline.Sub(now)/retryAfterDivisor)
	}
	return addJitter(q.ID, wait)
}

// addJitter adds up to half of the wait, derived from the request ID.
func addJitter(id wire.RequestID, wait time.Duration) time.Duration {
	digest := fnv.New32a()
	digest.Write([]byte(id))
	extra := time.Duration(digest.Sum32()%512) * wait / 1024
	return wait + extra
}

// lowerRunning reports whether requests that rank below the queue are running and can be
// preempted.
func (s *Shard) lowerRunning(tier *tierQueue) bool {
	if s.nonPreemptible {
		return false // Preemption is disabled, so no slot will be freed.
	}
	for i := len(s.tiers) - 1; i >= 0 && s.tiers[i] != tier; i-- {
		if len(s.tiers[i].running) > 0 {
			return true
		}
	}
	return false
}

// preempt cancels one running lower-tier request for each waiting request that has waited for
// preemptAfter of its tier, or that would otherwise miss its deadline.
func (s *Shard) preempt(now time.Time) {
	if s.nonPreemptible || s.waiting == 0 || !s.anyOpen() {
		return // A freed slot could not be used.
	}
	for _, tier := range s.tiers {
		if tier.waiting == 0 || !s.lowerRunning(tier) {
			continue
		}
		for _, a := range tier.active.all() {
			for q := a.queue.first; q != nil && s.preemptFor(now, q); {
				q = q.next
			}
		}
	}
}

// preemptFor reports whether the request is due for preemption and a running request has been
// canceled for it. It cancels one if needed.
func (s *Shard) preemptFor(now time.Time, q *request) bool {
	// Freeing a slot takes time, so a request that expires early preempts after half of its time.
	preemptAfter := min(q.tier.preemptAfter, q.expiresAt.Sub(q.queuedAt)/2)
	if now.Sub(q.queuedAt) < preemptAfter && !s.missesDeadline(now, q) {
		return false
	}
	if q.hasPreempted {
		return true
	}
	victim := s.victim(q.tier)
	if victim == nil {
		return false
	}
	q.hasPreempted = true
	victim.canceled = true
	victim.tier.canceling++
	s.decisions = append(s.decisions, Cancel{victim.ID, victim.tier.name})
	return true
}

// victim returns the most recently granted request of the lowest running tier, because its
// cancellation wastes the least work. It skips requests with a pending cancellation.
func (s *Shard) victim(above *tierQueue) *request {
	for i := len(s.tiers) - 1; i >= 0 && s.tiers[i] != above; i-- {
		tier := s.tiers[i]
		if tier.canceling == len(tier.running) {
			continue
		}
		var best *request
		for _, q := range tier.running {
			if !q.canceled && (best == nil || betterVictim(q, best)) {
				best = q
			}
		}
		return best
	}
	return nil
}

// betterVictim prefers requests whose slot can be used again, then the most recently granted
// one. Closed targets do not accept new requests.
func betterVictim(a, b *request) bool {
	if a.target.closed != b.target.closed {
		return b.target.closed
	}
	return a.grantedAt.After(b.grantedAt)
}
