package shard

import (
	"slices"
	"time"
)

// fail takes a target out until its next attempt, with exponential backoff.
func (s *Shard) fail(now time.Time, t *target) {
	backoff := min(minBackoff<<min(t.failures, 5), maxBackoff)
	if s.discovered {
		// Targets that are gone for good leave the list, so the others are tried again soon.
		backoff = min(discoveredMinBackoff<<min(t.failures, 5), discoveredMaxBackoff)
	}
	t.failures++
	t.probing = true
	if t.retryAt.IsZero() {
		s.failed = append(s.failed, t)
	}
	t.retryAt = now.Add(backoff)
	s.fixReady(t)
}

const (
	// rejectPause is how long a target that refused a request gets no new one.
	rejectPause = 50 * time.Millisecond
	// errorWeight is the weight of one answer in the error rate of a target.
	errorWeight = 0.15
	// usualDeviation is how far the error rate of a sound target may be above the mean.
	usualDeviation = 0.15
	// maxErrorRate is the error rate above that of the whole pool at which a target is taken
	// out and probed. One that answers each request with an error gets there after four.
	maxErrorRate = 0.45
)

// rejected pauses a target that has refused a request as full.
func (s *Shard) rejected(now time.Time, t *target) {
	if t.pausedUntil.IsZero() {
		s.paused = append(s.paused, t)
	}
	t.pausedUntil = now.Add(rejectPause)
	s.fixReady(t)
}

// failedAnswer counts an answer that was broken off or an error of the target. A target that
// fails much more often than the others gets less work and is taken out in the end like one
// that cannot be reached, whatever it says of its health: errors come fast, so it would draw
// ever more work.
func (s *Shard) failedAnswer(now time.Time, t *target) {
	t.errorRate += (1 - t.errorRate) * errorWeight
	mean := s.meanErrorRate()
	t.excess = max(t.errorRate-mean-usualDeviation, 0)
	if t.probing || t.errorRate > mean+maxErrorRate {
		s.fail(now, t)
	}
	s.fixReady(t)
}

func (s *Shard) meanErrorRate() float64 {
	sum := 0.0
	for _, t := range s.targets {
		sum += t.errorRate
	}
	return sum / float64(max(len(s.targets), 1))
}

// reopen lets targets be tried again whose backoff has passed.
func (s *Shard) reopen(now time.Time) {
	s.failed = slices.DeleteFunc(s.failed, func(t *target) bool {
		if now.Before(t.retryAt) {
			return false
		}
		t.retryAt = time.Time{}
		s.fixReady(t)
		return true
	})
	s.paused = slices.DeleteFunc(s.paused, func(t *target) bool {
		if now.Before(t.pausedUntil) {
			return false
		}
		t.pausedUntil = time.Time{}
		s.fixReady(t)
		return true
	})
}

// anyOpen reports whether some target may get work now or after a backoff.
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

// allUnreachable reports whether the last attempt to connect has failed at every open
// target, and when the first of them is tried again.
func (s *Shard) allUnreachable() (time.Time, bool) {
	if s.ready.len() > 0 || len(s.failed) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, t := range s.targets {
		if t.closed {
			continue
		}
		if t.retryAt.IsZero() {
			return time.Time{}, false
		}
		if first.IsZero() || t.retryAt.Before(first) {
			first = t.retryAt
		}
	}
	return first, !first.IsZero()
}

// compareTargets finds stragglers: targets slower than the median of their generation.
