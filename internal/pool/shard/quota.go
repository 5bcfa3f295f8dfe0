package shard

import (
	"time"

	"redwinglock/internal/state/object"
)

const (
	// quotaMargin is the share by which an account may pass its rate, so that one inside
	// its limit is not refused because its requests arrive bunched.
	quotaMargin = 0.02
	// startShare is the share of the burst that a new arbiter assumes to be left. It does
	// not know what its predecessor has granted.
	startShare = 0.1
	// toleranceShare is the part of the tolerated excess that is used; the rest covers what
	// a change of arbiter may grant twice.
	toleranceShare = 0.8
)

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the bucket to the present.
func (b *bucket) fill(now time.Time, perSecond, capacity float64) {
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	b.level = min(b.level+elapsed*perSecond, capacity)
}

// quotaUse holds what an account may still run: within its quota, and beyond it within
// what is tolerated.
type quotaUse struct {
	within, beyond bucket
}

// fill brings both buckets to the present. Half of the tolerated excess can be used at
// once, the other half comes back over the window, so that no window gets more than all.
func (u *quotaUse) fill(now time.Time, q *object.Quota, share float64) {
	u.within.fill(now, q.PerSecond*(1+quotaMargin)*share, q.Burst*share)
	excess := q.Tolerated() * toleranceShare * share / 2
	if q.Window > 0 {
		u.beyond.fill(now, excess/time.Duration(q.Window).Seconds(), excess)
	}
}

// take uses the quota, or the tolerated excess, and reports whether there was enough.
func (u *quotaUse) take(cost, need float64) bool {
	switch {
	case u.within.level >= need:
		u.within.level -= cost
	case u.beyond.level >= cost:
		u.beyond.level -= cost
	default:
		return false
	}
	return true
}

// takeQuota charges a request to its account. If the account has used up its quota, it
// returns the time after which it has enough.
func (s *Shard) takeQuota(now time.Time, q *request) (time.Duration, bool) {
	quota := s.quota(q.Account)
	if quota == nil || q.QuotaCost <= 0 {
		return 0, true
	}
	use := s.quotas[q.Account]
	if use == nil {
		use = &quotaUse{within: bucket{quota.Burst * startShare * s.share.Quota, now}, beyond: bucket{0, now}}
		s.quotas[q.Account] = use
	}
	use.fill(now, quota, s.share.Quota)
	// A request larger than the burst passes when the bucket is full.
	need := min(q.QuotaCost, quota.Burst*s.share.Quota)
	if !use.take(q.QuotaCost, need) {
		missing := need - use.within.level
		return time.Duration(missing / (quota.PerSecond * s.share.Quota) * float64(time.Second)), false
	}
	q.charged = q.QuotaCost
	return 0, true
}

// refundQuota gives back what a request was charged that did not run.
func (s *Shard) refundQuota(q *request) {
	if use := s.quotas[q.Account]; use != nil {
		use.within.level += q.charged
	}
	q.charged = 0
}

func (s *Shard) quota(name object.AccountName) *object.Quota {
	if s.snapshot == nil {
		return nil
	}
	account := s.snapshot.Account(name)
	if account == nil {
		return nil
	}
	return account.Quota
}
