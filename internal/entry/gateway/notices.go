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

// targetNotices keeps what targets have said of themselves in answers to this host, which binds
// it whatever the arbiter knows, and tells the arbiter of it.
type targetNotices struct {
	arbiters *arbiter.Client
	book     atomic.Pointer[notice.Book]
}

func newTargetNotices(arbiters *arbiter.Client) *targetNotices {
	return &targetNotices{arbiters: arbiters}
}

// note takes a notice and tells the arbiter.
func (t *targetNotices) note(n wire.TargetNotice, now time.Time) {
	for {
		before := t.book.Load()
		if t.book.CompareAndSwap(before, before.With(now, n)) {
			break
		}
	}
	t.arbiters.Notify(n)
}

// open reports whether this host may send requests to a target.
func (t *targetNotices) open(target *object.Target, now time.Time) bool {
	return t.book.Load().State(target.Name, target.StartedMS).Open(now)
}

// tellAgain tells the arbiter what this host knows of a target that the arbiter has granted
// all the same, because it has begun to arbitrate since. target may be nil.
func (t *targetNotices) tellAgain(pool object.PoolName, target *object.Target, now time.Time) {
	if target == nil {
		return
	}
	if n, holds := t.book.Load().Notice(now, target.Name, target.StartedMS); holds {
		n.Pool = pool
		t.arbiters.Notify(n)
	}
}

// noteReply takes from an answer what the target says of itself.
func (s *Server) noteReply(r *request, target *object.Target, reply Reply) {
	now := time.Now()
	n := wire.TargetNotice{Pool: r.pool, Target: target.Name, StartedMS: target.StartedMS, Leaving: reply.Leaving && !reply.Wrong, Moved: reply.Wrong}
	if reply.RetryAfter != "" {
		quiet, err := parseQuiet(reply.RetryAfter)
		if err != nil {
			r.log.WithError(err).WithField("target", target.Name).Warn("Wish of a target bounded or ignored.")
		}
		n.QuietMS = quiet.Milliseconds()
	}
	state := s.notices.book.Load().State(target.Name, target.StartedMS)
	isNew := n.Leaving && !state.Leaving || n.Moved && !state.Moved || n.QuietMS > 0
	if !isNew {
		return
	}
	s.notices.note(n, now)
	s.countNotice(n)
	r.log.WithFields(logrus.Fields{"target": n.Target, "leaving": n.Leaving, "moved": n.Moved, "quiet-ms": n.QuietMS}).Info("Target takes no new requests.")
}

// countNotice counts notices by what they say.
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

// parseQuiet reads the seconds for which a target wants no requests. What is no such time is
// returned as none with an error, and what is too long as notice.MaxQuiet with an error.
func parseQuiet(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(seconds):
		return 0, fmt.Errorf("retry-after: %q is not a number of seconds", text)
	case seconds < 0:
		return 0, fmt.Errorf("retry-after: %q is negative", text)
	case seconds > notice.MaxQuiet.Seconds():
		return notice.MaxQuiet, fmt.Errorf("retry-after: %q is more than %v", text, notice.MaxQuiet)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
