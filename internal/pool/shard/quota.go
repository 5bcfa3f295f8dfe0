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
	startShare = 0.5
)

// quotaBucket holds what an account may still run.
type quotaBucket struct {
	level float64
	at    time.Time
}

// fill brings the bucket to the present.
func (b *quotaBucket) fill(now time.Time, q *object.Quota, share float64) {
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	b.level = min(b.level+elapsed*q.PerSecond*(1+quotaMargin)*share, q.Burst*share)
}

// takeQuota charges a request to its account. If the account has used up its quota, it
// returns the time after which it has enough.
func (s *Shard) takeQuota(now time.Time, q *request) (time.Duration, bool) {
	quota := s.quota(q.Account)
	if quota == nil || q.QuotaCost <= 0 {
		return 0, true
	}
	bucket := s.quotas[q.Account]
	if bucket == nil {
		bucket = &quotaBucket{level: quota.Burst * startShare * s.share.Quota, at: now}
		s.quotas[q.Account] = bucket
	}
	bucket.fill(now, quota, s.share.Quota)
	// A request larger than the burst passes when the bucket is full.
	need := min(q.QuotaCost, quota.Burst*s.share.Quota)
	if bucket.level < need {
		missing := need - bucket.level
		return time.Duration(missing / (quota.PerSecond * s.share.Quota) * float64(time.Second)), false
	}
	bucket.level -= q.QuotaCost
	q.charged = q.QuotaCost
	return 0, true
}

// refundQuota gives back what a request was charged that did not run.
func (s *Shard) refundQuota(q *request) {
	if bucket := s.quotas[q.Account]; bucket != nil {
		bucket.level += q.charged
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
