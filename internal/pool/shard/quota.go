package shard

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// quotaMargin is the share by which an account may pass its rate where no window is set,
	// so that one inside its limit is not refused because its requests arrive bunched.
	quotaMargin = 0.02
	// toleranceShare is the part of the tolerated excess that is given out. The rest covers
	// fronts that were lost and can no longer tell what they have used, and requests that a
	// paused front sends later than they were granted.
	toleranceShare = 0.75
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

// quotaUse holds what an account has used lately.
type quotaUse struct {
	// granted is what all fronts were granted, by this arbiter and by those before it, and
	// fronts the part of each front in it.
	granted *UseWindow
	fronts  map[wire.HostID]*UseWindow
	// classes are the kinds of requests of the account.
	classes []*classUse
	limit   windowLimit
	// waiting is what admitted requests will use that wait for a target.
	waiting float64
	// bucket limits the account if its quota has no window.
	bucket bucket
	// started is the highest share of the quota for which the bucket got its start level.
	started float64
}

func newQuotaUse(now time.Time) *quotaUse {
	return &quotaUse{bucket: bucket{0, now}, granted: NewUseWindow(now), fronts: map[wire.HostID]*UseWindow{}}
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
	// wholeAt is the last time at which this arbiter served all fronts, and partAt the last one
	// at which it did not; partFrom is the value of wholeAt before the latter.
	wholeAt, partAt, partFrom time.Time
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
		var known []float64
		if window := use.fronts[front]; window != nil {
			known = window.Recent(now, UseSpan)
		}
		use.learn(now, front, account.Costs, known, step)
	}
}

// learn adds the part of a front's use that is not known yet, so that in no span up to now less
// is counted than the front has used. What was granted to the front before and never reached it
// does not stand for what it has used since elsewhere. The newest step may just have begun, so a
// use counts from the latest time that it may have had.
func (u *quotaUse) learn(now time.Time, front wire.HostID, costs, known []float64, step time.Duration) {
	used, counted := 0.0, 0.0
	for age, cost := range costs {
		used += cost
		if missing := used - counted - sumOf(known, age+1); missing > 0 {
			u.note(now.Add(-time.Duration(max(age-1, 0))*step), front, missing)
			counted += missing
		}
	}
}

// sumOf adds the newest steps up to an age. A use is noted later by its front than by the arbiter
// that granted it, so it may stand in the next step there.
func sumOf(steps []float64, age int) float64 {
	sum := 0.0
	for _, cost := range steps[:min(age+1, len(steps))] {
		sum += cost
	}
	return sum
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
	pool    object.PoolName
	// class is the priority of the class of the request.
	class int
	cost  float64
	// share is this arbiter's part of the quota.
	share float64
}

// take admits a request of an account, which counts from now on. If the account has used its
// quota up, take returns the state of the quota and the time after which it has enough.
func (q *Quotas) take(now time.Time, quota *object.Quota, c charge) (*QuotaState, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteServing(now, time.Duration(quota.Window), c.share)
	use := q.use(now, c.account)
	if !windowed(quota) {
		return use.takeFromBucket(now, quota, c)
	}
	window := time.Duration(quota.Window)
	limit := c.share * use.limit.follow(now, window, quota.PerSecond*window.Seconds()+quota.Burst+quota.Tolerated()*toleranceShare)
	used := use.granted.Sum(now, window) + use.waiting + limit*q.unknownPart(now, window)
	classUsed, classLimit := use.classPart(now, window, limit, c)
	missing := max(used+c.cost-limit, classUsed+c.cost-classLimit)
	if missing > 0 {
		wait := use.granted.FreeAfter(now, window, missing)
		return &QuotaState{
			Account: c.account, Cost: c.cost, Used: used, Limit: limit, ClassUsed: classUsed, ClassLimit: classLimit,
		}, wait
	}
	use.waiting += c.cost
	use.class(now, c).admitted.Add(now, c.cost)
	return nil, 0
}

// windowLimit follows the limit of an account. One that is lowered comes into force over a
// window, because what was used under the former limit counts in it.
type windowLimit struct {
	set, before float64
	changedAt   time.Time
}

// follow takes the limit that is set now and returns the one in force.
func (l *windowLimit) follow(now time.Time, window time.Duration, set float64) float64 {
	if set != l.set {
		l.before = max(l.inForce(now, window), set)
		l.set, l.changedAt = set, now
	}
	return l.inForce(now, window)
}

func (l *windowLimit) inForce(now time.Time, window time.Duration) float64 {
	left := max(1-now.Sub(l.changedAt).Seconds()/window.Seconds(), 0)
	return l.set + (l.before-l.set)*left
}

// windowed reports whether the use of each window is limited. Otherwise a rate is.
func windowed(quota *object.Quota) bool {
	return quota.Window > 0 && time.Duration(quota.Window) <= UseSpan
}

// takeFromBucket limits the rate of an account whose quota has no window.
func (u *quotaUse) takeFromBucket(now time.Time, quota *object.Quota, c charge) (*QuotaState, time.Duration) {
	rate, burst := quota.PerSecond*c.share, quota.Burst*c.share
	if c.share > u.started {
		// Fronts come to a new arbiter one after the other.
		u.bucket.level += (c.share - u.started) * quota.Burst
		u.started = c.share
	}
	u.bucket.fill(now, rate*(1+quotaMargin), burst)
	// A request larger than the burst passes when the bucket is full.
	missing := min(c.cost, burst) - u.bucket.level
	if missing > 0 {
		wait := time.Duration(missing / rate * float64(time.Second))
		return &QuotaState{Account: c.account, Cost: c.cost, Used: burst - u.bucket.level, Limit: burst}, wait
	}
	u.bucket.level -= c.cost
	u.waiting += c.cost
	return nil, 0
}

// grant counts an admitted request as used when it is sent to a target.
func (q *Quotas) grant(now time.Time, name object.AccountName, front wire.HostID, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	use := q.use(now, name)
	use.waiting -= cost
	use.note(now, front, cost)
}

// noteServing remembers since when this arbiter has granted without a long pause, and when it
// served all fronts.
func (q *Quotas) noteServing(now time.Time, window time.Duration, share float64) {
	if now.Sub(q.servedAt) > window {
		q.servingSince = now
		q.wholeAt = now
	}
	q.servedAt = now
	if share < 1 {
		q.partFrom, q.partAt = q.wholeAt, now
		return
	}
	if q.partAt.After(q.wholeAt) {
		q.partAt = now // All are served again now; when that began is not known.
	}
	q.wholeAt = now
}

// unknownPart returns which part of the use of the last window nobody remembers: that of
// fronts that have started since, before this arbiter began to serve, and while some fronts were
// served by others. It may have been all that was allowed.
func (q *Quotas) unknownPart(now time.Time, window time.Duration) float64 {
	unknown := time.Duration(0)
	for _, since := range q.counting {
		begin := since
		if q.servingSince.Before(since) {
			begin = q.servingSince
		}
		unknown += min(max(window-now.Sub(begin), 0)+q.elsewhere(now, window, since), window)
	}
	return unknown.Seconds() / window.Seconds() / float64(max(len(q.counting), 1))
}

// elsewhere returns for how long of the last window a host whose front has started at a time may
// have been served by another arbiter in its run before. Had all fronts been here when it started,
// that run would have told. An arbiter that has served all for half a window before counts all of
// it: the lost run may have used its whole part in a moment. A newer one does not know yet which fronts
// were lost and which have just started with it.
func (q *Quotas) elsewhere(now time.Time, window time.Duration, since time.Time) time.Duration {
	if q.partAt.Before(since) {
		return 0
	}
	from := q.partFrom
	if oldest := now.Add(-window); from.Before(oldest) {
		from = oldest
	}
	lost := max(since.Sub(from), 0)
	if lost > 0 && q.partFrom.Sub(q.servingSince) >= window/2 {
		return window
	}
	return lost
}

// release gives back what an admitted request was to use that did not run. counted says that
// it was granted before.
func (q *Quotas) release(now time.Time, c charge, front wire.HostID, counted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	use := q.use(now, c.account)
	use.bucket.level += c.cost
	use.class(now, c).admitted.Add(now, -c.cost)
	if counted {
		use.note(now, front, -c.cost)
		return
	}
	use.waiting -= c.cost
}

// takeQuota charges a request to its account. If the account has used up its quota, it
// returns the state of the quota and the time after which it has enough.
func (s *Shard) takeQuota(now time.Time, q *request) (*QuotaState, time.Duration) {
	quota := s.quota(q.Account)
	if quota == nil || q.QuotaCost <= 0 {
		return nil, 0
	}
	state, wait := s.quotas.take(now, quota, s.charge(q, q.QuotaCost))
	if state == nil {
		q.charged = q.QuotaCost
	}
	return state, wait
}

func (s *Shard) charge(q *request, cost float64) charge {
	return charge{account: q.Account, pool: s.pool, class: q.tier.classPriority, cost: cost, share: s.share.Quota}
}

// countQuota counts the use of a request that is granted. It counts once, however often it
// is granted.
func (s *Shard) countQuota(now time.Time, q *request) {
	if q.charged > 0 && !q.counted {
		s.quotas.grant(now, q.Account, q.Front, q.charged)
		q.counted = true
	}
}

// refundQuota gives back what a request was charged that did not run.
func (s *Shard) refundQuota(now time.Time, q *request) {
	if q.charged > 0 {
		s.quotas.release(now, s.charge(q, q.charged), q.Front, q.counted)
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
