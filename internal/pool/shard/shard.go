// Package shard decides for one pool which waiting request runs next and on which
// target, which one is refused, and which running one is cancelled. It does no I/O and
// starts no goroutine: the caller passes in events and the time and carries out the
// decisions that are returned.
package shard

import (
	"math"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// Shard holds the waiting and running requests of one pool. It is not safe for
// concurrent use.
type Shard struct {
	pool       object.PoolName
	queueLimit int
	// runToEnd keeps running requests from being cancelled for more urgent ones.
	runToEnd bool
	// discovered pools are shared by hosts that have no arbiter in common, so a new arbiter
	// need not wait for the others.
	discovered bool
	snapshot   *object.Snapshot

	tiers    []*tierQueue // Highest priority first.
	requests map[wire.RequestID]*request
	timers   indexHeap[*request]
	waiting  int

	quotas   *Quotas
	targets  map[object.TargetName]*target
	ready    indexHeap[*target]
	failed   []*target // Targets that wait for their next attempt.
	paused   []*target // Targets that have refused a request just now.
	prefixes *prefixMap
	leaving  map[object.TargetName]bool
	rate     drainRate
	response responseTime
	// comparedAt is when target speeds were last compared.
	comparedAt time.Time

	// share is the part of the pool and of all quotas that this arbiter may use, because
	// other hosts may be served by another one.
	share   Share
	demands []*demand
	// totalSlots is the number of slots of the targets that take work.
	totalSlots float64

	// warmUntil holds back grants while fronts register again after a change of arbiter.
	warmUntil time.Time
	decisions []Decision
}

// WarmUp is how long a new arbiter waits for fronts to register again.
const WarmUp = 300 * time.Millisecond

// New creates the shard of a pool. The shards of one arbiter share the quotas.
func New(pool object.PoolName, quotas *Quotas) *Shard {
	return &Shard{
		pool:     pool,
		requests: map[wire.RequestID]*request{},
		quotas:   quotas,
		timers:   newIndexHeap(dueFirst),
		ready:    newIndexHeap(leastLoaded),
		targets:  map[object.TargetName]*target{},
		prefixes: newPrefixMap(),
		share:    Share{1, 1},
	}
}

// Share is a part of a pool, from 0 to 1.
type Share struct {
	// Slots is the part of the slots of the targets.
	Slots float64
	// Quota is the part of the quotas of accounts.
	Quota float64
}

// SetShare changes the part of the pool that this arbiter may use.
func (s *Shard) SetShare(now time.Time, share Share) []Decision {
	s.share = share
	return s.step(now)
}

// full reports whether the running requests use up this arbiter's part of the slots.
func (s *Shard) full() bool {
	return s.share.Slots < 1 && s.Running() >= max(int(math.Ceil(s.totalSlots*s.share.Slots)), 1)
}

// Configure applies a snapshot and the set of targets that the platform reports as
// leaving. It keeps all requests and what was learned about remaining targets.
func (s *Shard) Configure(now time.Time, snapshot *object.Snapshot, leaving map[object.TargetName]bool) []Decision {
	s.snapshot = snapshot
	s.leaving = leaving
	view := snapshot.Pool(s.pool)
	if view == nil {
		view = &object.PoolView{}
	}
	s.queueLimit = view.QueueLimit
	s.runToEnd = view.RunToEnd
	s.discovered = view.Discovered
	s.configureTiers(snapshot)
	s.configureTargets(view)
	return s.step(now)
}

func (s *Shard) configureTargets(view *object.PoolView) {
	wanted := make(map[object.TargetName]bool, len(view.Targets))
	for _, spec := range view.Targets {
		wanted[spec.Name] = true
		t := s.targets[spec.Name]
		if t == nil {
			t = newTarget(spec, view.Type)
			s.targets[spec.Name] = t
		}
		t.generation = spec.Generation
		t.configure(spec, view)
		t.closed = spec.Drain || s.leaving[spec.Name]
		s.fixReady(t)
	}
	s.totalSlots = 0
	for name, t := range s.targets {
		if !t.closed && wanted[name] {
			s.totalSlots += t.limit
		}
		if wanted[name] {
			continue
		}
		t.closed = true
		s.fixReady(t)
		if t.inFlight == 0 {
			delete(s.targets, name)
		}
	}
}

// Register adds a request, or learns again of one that another arbiter knew.
func (s *Shard) Register(now time.Time, r wire.Register) []Decision {
	if known := s.requests[r.ID]; known != nil {
		s.registerAgain(known, r)
		return s.step(now)
	}
	if r.Moved {
		s.warm(now)
	}
	q := s.newRequest(now, r)
	if r.Phase == wire.Running {
		s.adopt(now, q)
		return s.step(now)
	}
	s.admit(now, q)
	return s.step(now)
}

// registerAgain handles a second registration. A front that registers a granted
// request as waiting has lost the grant or could not use it.
func (s *Shard) registerAgain(known *request, r wire.Register) {
	if known.target == nil || r.Phase == wire.Running {
		return
	}
	s.stopRunning(known)
	s.enqueue(known)
}

// warm delays grants when the first request moves here from another arbiter, until the
// fronts have registered what they know.
func (s *Shard) warm(now time.Time) {
	if len(s.requests) == 0 && !s.discovered {
		s.warmUntil = now.Add(WarmUp)
	}
}

// admit queues a new request, or refuses it or one that ranks below it.
func (s *Shard) admit(now time.Time, q *request) {
	s.requests[q.ID] = q
	if state, wait := s.takeQuota(now, q); state != nil {
		s.forget(q)
		s.decisions = append(s.decisions, Refuse{
			ID: q.ID, Tier: q.tier.name, Reason: outcome.AccountLimit, RetryAfter: s.returnAfter(now, q, max(wait, minRetryAfter)), Quota: state,
		})
		return
	}
	s.enqueue(q)
	s.noteArrival(now, q)
	if !s.anyOpen() {
		s.refuse(now, q, outcome.NoTarget)
		return
	}
	if s.missesDeadline(now, q) && !s.lowerRunning(q.tier) {
		s.refuse(now, q, outcome.DeadlineUnreachable)
		return
	}
	if s.waiting > s.queueLimit {
		s.shedOne(now)
	}
}

// shedOne refuses the waiting request that ranks last. While a lower tier still runs,
// nothing is refused: preemption makes room instead.
func (s *Shard) shedOne(now time.Time) {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		tier := s.tiers[i]
		if tier.waiting == 0 {
			continue
		}
		if s.lowerRunning(tier) {
			return
		}
		s.refuse(now, tier.lastOfLongest(), outcome.QueueFull)
		return
	}
}

// Finish ends a granted request and frees its slot.
func (s *Shard) Finish(now time.Time, f wire.Finish) []Decision {
	q := s.requests[f.ID]
	if q == nil {
		return nil
	}
	if q.target == nil {
		// The front has ended a request that counts as waiting here; it must not be granted.
		return s.Withdraw(now, f.ID)
	}
	t := q.target
	s.stopRunning(q)
	s.forget(q)
	switch {
	case f.Unreachable:
		s.fail(now, t)
	case f.Rejected:
		s.rejected(now, t)
	case f.Failed:
		s.failedAnswer(now, t)
	}
	if f.Dispatched {
		s.settle(now, q, t, f)
	}
	s.fixReady(t)
	return s.step(now)
}

// settle learns from a request that ran: speed of the target, size of the request.
func (s *Shard) settle(now time.Time, q *request, t *target, f wire.Finish) {
	actual := int64(f.PromptTokens + f.OutputTokens)
	if actual > 0 {
		q.account.charge(actual - q.cost)
	}
	s.rate.add(now, max(actual, 1))
	s.noteEnd(now, q)
	if f.Completed {
		t.observe(now, f)
		s.response.add(time.Duration(f.FirstTokenMS) * time.Millisecond)
		s.compareTargets(now)
	}
}

// Withdraw removes a waiting request.
func (s *Shard) Withdraw(now time.Time, id wire.RequestID) []Decision {
	q := s.requests[id]
	if q == nil {
		return nil
	}
	if q.target != nil {
		s.stopRunning(q)
	} else {
		s.dequeue(q)
		s.refundQuota(now, q)
	}
	s.forget(q)
	return s.step(now)
}

// Tick acts on the passing of time.
func (s *Shard) Tick(now time.Time) []Decision { return s.step(now) }

// Discovered reports whether the targets of the pool come from service discovery.
func (s *Shard) Discovered() bool { return s.discovered }

// Waiting returns the number of waiting requests.
func (s *Shard) Waiting() int { return s.waiting }

// Summary describes the state of a pool for logs and metrics.
type Summary struct {
	// Targets are all known ones, Open those that may get work now or later, Ready those
	// with a free slot, and Failed those that wait for their next attempt.
	Targets, Open, Ready, Failed int
	// Slots is the number of slots of open targets and Share this arbiter's part of them.
	Slots float64
	Share Share
	// Waiting and Running count requests by class.
	Waiting, Running map[string]int
}

// Summary returns the state of the pool.
func (s *Shard) Summary() Summary {
	sum := Summary{
		Targets: len(s.targets), Ready: s.ready.len(), Failed: len(s.failed),
		Slots: s.totalSlots, Share: s.share, Waiting: map[string]int{}, Running: map[string]int{},
	}
	for _, t := range s.targets {
		if !t.closed {
			sum.Open++
		}
	}
	for _, t := range s.tiers {
		sum.Waiting[string(t.class)] += t.waiting
		sum.Running[string(t.class)] += len(t.running)
	}
	return sum
}

// Running returns the number of granted requests.
func (s *Shard) Running() int { return len(s.requests) - s.waiting }

// step grants what can be granted, gives up what has waited too long and preempts.
func (s *Shard) step(now time.Time) []Decision {
	if !now.Before(s.warmUntil) {
		s.reopen(now)
		s.grantAll(now)
	}
	s.expire(now)
	s.preempt(now)
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

func (s *Shard) grantAll(now time.Time) {
	s.followDemand(now)
	for s.waiting > 0 && !s.full() {
		q := s.next(now)
		if q == nil {
			return
		}
		t := s.place(now, q)
		if t == nil && len(q.Avoid) > 0 && s.ready.len() > 0 {
			s.refuse(now, q, outcome.NoTarget) // Only targets are free that it must avoid.
			continue
		}
		if t == nil {
			return
		}
		if s.tooLate(now, q) && !s.lowerRunning(q.tier) {
			s.refuse(now, q, outcome.DeadlineUnreachable)
			continue
		}
		s.dequeue(q)
		q.tier.floor = q.account.virtual
		q.account.charge(q.cost)
		q.tier.fixAccount(q.account)
		s.startRunning(now, q, t)
		s.prefixes.add(t, q.Prefixes)
		s.decisions = append(s.decisions, Grant{q.ID, t.name, q.tier.name, now.Sub(q.queuedAt)})
	}
}

// next returns the waiting request that ranks first among those that may use a free slot,
// or nil.
func (s *Shard) next(now time.Time) *request {
	for _, tier := range s.tiers {
		if tier.waiting > 0 && !s.reserved(now, tier) {
			return tier.first()
		}
	}
	return nil
}

// expire refuses waiting requests that are out of time. A request stays while
// lower-tier work is still running, because its slot is about to be freed. If no target
// is open, no slot will be, and all are refused at once.
func (s *Shard) expire(now time.Time) {
	if s.waiting > 0 && !s.anyOpen() {
		for s.timers.len() > 0 {
			s.refuse(now, s.timers.first(), outcome.NoTarget)
		}
	}
	reason, limit := outcome.QueueTimeout, now
	if reopening, failed := s.allUnreachable(); failed && reopening.After(now) {
		// No target is tried again before that time, so waiting until then is of no use.
		reason, limit = outcome.NoTarget, reopening
	}
	var held []*request
	for s.timers.len() > 0 && !limit.Before(s.timers.first().dueAt) {
		q := s.timers.first()
		if q.dueAt.Before(q.giveUpAt) {
			s.demote(q)
			continue
		}
		if s.lowerRunning(q.tier) {
			s.timers.remove(q)
			held = append(held, q)
			continue
		}
		s.refuse(now, q, reason)
	}
	for _, q := range held {
		q.giveUpAt = now.Add(holdTime)
		q.dueAt = q.giveUpAt
		q.preemptor = false
		s.timers.push(q)
	}
}

// holdTime is the interval at which a held request is looked at again.
const holdTime = 20 * time.Millisecond

// refuse ends a waiting request.
func (s *Shard) refuse(now time.Time, q *request, reason outcome.Reason) {
	retryAfter := s.retryAfter(now, q)
	s.dequeue(q)
	s.refundQuota(now, q)
	s.forget(q)
	s.decisions = append(s.decisions, Refuse{ID: q.ID, Tier: q.tier.name, Reason: reason, RetryAfter: retryAfter, Waited: now.Sub(q.queuedAt), Late: q.tier.late})
}

func (s *Shard) forget(q *request) {
	delete(s.requests, q.ID)
	q.tier.release(q.account)
}
