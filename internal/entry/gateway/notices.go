package gateway

import (
	"fmt"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// targetNotices stores the notices that this host has received in answers of targets and forwards
// them to the arbiter. This host obeys them even if the arbiter does not have them.
type targetNotices struct {
	arbiters *arbiter.Client
	book     atomic.Pointer[notice.Book]
}

func newTargetNotices(arbiters *arbiter.Client) *targetNotices {
	return &targetNotices{arbiters: arbiters}
}

// record stores a notice and sends it to the arbiter.
func (t *targetNotices) record(n wire.TargetNotice, now time.Time) {
	for {
		before := t.book.Load()
		if t.book.CompareAndSwap(before, before.With(now, n)) {
			break
		}
	}
	t.arbiters.Notify(n)
}

// acceptsRequests reports whether this host may send requests to a target.
func (t *targetNotices) acceptsRequests(target *object.Target, now time.Time) bool {
	return t.book.Load().State(target.Name, target.StartedMS).Open(now)
}

// resend sends the stored notice of a target, if there is one, to the arbiter again. It is called
// when the arbiter has granted a target that accepts no requests: the pool may have a new
// arbiter, which does not have the notice. target may be nil.
func (t *targetNotices) resend(pool object.PoolName, target *object.Target, now time.Time) {
	if target == nil {
		return
	}
	if n, found := t.book.Load().Notice(now, target.Name, target.StartedMS); found {
		n.Pool = pool
		t.arbiters.Notify(n)
	}
}

// logRateLimit logs and counts a response that names a rate limit.
func (s *Server) logRateLimit(r *request, target *object.Target, reply Reply) {
	if len(reply.RateLimit) == 0 {
		return
	}
	s.common.Metrics.Tagged(map[string]string{"notice": "rate-limit"}).Counter("target_notices").Inc(1)
	if s.rateLimitLogs.Allow(time.Now()) {
		r.log.WithFields(logrus.Fields{"target": target.Name, "rate-limit": reply.RateLimit}).Info("Target names a rate limit.")
	}
}

// recordNotice records the notice that a target has sent in a response, if the notice is new.
func (s *Server) recordNotice(r *request, target *object.Target, reply Reply) {
	now := time.Now()
	n := wire.TargetNotice{Pool: r.pool, Target: target.Name, StartedMS: target.StartedMS, Leaving: reply.Leaving && !reply.Misdirected, Moved: reply.Misdirected}
	if reply.RetryAfter != "" {
		delay, err := parseRetryAfter(reply.RetryAfter)
		if err != nil {
			r.log.WithError(err).WithField("target", target.Name).Warn("Retry-After of a target bounded or ignored.")
		}
		n.PauseMS = delay.Milliseconds()
	}
	state := s.notices.book.Load().State(target.Name, target.StartedMS)
	isNew := n.Leaving && !state.Leaving || n.Moved && !state.Moved || n.PauseMS > 0
	if !isNew {
		return
	}
	s.notices.record(n, now)
	s.countNotice(n)
	r.log.WithFields(logrus.Fields{"target": n.Target, "leaving": n.Leaving, "moved": n.Moved, "quiet-ms": n.PauseMS}).Info("Target takes no new requests.")
}

// countNotice counts a notice in the metrics by its kind.
func (s *Server) countNotice(n wire.TargetNotice) {
	kind := "quiet"
	switch {
	case n.Leaving:
		kind = "leaving"
	case n.Moved:
		kind = "moved"
	}
	s.common.Metrics.Tagged(map[string]string{"notice": kind}).Counter("target_notices").Inc(1)
}

// parseRetryAfter reads the number of seconds for which a target accepts no requests. It returns an
// error with a duration of 0 if the text is invalid, and an error with notice.MaxPause if the time
// is too long.
func parseRetryAfter(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(seconds):
		return 0, fmt.Errorf("retry-after: %q is not a number of seconds", text)
	case seconds < 0:
		return 0, fmt.Errorf("retry-after: %q is negative", text)
	case seconds > notice.MaxPause.Seconds():
		return notice.MaxPause, fmt.Errorf("retry-after: %q is more than %v", text, notice.MaxPause)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
