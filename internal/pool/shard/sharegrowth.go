package shard

import (
	"slices"
	"time"

	"redwinglock/internal/state/outcome"
)

// shareGrowth holds requests that exceed this arbiter's share of a quota while the share still grows.
//
// Load pattern: all hosts start together with a backlog of callers. Fronts attach to the new arbiter
// one after another, so its share of each quota starts at one host's part. Requests that the whole
// quota allows would be refused and come back after their latency objective has passed.
type shareGrowth struct {
	// wait is how long after the first request a request may be deferred. 0 disables deferral.
	wait time.Duration
	// endsAt is the end of the period in which requests are deferred, zero before the first request.
	endsAt time.Time
	// deferred holds the requests that wait for a larger share. They are in no queue.
	deferred []*request
	// retriedAt is when the deferred requests were last retried, and retriedShare the share at that time.
	retriedAt    time.Time
	retriedShare float64
}

// deferredRetryInterval is the time between two retries with the same share. Less of the usage is unknown
// with each moment since the start.
const deferredRetryInterval = 20 * time.Millisecond

// SetStartWait sets how long after the first request of a new arbiter a request may wait for a larger
// share of its account's quota. 0 disables the wait.
func (s *Shard) SetStartWait(wait time.Duration) { s.growth.wait = wait }

// deferForShare keeps a request that exceeds the share of a quota, and reports whether it did.
func (s *Shard) deferForShare(now time.Time, q *request) bool {
	if !s.discovered || !now.Before(s.growth.endsAt) {
		return false
	}
	q.deferred = true
	s.growth.deferred = append(s.growth.deferred, q)
	return true
}

// beginShareGrowth starts the period in which requests are deferred with the first request.
func (s *Shard) beginShareGrowth(now time.Time) {
	if s.growth.endsAt.IsZero() {
		s.growth.endsAt = now.Add(s.growth.wait)
	}
}

// retryDeferred admits the deferred requests that fit into the quota now, the highest rank first. It
// refuses the others once the period has ended.
func (s *Shard) retryDeferred(now time.Time) {
	g := &s.growth
	if len(g.deferred) == 0 {
		return
	}
	isOver := !now.Before(g.endsAt)
	if !isOver && s.share.Quota == g.retriedShare && now.Sub(g.retriedAt) < deferredRetryInterval {
		return
	}
	g.retriedAt, g.retriedShare = now, s.share.Quota
	slices.SortStableFunc(g.deferred, func(a, b *request) int {
		return slices.Index(s.tiers, a.tier) - slices.Index(s.tiers, b.tier)
	})
	for _, q := range slices.Clone(g.deferred) {
		state, wait := s.chargeQuota(now, q)
		switch {
		case state == nil:
			s.removeDeferred(q)
			s.countDeferred(q)
			s.enqueueNew(now, q)
		case isOver:
			s.removeDeferred(q)
			s.refuseOverQuota(now, q, state, wait)
		}
	}
}

func (s *Shard) removeDeferred(q *request) {
	q.deferred = false
	s.growth.deferred = slices.DeleteFunc(s.growth.deferred, func(other *request) bool { return other == q })
}

// refuseOverQuota refuses a request that is in no queue because its account exceeds its quota.
func (s *Shard) refuseOverQuota(now time.Time, q *request, state *QuotaState, wait time.Duration) {
	s.removeRequest(q)
	s.countRefusal(q, outcome.AccountLimit)
	s.recordRefusal(now, q)
	s.decisions = append(s.decisions, Refuse{
		ID: q.ID, Tier: q.tier.name, Class: q.tier.class, Reason: outcome.AccountLimit,
		RetryAfter: s.extendRetryAfter(now, q, max(wait, minRetryAfter)), MayRetry: q.MayRetry, Quota: state,
	})
}
