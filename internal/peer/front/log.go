package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// summaryInterval is the time between two log lines about a pool that is in use.
const summaryInterval = time.Second

// logSummary logs the state of a pool that is in use, at most once per summaryInterval.
func (w *worker) logSummary(now time.Time, s *Server, pool object.PoolName) {
	if now.Sub(w.loggedAt) < summaryInterval {
		return
	}
	w.loggedAt = now
	sum := w.shard.Summary(now)
	s.log.WithFields(logrus.Fields{
		"pool": pool, "targets": sum.Targets, "open": sum.Open, "ready": sum.Ready, "failed": sum.Failed,
		"slots": sum.Slots, "slot-share": sum.Share.Slots, "quota-share": sum.Share.Quota,
		"waiting": sum.Waiting, "late": sum.Late, "running": sum.Running, "kept": sum.Kept,
		"rate-limited": sum.Limited, "rate-limit": sum.RateLimit, "rate-held-back": sum.HeldBack,
	}).WithFields(w.countFields(s)).Info("Pool state.")
}

// countFields returns the counts since the last line as fields of a log line, and adds them to the
// metrics.
func (w *worker) countFields(s *Server) logrus.Fields {
	counts := w.shard.TakeCounts()
	for _, c := range counts {
		s.countRateLimited("held-back", c.HeldBack)
		s.countRateLimited("diverted", c.Diverted)
		s.countOnIdleConnection(c.OnIdleConnection)
		s.countCached(c)
	}
	return countFields(counts)
}

// countRateLimited counts requests that waited for the rate limit of a target or were granted another
// target.
func (s *Server) countRateLimited(effect string, n int) {
	if n == 0 {
		return
	}
	s.common.Metrics.Tagged(map[string]string{"effect": effect}).Counter("rate_limited_requests").Inc(int64(n))
}

// countOnIdleConnection counts grants of targets to which the front has an idle connection.
func (s *Server) countOnIdleConnection(n int) {
	if n == 0 {
		return
	}
	s.common.Metrics.Counter("grants_on_idle_connections").Inc(int64(n))
}

// countCached counts the prompt tokens that targets were expected to hold, and the grants of busier targets
// for them.
func (s *Server) countCached(c *shard.Counts) {
	if c.CachedTokens == 0 {
		return
	}
	s.common.Metrics.Counter("cached_prompt_tokens").Inc(int64(c.CachedTokens))
	s.common.Metrics.Counter("grants_busier_for_cache").Inc(int64(c.BusierForCache))
}

// refusalCounts holds the number of refusals by class and reason.
type refusalCounts map[object.TierName]map[outcome.Reason]int

// countFields returns the counts by class as fields of one log line.
func countFields(counts map[object.TierName]*shard.Counts) logrus.Fields {
	granted, grantedLate, refusedAgain := map[object.TierName]int{}, map[object.TierName]int{}, map[object.TierName]int{}
	onIdleConnection := map[object.TierName]int{}
	cachedTokens, busierForCache := map[object.TierName]int{}, map[object.TierName]int{}
	heldBack, diverted, deferred := map[object.TierName]int{}, map[object.TierName]int{}, map[object.TierName]int{}
	refused := refusalCounts{}
	for class, c := range counts {
		granted[class] = c.Granted
		grantedLate[class] = c.GrantedLate
		refused[class] = c.Refused
		refusedAgain[class] = c.RefusedAgain
		onIdleConnection[class] = c.OnIdleConnection
		cachedTokens[class], busierForCache[class] = c.CachedTokens, c.BusierForCache
		heldBack[class], diverted[class], deferred[class] = c.HeldBack, c.Diverted, c.Deferred
	}
	return logrus.Fields{
		"granted": granted, "granted-late": grantedLate, "refused": refused, "refused-again": refusedAgain,
		"waited-for-rate": heldBack, "diverted-by-rate": diverted, "deferred-for-share": deferred,
		"on-idle-connection":   onIdleConnection,
		"cached-prompt-tokens": cachedTokens, "busier-for-cache": busierForCache,
	}
}

// refusalLinesPerSecond limits the log lines about refusals of one pool. The summary of the pool
// counts all refusals.
const refusalLinesPerSecond = 100

// logRefusal logs a refusal with the state of the pool on which the decision was based.
func (w *worker) logRefusal(now time.Time, d shard.Refuse) {
	if w.sessions[d.ID].session == nil || !w.refusals.Allow(now) {
		return
	}
	sum := w.shard.Summary(now)
	log := w.sessions[d.ID].session.server.log
	if d.Quota != nil {
		log = log.WithFields(logrus.Fields{
			"account": d.Quota.Account, "quota-cost": d.Quota.Cost, "quota-used": d.Quota.Used, "quota-limit": d.Quota.Limit,
			"quota-elsewhere": d.Quota.Elsewhere, "quota-unknown": d.Quota.Unknown,
			"class-used": d.Quota.ClassUsed, "class-limit": d.Quota.ClassLimit,
		})
	}
	log.WithFields(logrus.Fields{
		"request": d.ID, "tier": d.Tier, "class": d.Class, "reason": d.Reason, "retry-after": d.RetryAfter.String(),
		"waited-ms": d.Waited.Milliseconds(), "late": d.Late, "may-return": d.MayRetry, "ready": sum.Ready, "failed": sum.Failed, "slots": sum.Slots,
		"slot-share": sum.Share.Slots, "quota-share": sum.Share.Quota, "waiting": sum.Waiting, "running": sum.Running,
	}).Info("Request refused.")
}
