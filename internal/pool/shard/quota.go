package shard

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// rateMargin is the fraction by which an account may exceed its rate if its quota has no
	// window. Without it, an account within its limit would be refused when its requests arrive in
	// bunches.
	rateMargin = 0.02
	// grantedTolerance is the fraction of the tolerated excess that is granted. The rest covers
	// fronts that were lost before they reported their usage, and requests that a paused front
	// sends long after they were granted.
	grantedTolerance = 0.75
)

type tokenBucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds the tokens for the time since the last update.
func (b *tokenBucket) refill(now time.Time, perSecond, capacity float64) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	b.level = min(b.level+elapsed*perSecond, capacity)
}

// accountUsage holds the recent usage of an account.
type accountUsage struct {
	// granted is the usage granted to all fronts, by this arbiter and by former ones. fronts holds
	// the part of each front.
	granted *UsageWindow
	fronts  map[wire.HostID]*UsageWindow
	former  formerUsage
	// classes holds the usage per class and pool.
	classes []*classUsage
	// window is the window of the quota, 0 until the first request.
	window time.Duration
	limit  windowLimit
	burst  burst
	// burstUnknown is what is unknown of the usage because of a burst.
	burstUnknown burstUnknown
	// waitingCost is the cost of admitted requests that wait for a target.
	waitingCost float64
	// bucket limits the rate of the account if its quota has no window.
	bucket tokenBucket
	// startShare is the largest share of the quota for which the bucket has received its initial
	// tokens.
	startShare float64
}

func newAccountUsage(now time.Time) *accountUsage {
	return &accountUsage{
		bucket: tokenBucket{0, now}, granted: NewUsageWindow(now), fronts: map[wire.HostID]*UsageWindow{}, former: newFormerUsage(now),
	}
}

// recordGrant records the cost of a request that is granted to a front, or a negative cost if a request that was granted
// then did not run.
func (u *accountUsage) recordGrant(now time.Time, front wire.HostID, cost float64) {
	u.addGrant(now, front, cost)
	u.former.recordGrant(now, cost)
}

// addGrant records usage that was granted to a front.
func (u *accountUsage) addGrant(at time.Time, front wire.HostID, cost float64) {
	window := u.fronts[front]
	if window == nil {
		window = NewUsageWindow(at)
		u.fronts[front] = window
	}
	window.Add(at, cost)
	u.granted.Add(at, cost)
}

// Quotas tracks the quota usage of accounts in all pools of one arbiter. It is safe for
// concurrent use.
type Quotas struct {
	mu       sync.Mutex
	accounts map[object.AccountName]*accountUsage
	// countingSince is the time from which each front has recorded its usage.
	countingSince map[wire.HostID]time.Time
	unknown       unknownTime
	prunedAt      time.Time
	// storedBursts are the accounts that used their quotas in bursts, as the platform's store says.
	storedBursts map[object.AccountName]storedBurst
	burstGrew    chan struct{}
	// servingSince is the start of the period in which this arbiter has handled requests without a
	// long pause. lastServedAt is the time of the latest request.
	servingSince, lastServedAt time.Time
	// servedAllAt is the last time at which this arbiter served all fronts. servedPartAt is the
	// last time at which it served only a part of them. servedPartFrom is the value of servedAllAt
	// before servedPartAt.
	servedAllAt, servedPartAt, servedPartFrom time.Time
}

// NewQuotas creates quotas without any recorded usage.
func NewQuotas() *Quotas {
	return &Quotas{
		accounts: map[object.AccountName]*accountUsage{}, countingSince: map[wire.HostID]time.Time{},
		storedBursts: map[object.AccountName]storedBurst{}, burstGrew: make(chan struct{}, 1),
	}
}

// AddReported adds the usage that a front reports, which includes the grants of other arbiters.
func (q *Quotas) AddReported(now time.Time, front wire.HostID, used wire.Used) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setCountingSince(front, now.Add(-time.Duration(used.AgeMS)*time.Millisecond))
	step := time.Duration(used.StepMS) * time.Millisecond
	q.prune(now)
	for _, account := range used.Accounts {
		usage := q.account(now, account.Account)
		usage.former.addReport(now, account, step)
		var recorded []float64
		if window := usage.fronts[front]; window != nil {
			recorded = window.Recent(now, MaxUsageWindow)
		}
		usage.addReported(now, front, account.Costs, recorded, step)
	}
}

// addReported adds the part of a front's reported usage that is not recorded yet. Afterwards, at
// least the reported usage is recorded for every span of time that ends now. A grant that was
// recorded but never reached the front does not offset later usage through another arbiter. The
// newest step may have just begun, so usage is recorded at the latest time at which it may have
// occurred.
func (u *accountUsage) addReported(now time.Time, front wire.HostID, costs, recorded []float64, step time.Duration) {
	used, counted := 0.0, 0.0
	// A front records usage later than the arbiter that granted it, so the same usage may be in a newer
	// step at the front: the step that follows the reported one is compared, too.
	recordedSum := 0.0
	if len(recorded) > 0 {
		recordedSum = recorded[0]
	}
	for age, cost := range costs {
		used += cost
		if age+1 < len(recorded) {
			recordedSum += recorded[age+1]
		}
		if missing := used - counted - recordedSum; missing > 0 {
			u.addGrant(now.Add(-time.Duration(max(age-1, 0))*step), front, missing)
			u.former.known.Add(earliestUse(now, age, step), missing)
			counted += missing
		}
	}
}

// pruneInterval is the time between two searches for fronts without recent usage. The search does not
// run for each report, because hundreds of fronts may report at the same time.
const pruneInterval = time.Second

// prune removes fronts without recent usage.
func (q *Quotas) prune(now time.Time) {
	if now.Sub(q.prunedAt) < pruneInterval {
		return
	}
	q.prunedAt = now
	for _, usage := range q.accounts {
		for front, window := range usage.fronts {
			if window.Sum(now, MaxUsageWindow) == 0 {
				delete(usage.fronts, front)
			}
		}
		usage.former.prune(now)
	}
}

// RemoveFront removes a front that is no longer served. Its granted usage still counts.
func (q *Quotas) RemoveFront(front wire.HostID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.countingSince, front)
	q.unknown.valid = false
}

func (q *Quotas) account(now time.Time, name object.AccountName) *accountUsage {
	usage := q.accounts[name]
	if usage == nil {
		usage = newAccountUsage(now)
		q.accounts[name] = usage
	}
	return usage
}

// quotaCharge is the charge of one request against the quota of an account.
type quotaCharge struct {
	account object.AccountName
	pool    object.PoolName
	// class is the priority of the request's class.
	class int
	cost  float64
	// share is this arbiter's part of the quota.
	share float64
}

// admit charges a request to the quota of its account. If the quota is exceeded, it returns the
// state of the quota and the time after which the request would fit.
func (q *Quotas) admit(now time.Time, quota *object.Quota, c quotaCharge) (*QuotaState, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordServing(now, time.Duration(quota.Window), c.share)
	usage := q.account(now, c.account)
	if !hasWindow(quota) {
		return usage.admitByRate(now, quota, c)
	}
	window := time.Duration(quota.Window)
	usage.window = window
	whole := usage.limit.update(now, window, quota.PerSecond*window.Seconds()+quota.Burst+quota.AllowedOverage()*grantedTolerance)
	granted := usage.granted.Sum(now, window)
	limit := usage.former.limit(now, window, whole, granted, quotaShare{c.share, q.oneHostMissing(c.share)})
	used := granted + usage.waitingCost + limit*q.unknownUsage(now, window, c.account)
	classUsed, classLimit := usage.classUsedAndLimit(now, window, limit, c)
	missing := max(used+c.cost-limit, classUsed+c.cost-classLimit)
	if missing > 0 {
		wait := usage.granted.TimeUntilFree(now, window, missing)
		return &QuotaState{
			Account: c.account, Cost: c.cost, Used: used, Limit: limit, ClassUsed: classUsed, ClassLimit: classLimit,
			Elsewhere: usage.former.usedElsewhere(now, window), Unknown: q.unknownUsage(now, window, c.account),
		}, wait
	}
	usage.waitingCost += c.cost
	usage.class(now, c).admitted.Add(now, c.cost)
	return nil, 0
}

// oneHostMissing reports whether this arbiter serves all hosts but one, if it may use the given share of quotas.
func (q *Quotas) oneHostMissing(share float64) bool {
	sharePerHost := share / float64(max(len(q.countingSince), 1))
	return 1-share < 1.5*sharePerHost
}

// windowLimit tracks the limit of an account. A reduction takes effect gradually over one
// window, because usage under the previous limit still counts in that window.
type windowLimit struct {
	configured, previous float64
	changedAt            time.Time
}

// update sets the configured limit and returns the active one.
func (l *windowLimit) update(now time.Time, window time.Duration, configured float64) float64 {
	if configured != l.configured {
		l.previous = max(l.active(now, window), configured)
		l.configured, l.changedAt = configured, now
	}
	return l.active(now, window)
}

func (l *windowLimit) active(now time.Time, window time.Duration) float64 {
	left := max(1-now.Sub(l.changedAt).Seconds()/window.Seconds(), 0)
	return l.configured + (l.previous-l.configured)*left
}

// hasWindow reports whether the usage per window is limited. Otherwise the rate is limited.
func hasWindow(quota *object.Quota) bool {
	return quota.Window > 0 && time.Duration(quota.Window) <= MaxUsageWindow
}

// admitByRate limits the rate of an account whose quota has no window.
func (u *accountUsage) admitByRate(now time.Time, quota *object.Quota, c quotaCharge) (*QuotaState, time.Duration) {
	rate, burst := quota.PerSecond*c.share, quota.Burst*c.share
	if c.share > u.startShare {
		// Fronts connect to a new arbiter one after another, so its share grows in steps.
		u.bucket.level += (c.share - u.startShare) * quota.Burst
		u.startShare = c.share
	}
	u.bucket.refill(now, rate*(1+rateMargin), burst)
	// A request larger than the burst is admitted when the bucket is full.
	missing := min(c.cost, burst) - u.bucket.level
	if missing > 0 {
		wait := time.Duration(missing / rate * float64(time.Second))
		return &QuotaState{Account: c.account, Cost: c.cost, Used: burst - u.bucket.level, Limit: burst}, wait
	}
	u.bucket.level -= c.cost
	u.waitingCost += c.cost
	return nil, 0
}

// recordGrant counts an admitted request as used when it is granted. It returns the usage of all other
// fronts in the window, 0 if the quota has none.
func (q *Quotas) recordGrant(now time.Time, name object.AccountName, front wire.HostID, cost float64, window time.Duration) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	usage := q.account(now, name)
	usage.waitingCost -= cost
	usage.recordGrant(now, front, cost)
	q.checkBurst(now, usage)
	if window <= 0 {
		return 0
	}
	others := usage.granted.Sum(now, window) - usage.fronts[front].Sum(now, window)
	return max(others+usage.former.usedElsewhere(now, window), 0)
}

// refund returns the cost of an admitted request that did not run. The cost is taken from the windows at the times at which
// it was added: a later credit would outlast the charge.
func (q *Quotas) refund(c quotaCharge, front wire.HostID, at chargeTimes) {
	q.mu.Lock()
	defer q.mu.Unlock()
	usage := q.account(at.admitted, c.account)
	usage.bucket.level += c.cost
	usage.class(at.admitted, c).admitted.Add(at.admitted, -c.cost)
	if !at.granted.IsZero() {
		usage.recordGrant(at.granted, front, -c.cost)
		return
	}
	usage.waitingCost -= c.cost
}

// chargeTimes are the times at which the cost of a request was charged.
type chargeTimes struct {
	admitted time.Time
	// granted is when the cost counted as used, zero if it has not.
	granted time.Time
}

// chargeQuota charges a request to its account. If the quota is exceeded, it returns the state
// of the quota and the time after which the request would fit.
func (s *Shard) chargeQuota(now time.Time, q *request) (*QuotaState, time.Duration) {
	quota := s.quota(q.Account)
	if quota == nil || q.QuotaCost <= 0 {
		return nil, 0
	}
	state, wait := s.quotas.admit(now, quota, s.quotaCharge(q, q.QuotaCost))
	if state == nil {
		q.quotaCharged = q.QuotaCost
		q.quotaTimes = chargeTimes{admitted: now}
	}
	return state, wait
}

func (s *Shard) quotaCharge(q *request, cost float64) quotaCharge {
	return quotaCharge{account: q.Account, pool: s.pool, class: q.tier.classPriority, cost: cost, share: s.share.Quota}
}

// recordQuotaUse counts the cost of a granted request as used. It counts only once if the
// request is granted several times. It returns the usage of all other fronts, 0 if nothing is counted.
func (s *Shard) recordQuotaUse(now time.Time, q *request) float64 {
	if q.quotaCharged <= 0 || !q.quotaTimes.granted.IsZero() {
		return 0
	}
	q.quotaTimes.granted = now
	var window time.Duration // 0 if the quota was removed after the admission.
	if quota := s.quota(q.Account); quota != nil {
		window = time.Duration(quota.Window)
	}
	return s.quotas.recordGrant(now, q.Account, q.Front, q.quotaCharged, window)
}

// refundQuota returns the quota cost of a request that did not run.
func (s *Shard) refundQuota(q *request) {
	if q.quotaCharged > 0 {
		s.quotas.refund(s.quotaCharge(q, q.quotaCharged), q.Front, q.quotaTimes)
	}
	q.quotaCharged = 0
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
