package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
)

// pacers apply this host's own share of the rate limits of targets to requests that no arbiter has
// counted: the arbiter does not know the limit yet, or is an older build.
type pacers struct {
	mu       sync.Mutex
	byTarget map[object.TargetName]*pacer
}

// pacer paces the requests of this host to one run of a target.
type pacer struct {
	startedMS int64
	usedAt    time.Time
	shard.RatePacer
}

// pacerRetention is how long the pacer of a target is kept after its last use.
const pacerRetention = 10 * time.Minute

// take counts a request and reports whether the limit of this host, in requests per second, allows it.
func (p *pacers) take(target *object.Target, perSecond float64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paced := p.byTarget[target.Name]
	if paced == nil || paced.startedMS != target.StartedMS {
		maps.DeleteFunc(p.byTarget, func(_ object.TargetName, other *pacer) bool { return now.Sub(other.usedAt) > pacerRetention })
		paced = &pacer{startedMS: target.StartedMS, RatePacer: shard.NewRatePacer(now, perSecond, 0)}
		p.byTarget[target.Name] = paced
	}
	paced.usedAt = now
	paced.SetRate(now, perSecond)
	if !paced.Allows(now) {
		return false
	}
	paced.Take(now)
	return true
}

// rateNotice returns what a response says about the rate limit of its target, nil if it says nothing
// new. sentAge is the time since the request was sent.
func (s *Server) rateNotice(r *request, target *object.Target, reply Reply, sentAge time.Duration) *wire.RateNotice {
	if reply.Misdirected || reply.ID != r.info.ID {
		return nil // The response is not from this target or not to this request.
	}
	limit, known, err := notice.ParseRateLimit(reply.RateLimit)
	if err != nil && s.rateLimitLogs.Allow(time.Now()) {
		r.log.WithError(err).WithField("target", target.Name).Warn("Rate limit of a target bounded or ignored.")
	}
	limited := r.rateCounted || s.board.Notices().State(target.Name, target.StartedMS).RateLimit > 0
	mayEnd := limited && !reply.NotRun // A refusal need not name the limit.
	if !known || limit == 0 && !mayEnd {
		return nil
	}
	return &wire.RateNotice{PerSecond: limit, SentAgeUS: sentAge.Microseconds()}
}

// logRateLimit logs and counts a change of the rate limit of a target.
func (s *Server) logRateLimit(r *request, target object.TargetName, change notice.Change) {
	before, after := change.Before.RateLimit, change.After.RateLimit
	if before == after {
		return
	}
	kind := "rate-limit"
	if after == 0 {
		kind = "rate-limit-ended"
	}
	s.countNotice(kind)
	r.log.WithFields(logrus.Fields{"target": target, "rate-limit": after, "previous": before}).Info("Target changed its rate limit.")
}
