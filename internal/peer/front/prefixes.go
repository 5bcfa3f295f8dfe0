package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/object"
)

// forwardedPrefixes holds the notices about causes that this arbiter has sent to its fronts.
type forwardedPrefixes struct {
	mu   sync.Mutex
	book *quarantine.Book
}

// record adds a notice and reports whether it is new.
func (f *forwardedPrefixes) record(now time.Time, n wire.PrefixNotice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.book
	f.book = before.With(now, n)
	return f.book != before
}

// announcePrefix notifies all fronts of a cause that may crash targets, or no longer does. They
// obey it also without an arbiter, and report it to the next one.
func (s *Server) announcePrefix(now time.Time, n wire.PrefixNotice) {
	s.board.RecordPrefix(now, n)
	s.common.Metrics.Tagged(map[string]string{"state": string(n.State)}).Counter(stateCounter(n.Kind)).Inc(1)
	s.log.WithFields(logrus.Fields{
		"pool": n.Pool, "kind": n.Kind, "prefix": n.Prefix.String(), "state": n.State, "version": n.Version, "crashes": n.Crashes, "isolated": n.Isolated,
		"requests": n.Requests, "checks": n.Checks, "next-check-ms": n.NextCheckMS,
	}).Warn(stateMessage(n.Kind))
	s.sendPrefix(now, n)
}

// stateCounter returns the name of the counter of changes of the states of causes.
func stateCounter(kind wire.CauseKind) string {
	if kind == wire.RequestCause {
		return "crashing_request_states"
	}
	return "prompt_prefix_states"
}

// stateMessage returns the log line about a change of the state of a cause.
func stateMessage(kind wire.CauseKind) string {
	if kind == wire.RequestCause {
		return "Request that crashes targets changed its state."
	}
	return "Prompt prefix changed its state."
}

// reportCrash logs and counts a crash of a target that broke requests, or connections that broke without one.
func (s *Server) reportCrash(pool object.PoolName, c quarantine.Crash) {
	metrics := s.common.Metrics.Tagged(map[string]string{"pool": string(pool)})
	if c.Unexplained {
		metrics.Counter("target_breaks_unexplained").Inc(1)
		s.log.WithFields(logrus.Fields{"pool": pool, "target": c.Target, "broken": c.Broken}).Info("Broken connections to a target are not explained.")
		return
	}
	metrics.Counter("target_crashes").Inc(1)
	metrics.Counter("requests_broken_by_crashes").Inc(int64(c.Broken))
	s.log.WithFields(logrus.Fields{
		"pool": pool, "target": c.Target, "broken": c.Broken, "begun": c.Begun, "blamed-prefixes": c.Blamed,
	}).Info("Target crashed.")
}

// recordPrefix records a notice about a cause that a front sends, and forwards it. The shard of the
// pool learns it before the next request of the front.
func (s *Server) recordPrefix(now time.Time, n wire.PrefixNotice) {
	s.board.RecordPrefix(now, n)
	s.worker(n.Pool).configure(s.board)
	s.sendPrefix(now, n)
}

// sendPrefix sends a notice to all fronts, unless they have it.
func (s *Server) sendPrefix(now time.Time, n wire.PrefixNotice) {
	if !s.forwardedPrefixes.record(now, n) {
		return
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for session := range s.sessions {
		session.box.Send(wire.Down{Prefix: &n})
	}
}
