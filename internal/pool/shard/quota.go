package shard

import (
	"sync"
	"time"

	"redwinglock/internal/state/object"
)

const (
	// quotaMargin is the share by which an account may pass its rate, so that one inside
	// its limit is not refused because its requests arrive bunched.
	quotaMargin = 0.02
	// startShare is the least share of the burst that a new arbiter assumes to be left. It
	// does not know what its predecessor has granted.
	startShare = 0.1
	// toleranceShare is the part of the tolerated excess that is used; the rest covers what
	// a change of arbiter may grant twice.
	toleranceShare = 0.7
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
	// started is the highest share of the quota for which the start level was given.
	started float64
}

// startLevel returns what a new arbiter may grant at once: what is left of the tolerated
// excess when its predecessor has used its part to the full.
func startLevel(q *object.Quota) float64 {
	rest := q.Tolerated() * (1 - toleranceShare)
	rest -= q.PerSecond * quotaMargin * time.Duration(q.Window).Seconds()
	return min(max(rest, q.Burst*startShare), q.Burst)
}

// start gives the start level for a share that has grown. Fronts come to a new arbiter one
// after the other.
func (u *quotaUse) start(q *object.Quota, share float64) {
	if share <= u.started {
		return
	}
	u.within.level += (share - u.started) * startLevel(q)
	u.started = share
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

// Quotas counts what accounts use of their quotas in all pools of one arbiter. It is safe
// for concurrent use.
type Quotas struct {
	mu   sync.Mutex
	uses map[object.AccountName]*quotaUse
}

// NewQuotas creates quotas of which nothing is known to be used.
func NewQuotas() *Quotas { return &Quotas{uses: map[object.AccountName]*quotaUse{}} }

// take charges an account. share is this arbiter's part of the quota. If the account has
// used it up, take returns the time after which it has enough.
func (q *Quotas) take(now time.Time, name object.AccountName, quota *object.Quota, cost, share float64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	use := q.uses[name]
	if use == nil {
		use = &quotaUse{within: bucket{0, now}, beyond: bucket{0, now}}
		q.uses[name] = use
	}
	use.start(quota, share)
	use.fill(now, quota, share)
	// A request larger than the burst passes when the bucket is full.
	need := min(cost, quota.Burst*share)
	if use.take(cost, need) {
		return 0, true
	}
	missing := need - use.within.level
	return time.Duration(missing / (quota.PerSecond * share) * float64(time.Second)), false
}

// refund gives back what was charged for a request that did not run.
func (q *Quotas) refund(name object.AccountName, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if use := q.uses[name]; use != nil {
		use.within.level += cost
	}
}

// takeQuota charges a request to its account. If the account has used up its quota, it
// returns the time after which it has enough.
func (s *Shard) takeQuota(now time.Time, q *request) (time.Duration, bool) {
	quota := s.quota(q.Account)
	if quota == nil || q.QuotaCost <= 0 {
		return 0, true
	}
	wait, ok := s.quotas.take(now, q.Account, quota, q.QuotaCost, s.share.Quota)
	if ok {
		q.charged = q.QuotaCost
	}
	return wait, ok
}

// refundQuota gives back what a request was charged that did not run.
func (s *Shard) refundQuota(q *request) {
	if q.charged > 0 {
		s.quotas.refund(q.Account, q.charged)
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
