package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
)

// forwardedNotices holds the notices of targets that this arbiter has forwarded to its fronts.
type forwardedNotices struct {
	mu   sync.Mutex
	book *notice.Book
}

// record adds a notice.
func (f *forwardedNotices) record(now time.Time, n wire.TargetNotice) notice.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.book
	f.book = before.With(now, n)
	return notice.Change{
		Before: before.State(n.Target, n.StartedMS), After: f.book.State(n.Target, n.StartedMS), Recorded: f.book != before,
	}
}

// recordNotice applies a notice of a target. If it changes the state of the target, it is forwarded to
// all fronts, so that they know it when another host becomes the arbiter.
func (s *Server) recordNotice(now time.Time, n wire.TargetNotice) {
	s.board.RecordNotice(now, n)
	s.worker(n.Pool).notice(now, n)
	change := s.forwarded.record(now, n)
	if change.Before == change.After {
		return
	}
	if change.Before.RateLimit != change.After.RateLimit {
		s.log.WithFields(logrus.Fields{
			"pool": n.Pool, "target": n.Target, "rate-limit": change.After.RateLimit, "previous": change.Before.RateLimit,
		}).Info("Rate limit of a target changed.")
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for session := range s.sessions {
		session.box.Send(wire.Down{Notice: &n})
	}
}

// LearnNotice applies a notice that this host has received from another arbiter or from a target to the
// shards that it may have to run next.
func (s *Server) LearnNotice(now time.Time, n wire.TargetNotice) {
	s.mu.RLock()
	w := s.workers[n.Pool]
	s.mu.RUnlock()
	if w != nil {
		w.notice(now, n)
	}
}
