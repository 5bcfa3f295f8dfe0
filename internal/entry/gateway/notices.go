package gateway

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// targetNotices writes the notices that this host receives in answers of targets to the board and
// forwards them to the arbiter. This host obeys all notices on the board even if the arbiter does not
// have them.
type targetNotices struct {
	board    *board.Board
	arbiters *arbiter.Client
	pacers   pacers
}

func newTargetNotices(b *board.Board, arbiters *arbiter.Client) *targetNotices {
	return &targetNotices{board: b, arbiters: arbiters, pacers: pacers{byTarget: map[object.TargetName]*pacer{}}}
}

// acceptsRequests reports whether this host may send a request to a target. rateCounted is set if the
// arbiter has counted the request against the rate limit of the target. Otherwise, the request counts
// against this host's own share of the limit.
func (t *targetNotices) acceptsRequests(target *object.Target, rateCounted bool, now time.Time) bool {
	state := t.board.Notices().State(target.Name, target.StartedMS)
	if !state.Open(now) {
		return false
	}
	if rateCounted || state.RateLimit == 0 {
		return true
	}
	return t.pacers.take(target, float64(state.RateLimit)/float64(max(t.board.Members().Registered, 1)), now)
}

// resend sends the stored notice of a target, if there is one, to the arbiter again. It is called
// when the arbiter has granted a target that accepts no requests: the pool may have a new
// arbiter, which does not have the notice. target may be nil.
func (t *targetNotices) resend(pool object.PoolName, target *object.Target, now time.Time) {
	if target == nil {
		return
	}
	if n, found := t.board.Notices().Notice(now, target.Name, target.StartedMS); found {
		n.Pool = pool
		t.arbiters.Notify(n)
	}
}

// recordNotice records the notice that a target has sent in a response, if the notice is new.
func (s *Server) recordNotice(r *request, target *object.Target, reply Reply, sentAt time.Time) {
	now := time.Now()
	n := wire.TargetNotice{Pool: r.pool, Target: target.Name, StartedMS: target.StartedMS, Leaving: reply.Leaving && !reply.Misdirected, Moved: reply.Misdirected}
	if reply.RetryAfter != "" {
		delay, err := parseRetryAfter(reply.RetryAfter)
		if err != nil {
			r.log.WithError(err).WithField("target", target.Name).Warn("Retry-After of a target bounded or ignored.")
		}
		n.PauseMS = delay.Milliseconds()
	}
	state := s.board.Notices().State(target.Name, target.StartedMS)
	isNew := n.Leaving && !state.Leaving || n.Moved && !state.Moved || n.PauseMS > 0
	n.Rate = s.rateNotice(r, target, reply, now.Sub(sentAt))
	if !isNew && n.Rate == nil {
		return
	}
	change := s.board.RecordNotice(now, n)
	// The arbiter may still pace a target of which this host knows that its limit has ended.
	if isNew || change.Recorded || r.rateCounted {
		s.notices.arbiters.Notify(n)
	}
	if isNew {
		s.countNotice(noticeKind(n))
		r.log.WithFields(logrus.Fields{"target": n.Target, "leaving": n.Leaving, "moved": n.Moved, "quiet-ms": n.PauseMS}).Info("Target takes no new requests.")
	}
	s.logRateLimit(r, n.Target, change)
}

// noticeKind returns the kind of a notice for the metrics.
func noticeKind(n wire.TargetNotice) string {
	switch {
	case n.Leaving:
		return "leaving"
	case n.Moved:
		return "moved"
	}
	return "quiet"
}

// countNotice counts a notice in the metrics by its kind.
func (s *Server) countNotice(kind string) {
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
