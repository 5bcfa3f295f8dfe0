package shard

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// quotaMargin is the share by which an account may pass its rate, so that one inside
	// its limit is not refused because its requests arrive bunched.
	quotaMargin = 0.02
	// toleranceShare is the part of the tolerated excess that is given out over time.
	toleranceShare = 0.9
	// windowShare is the part of the tolerated excess that one window may hold. The rest
	// covers fronts that were lost and can no longer tell what they have used.
	windowShare = 0.9
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
	// granted is what all fronts were granted lately, by this arbiter and by those before it,
	// and fronts the part of each front in it.
	granted *UseWindow
	fronts  map[wire.HostID]*UseWindow
}

func newQuotaUse(now time.Time) *quotaUse {
	return &quotaUse{within: bucket{0, now}, beyond: bucket{0, now}, granted: NewUseWindow(now), fronts: map[wire.HostID]*UseWindow{}}
}

// note counts a grant to a front.
func (u *quotaUse) note(at time.Time, front wire.HostID, cost float64) {
	window := u.fronts[front]
	if window == nil {
		window = NewUseWindow(at)
		u.fronts[front] = window
	}
	window.Add(at, cost)
	u.granted.Add(at, cost)
}

// start gives the start level for a share that has grown. Fronts come to a new arbiter one
// after the other.
func (u *quotaUse) start(q *object.Quota, share float64) {
	if share <= u.started {
		return
	}
	u.within.level += (share - u.started) * q.Burst
	u.started = share
}

// fill brings both buckets to the present. The tolerated excess can be used at once and
// comes back over the window; the sum of each window bounds both.
func (u *quotaUse) fill(now time.Time, q *object.Quota, share float64) {
	u.within.fill(now, q.PerSecond*(1+quotaMargin)*share, q.Burst*share)
	excess := q.Tolerated() * toleranceShare * share
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
	// counting is since when each front has kept count of its use.
	counting map[wire.HostID]time.Time
	// servingSince and servedAt are the first and the last time that this arbiter granted
	// anything without a long pause.
	servingSince, servedAt time.Time
}

// NewQuotas creates quotas of which nothing is known to be used.
func NewQuotas() *Quotas {
	return &Quotas{uses: map[object.AccountName]*quotaUse{}, counting: map[wire.HostID]time.Time{}}
}

// Learn adds what a front has used by the grants of other arbiters.
func (q *Quotas) Learn(now time.Time, front wire.HostID, used wire.Used) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counting[front] = now.Add(-time.Duration(used.AgeMS) * time.Millisecond)
	step := time.Duration(used.StepMS) * time.Millisecond
	q.prune(now)
	for _, account := range used.Accounts {
		use := q.use(now, account.Account)
		known := 0.0
		if window := use.fronts[front]; window != nil {
			known = window.Sum(now, UseSpan)
		}
		use.learn(now, front, account.Costs, known, step)
	}
}

// learn adds the part of a front's use that is not known yet. It counts as the latest part,
// because a front goes elsewhere and comes back.
func (u *quotaUse) learn(now time.Time, front wire.HostID, costs []float64, known float64, step time.Duration) {
	missing := -known
	for _, cost := range costs {
		missing += cost
	}
	for age, cost := range costs {
		if missing <= 0 {
			return
		}
		u.note(now.Add(-time.Duration(age)*step), front, min(cost, missing))
		missing -= cost
	}
}

// prune forgets fronts that have used nothing for long.
func (q *Quotas) prune(now time.Time) {
	for _, use := range q.uses {
		for front, window := range use.fronts {
			if window.Sum(now, UseSpan) == 0 {
				delete(use.fronts, front)
			}
		}
	}
}

// Forget drops a front that is no longer served. What it was granted still counts.
func (q *Quotas) Forget(front wire.HostID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.counting, front)
}

func (q *Quotas) use(now time.Time, name object.AccountName) *quotaUse {
	use := q.uses[name]
	if use == nil {
		use = newQuotaUse(now)
		q.uses[name] = use
	}
	return use
}

// charge is a request for a part of the quota of an account.
type charge struct {
	account object.AccountName
	front   wire.HostID
	cost    float64
	// share is this arbiter's part of the quota.
	share float64
}

// take charges an account. If the account has used its quota up, take returns what was
// left and the time after which it has enough.
func (q *Quotas) take(now time.Time, quota *object.Quota, c charge) (*QuotaState, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteServing(now, time.Duration(quota.Window))
	use := q.use(now, c.account)
	use.start(quota, c.share)
	use.fill(now, quota, c.share)
	// A request larger than the burst passes when the bucket is full.
	need := min(c.cost, quota.Burst*c.share)
	used, limit := q.window(now, quota, use, c.share)
	fits := limit == 0 || used+c.cost <= limit
	if fits && use.take(c.cost, need) {
		use.note(now, c.front, c.cost)
		return nil, 0
	}
	missing := need - use.within.level
	if !fits {
		missing = max(missing, c.cost)
	}
	wait := time.Duration(missing / (quota.PerSecond * c.share) * float64(time.Second))
	return &QuotaState{Account: c.account, Cost: c.cost, Within: use.within.level, Beyond: use.beyond.level, Used: used, Limit: limit}, wait
}

// noteServing remembers since when this arbiter has granted without a long pause.
func (q *Quotas) noteServing(now time.Time, window time.Duration) {
	if now.Sub(q.servedAt) > window {
		q.servingSince = now
	}
	q.servedAt = now
}

// window returns what the account has used in the last window, with all that other
// arbiters have granted before, and what it may. The limit is 0 if there is none.
func (q *Quotas) window(now time.Time, quota *object.Quota, use *quotaUse, share float64) (used, limit float64) {
	window := time.Duration(quota.Window)
	if window <= 0 || window > UseSpan {
		return 0, 0
	}
	limit = share * (quota.PerSecond*window.Seconds() + quota.Burst + quota.Tolerated()*windowShare)
	return use.granted.Sum(now, window) + limit*q.unknownPart(now, window), limit
}

// unknownPart returns which part of the use of the last window nobody remembers: that of
// fronts that have started since, before this arbiter began to serve. It may have been all
// that was allowed.
func (q *Quotas) unknownPart(now time.Time, window time.Duration) float64 {
	unknown := 0.0
	for _, since := range q.counting {
		if q.servingSince.Before(since) {
			since = q.servingSince
		}
		unknown += max((window - now.Sub(since)).Seconds(), 0)
	}
	return unknown / window.Seconds() / float64(max(len(q.counting), 1))
}

// refund gives back what was charged for a request that did not run.
func (q *Quotas) refund(now time.Time, name object.AccountName, front wire.HostID, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if use := q.uses[name]; use != nil {
		use.within.level += cost
		use.note(now, front, -cost)
	}
}

// takeQuota charges a request to its account. If the account has used up its quota, it
// returns what was left and the time after which it has enough.
func (s *Shard) takeQuota(now time.Time, q *request) (*QuotaState, time.Duration) {
	quota := s.quota(q.Account)
	if quota == nil || q.QuotaCost <= 0 {
		return nil, 0
	}
	state, wait := s.quotas.take(now, quota, charge{account: q.Account, front: q.Front, cost: q.QuotaCost, share: s.share.Quota})
	if state == nil {
		q.charged = q.QuotaCost
	}
	return state, wait
}

// refundQuota gives back what a request was charged that did not run.
func (s *Shard) refundQuota(now time.Time, q *request) {
	if q.charged > 0 {
		s.quotas.refund(now, q.Account, q.Front, q.charged)
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
