package shard

import (
	"slices"
	"time"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// startBackoff stops sending requests to a target until its next attempt, with exponential
// backoff.
func (s *Shard) startBackoff(now time.Time, t *target) {
	backoff := min(minBackoff<<min(t.failures, 5), maxBackoff)
	if s.discovered {
		// Discovery removes targets that have stopped for good, so the others are retried sooner.
		backoff = min(discoveredMinBackoff<<min(t.failures, 5), discoveredMaxBackoff)
	}
	t.failures++
	t.probing = true
	if t.retryAt.IsZero() {
		s.backingOff = append(s.backingOff, t)
	}
	t.retryAt = now.Add(backoff)
	s.updateReady(t)
}

const (
	// rejectPause is how long a target gets no requests after it has rejected one.
	rejectPause = 50 * time.Millisecond
	// errorWeight is the weight of one answer in the moving average of a target's error rate.
	errorWeight = 0.15
	// normalErrorDeviation is how far the error rate of a healthy target may be above the pool's
	// mean.
	normalErrorDeviation = 0.15
	// maxErrorDeviation is the error rate above the pool's mean at which a target goes into backoff and
	// is probed. A target that answers every request with an error reaches it after four answers.
	maxErrorDeviation = 0.45
)

// pauseAfterRejection pauses a target that rejected a request because it is full.
func (s *Shard) pauseAfterRejection(now time.Time, t *target) {
	s.pause(t, now.Add(rejectPause))
}

// pause stops sending requests to a target until the given time.
func (s *Shard) pause(t *target, until time.Time) {
	if t.pausedUntil.IsZero() {
		s.paused = append(s.paused, t)
	}
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	s.updateReady(t)
}

// Notice applies what a target has reported about itself in an answer to any front. The target
// gets no new requests for the time that it reported, or until it restarts, or no more of them than
// its rate limit allows.
func (s *Shard) Notice(now time.Time, n wire.TargetNotice) []Decision {
	book := s.notices.With(now, n)
	isNew := book != s.notices
	s.notices = book
	t := s.targets[n.Target]
	if t == nil || t.startedMS != n.StartedMS {
		return nil
	}
	state := s.notices.State(n.Target, n.StartedMS)
	if !isNew && !state.PausedUntil.After(t.pausedUntil) {
		return nil // Many fronts may report the same.
	}
	t.closed = t.closed || state.Closed()
	if now.Before(state.PausedUntil) {
		t.pauseRequested = true
		s.pause(t, state.PausedUntil)
	}
	if !t.closed {
		s.setRateLimit(now, t, state.RateLimit)
	}
	s.updateReady(t)
	s.updateTotalSlots()
	return s.step(now)
}

// NoticeOf returns what one run of a target has reported about itself.
func (s *Shard) NoticeOf(name object.TargetName, startedMS int64) notice.State {
	return s.notices.State(name, startedMS)
}

// recordFailure counts an interrupted answer or an error of the target. A target that fails much
// more often than the others gets less work, and finally goes into backoff like an unreachable
// one, even if it reports itself as healthy. Errors are fast, so such a target would otherwise
// attract more and more requests.
func (s *Shard) recordFailure(now time.Time, t *target) {
	t.errorRate += (1 - t.errorRate) * errorWeight
	mean := s.meanErrorRate()
	t.excessErrorRate = max(t.errorRate-mean-normalErrorDeviation, 0)
	if t.probing || t.errorRate > mean+maxErrorDeviation {
		s.startBackoff(now, t)
	}
	s.updateReady(t)
}

func (s *Shard) meanErrorRate() float64 {
	sum := 0.0
	for _, t := range s.targets {
		sum += t.errorRate
	}
	return sum / float64(max(len(s.targets), 1))
}

// reopenTargets ends the backoffs and pauses that are over.
func (s *Shard) reopenTargets(now time.Time) {
	s.backingOff = slices.DeleteFunc(s.backingOff, func(t *target) bool {
		if now.Before(t.retryAt) {
			return false
		}
		t.retryAt = time.Time{}
		s.updateReady(t)
		return true
	})
	s.paused = slices.DeleteFunc(s.paused, func(t *target) bool {
		if now.Before(t.pausedUntil) {
			return false
		}
		t.pausedUntil = time.Time{}
		if t.pauseRequested {
			t.pauseRequested = false
			s.updateTotalSlots()
		}
		s.updateReady(t)
		return true
	})
	s.reopenLimited(now)
}

// availableAt returns when the target may get its next attempt, zero if it may get one now.
func (t *target) availableAt() time.Time {
	at := t.retryAt
	if t.pauseRequested && t.pausedUntil.After(at) {
		at = t.pausedUntil
	}
	if t.rateUsedUp && t.rateOpensAt.After(at) {
		at = t.rateOpensAt
	}
	return at
}

// anyOpen reports whether any target may get work now or later.
func (s *Shard) anyOpen() bool {
	if s.ready.len() > 0 {
		return true
	}
	for _, t := range s.targets {
		if !t.closed {
			return true
		}
	}
	return false
}

// allUnavailable reports whether all open targets are in backoff, requested a pause or have used up
// their rate limit, and when the first of them is available again.
func (s *Shard) allUnavailable() (time.Time, bool) {
	if s.ready.len() > 0 || len(s.backingOff)+len(s.paused)+len(s.limited) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, t := range s.targets {
		if t.closed {
			continue
		}
		available := t.availableAt()
		if available.IsZero() {
			return time.Time{}, false
		}
		if first.IsZero() || available.Before(first) {
			first = available
		}
	}
	return first, !first.IsZero()
}
