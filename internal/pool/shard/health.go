package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
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
	s.pause(t, now.Add(rejectPause))
}

// pause keeps work from a target until the given time.
func (s *Shard) pause(t *target, until time.Time) {
	if t.pausedUntil.IsZero() {
		s.paused = append(s.paused, t)
	}
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	s.fixReady(t)
}

// Notice takes what a target has said of itself in an answer to some front. It gets no new
// work from then on, for as long as it said or until it starts again.
func (s *Shard) Notice(now time.Time, n wire.TargetNotice) []Decision {
	s.notices = s.notices.With(now, n)
	t := s.targets[n.Target]
	if t == nil || t.startedMS != n.StartedMS {
		return s.step(now)
	}
	state := s.notices.State(n.Target, n.StartedMS)
	t.closed = t.closed || state.Closed()
	if now.Before(state.QuietUntil) {
		t.quiet = true
		s.pause(t, state.QuietUntil)
	}
	s.fixReady(t)
	s.countSlots()
	return s.step(now)
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
		if t.quiet {
			t.quiet = false
			s.countSlots()
		}
		s.fixReady(t)
		return true
	})
}

// opensAt returns when the target may be tried again, zero if it may be now.
func (t *target) opensAt() time.Time {
	if t.quiet && t.pausedUntil.After(t.retryAt) {
		return t.pausedUntil
	}
	return t.retryAt
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

// allUnreachable reports whether no open target may be tried now, because the last attempt to
// connect has failed or it wants no requests for a while, and when the first of them may.
func (s *Shard) allUnreachable() (time.Time, bool) {
	if s.ready.len() > 0 || len(s.failed)+len(s.paused) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, t := range s.targets {
		if t.closed {
			continue
		}
		opens := t.opensAt()
		if opens.IsZero() {
			return time.Time{}, false
		}
		if first.IsZero() || opens.Before(first) {
			first = opens
		}
	}
	return first, !first.IsZero()
}
