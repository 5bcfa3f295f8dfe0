package shard

import (
	"hash/fnv"
	"time"

	"redwinglock/internal/peer/wire"
)

const (
	// returnPart is the part of the time left, as a divisor, after which a refused request
	// should come back; the spread adds up to half of it.
	returnPart    = 5
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// rateWindow is the time over which the drain rate is averaged.
	rateWindow = 2 * time.Second
)

// drainRate is the rate at which the pool completes tokens.
type drainRate struct {
	since     time.Time
	tokens    int64
	perSecond float64
}

func (r *drainRate) add(now time.Time, tokens int64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.tokens += tokens
	elapsed := now.Sub(r.since)
	if elapsed < rateWindow {
		return
	}
	current := float64(r.tokens) / elapsed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = current
	}
	r.perSecond = (r.perSecond + current) / 2
	r.since = now
	r.tokens = 0
}

// wait estimates the time to complete the given number of tokens, 0 if unknown.
func (r *drainRate) wait(tokens int64) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.perSecond * float64(time.Second))
}

// responseTime estimates the time from a grant to the first token of the answer, as a
// mean and a mean deviation.
type responseTime struct {
	mean, deviation time.Duration
}

const (
	// responseWeight is the inverse weight of a new sample in the mean.
	responseWeight = 16
	// deviations is the number of deviations above the mean that is allowed for.
	deviations = 2
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
	r.mean += difference / responseWeight
	r.deviation += (difference.Abs() - r.deviation) / responseWeight
}

// upper returns a time within which most answers begin.
func (r *responseTime) upper() time.Duration { return r.mean + deviations*r.deviation }

// tooLate reports whether the answer would probably begin after the caller's deadline,
// so that its prefill would be wasted.
func (s *Shard) tooLate(now time.Time, q *request) bool {
	return !q.deadline.IsZero() && now.Add(s.response.upper()).After(q.deadline)
}

// ahead estimates the tokens that are served before a waiting request: all higher
// tiers, and within its tier what fair sharing lets pass.
func (s *Shard) ahead(q *request) int64 {
	var tokens int64
	for _, tier := range s.tiers {
		if tier == q.tier {
			break
		}
		tokens += tier.queuedCost
	}
	own := float64(q.account.queuedCost-q.cost) * float64(q.tier.activeWeight) / float64(q.account.weight)
	return tokens + min(int64(own), q.tier.queuedCost-q.cost)
}

// missesDeadline reports whether the request cannot be granted in time.
func (s *Shard) missesDeadline(now time.Time, q *request) bool {
	if !now.Before(q.giveUpAt) || s.tooLate(now, q) {
		return true
	}
	return now.Add(s.rate.wait(s.ahead(q))).After(q.giveUpAt)
}

// retryAfter suggests when to come back: when the work ahead is likely to be done,
// spread by up to half so that callers do not return together.
func (s *Shard) retryAfter(now time.Time, q *request) time.Duration {
	wait := min(max(s.rate.wait(s.ahead(q)), minRetryAfter), maxRetryAfter)
	if opens, closed := s.allUnreachable(); closed {
		wait = max(wait, opens.Sub(now))
	}
	return s.returnAfter(now, q, wait)
}

// returnAfter lets a request come back after the wait, or later if it has the time.
func (s *Shard) returnAfter(now time.Time, q *request, wait time.Duration) time.Duration {
	if q.MayReturn && !q.deadline.IsZero() {
		// The load that refused it may last; it comes back as late as still leaves time.
		wait = max(wait, q.deadline.Sub(now)/returnPart)
	}
	return spread(q.ID, wait)
}

// spread adds up to half to a wait, by the id of the request.
func spread(id wire.RequestID, wait time.Duration) time.Duration {
	digest := fnv.New32a()
	digest.Write([]byte(id))
	extra := time.Duration(digest.Sum32()%512) * wait / 1024
	return wait + extra
}

// lowerRunning reports whether a request below the tier is running.
func (s *Shard) lowerRunning(tier *tierQueue) bool {
	if s.runToEnd {
		return false // No slot will be freed for it.
	}
	for i := len(s.tiers) - 1; i >= 0 && s.tiers[i] != tier; i-- {
		if len(s.tiers[i].running) > 0 {
			return true
		}
	}
	return false
}

// preempt cancels one running lower-tier request for each waiting request that has
// waited for longer than its tier allows, or that would otherwise be out of time.
func (s *Shard) preempt(now time.Time) {
	if s.runToEnd || s.waiting == 0 || !s.anyOpen() {
		return // No slot that is freed could be used.
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

// preemptFor reports whether q was due for preemption.
func (s *Shard) preemptFor(now time.Time, q *request) bool {
	// A slot takes a while to be freed, so a short deadline is acted on at half time.
	patience := min(q.tier.preemptAfter, q.giveUpAt.Sub(q.queuedAt)/2)
	if now.Sub(q.queuedAt) < patience && !s.missesDeadline(now, q) {
		return false
	}
	if q.preemptor {
		return true
	}
	victim := s.victim(q.tier)
	if victim == nil {
		return false
	}
	q.preemptor = true
	victim.cancelled = true
	victim.tier.cancelling++
	s.decisions = append(s.decisions, Cancel{victim.ID, victim.tier.name})
	return true
}

// victim returns the running request of the lowest tier that was granted last, which
// loses the least work. Requests that are being cancelled do not count.
func (s *Shard) victim(above *tierQueue) *request {
	for i := len(s.tiers) - 1; i >= 0 && s.tiers[i] != above; i-- {
		tier := s.tiers[i]
		if tier.cancelling == len(tier.running) {
			continue
		}
		var best *request
		for _, q := range tier.running {
			if !q.cancelled && (best == nil || betterVictim(q, best)) {
				best = q
			}
		}
		return best
	}
	return nil
}

// betterVictim prefers requests whose slot can be used again to those on targets that
// take no new work, then the one granted last.
func betterVictim(a, b *request) bool {
	if a.target.closed != b.target.closed {
		return b.target.closed
	}
	return a.grantedAt.After(b.grantedAt)
}
