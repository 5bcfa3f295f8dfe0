package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/object"
)

// request is one registered request.
type request struct {
	wire.Register
	// causes are what the request may have in common with others that crash targets.
	causes          []wire.Cause
	tier            *tierQueue
	account         *accountQueue
	estimatedTokens int64 // Charged to the account when granted.
	queuedAt        time.Time
	// expiresAt is when the request is refused if it has not been granted.
	expiresAt time.Time
	// lateAt is the latest time for a grant that still meets the latency objective. From then on,
	// the request is late: it ranks below the requests that can still meet theirs. It is zero if
	// the request has no objective.
	lateAt time.Time
	// answerStartBy is when the answer should begin, zero if there is no objective.
	answerStartBy time.Time
	// dueAt is the next time at which the request needs action: lateAt while the request can meet
	// its objective, otherwise expiresAt.
	dueAt time.Time
	// quotaCharged is the cost charged to the quota of the account. It counts as used from the first
	// grant.
	quotaCharged float64
	quotaTimes   chargeTimes
	// deadline is when the caller needs the answer, zero if unknown.
	deadline time.Time
	// callerArrivedAt is when the caller first sent the request. callerGivesUpAt is when the caller
	// stops waiting, zero if unknown.
	callerArrivedAt, callerGivesUpAt time.Time
	// hasPreempted is set after a running request has been canceled for this one.
	hasPreempted bool
	// heldBack is set once the request has waited for the rate limit of a target.
	heldBack bool
	// cachedTokens is how many prompt tokens the target was expected to hold at the grant. newParts are the
	// parts of the prompt that it did not hold.
	cachedTokens int
	newParts     []wire.PrefixHash
	// busierForCache is set if the chosen target is busier than another one, for what it holds.
	busierForCache bool
	// isolated is set while the request waits outside of the queues because of a suspect cause.
	isolated bool
	// suspect is set if a cause of the request was suspect or held when a target was last sought for it.
	suspect bool
	// version is that of the targets at which the request must continue a stream, if it is bound to one.
	version object.Generation
	bound   bool
	// deferred is set while the request waits outside of the queues for a larger share of its quota.
	deferred bool

	// Set while running.
	target    *target
	grantedAt time.Time
	canceled  bool

	previous, next *request // Neighbours in the queue of the account.

	timerIndex   int // Position in the timer heap.
	runningIndex int // Position among the running requests of the tier.
}

func (s *Shard) newRequest(now time.Time, r wire.Register) *request {
	tier := s.tierFor(r.Tier, r.Class)
	waited := time.Duration(r.WaitedMS) * time.Millisecond
	q := &request{
		Register:        r,
		causes:          quarantine.CausesOf(r.Prefixes, r.Fingerprint),
		tier:            tier,
		account:         tier.acquireAccount(r.Account, s.weight(r.Account)),
		estimatedTokens: int64(r.PromptTokens + r.OutputTokens),
		queuedAt:        now.Add(-waited),
	}
	q.estimatedTokens = max(q.estimatedTokens, 1)
	if !hasPrefixTokens(&r) {
		q.PrefixTokens = nil
	}
	q.callerArrivedAt = q.queuedAt
	if r.CallerWaitMS > 0 {
		q.callerGivesUpAt = now.Add(time.Duration(r.CallerWaitMS) * time.Millisecond)
	}
	if r.Phase == wire.Waiting {
		s.matchRetry(now, q)
	}
	q.expiresAt = q.queuedAt.Add(tier.queueTimeout)
	if r.MaxWaitMS > 0 {
		q.expiresAt = q.queuedAt.Add(time.Duration(r.MaxWaitMS) * time.Millisecond)
	}
	if q.DispatchWithinMS != 0 {
		q.lateAt = now.Add(time.Duration(q.DispatchWithinMS) * time.Millisecond)
	}
	if q.AnswerWithinMS > 0 {
		q.answerStartBy = now.Add(time.Duration(q.AnswerWithinMS) * time.Millisecond)
	}
	if r.DeadlineMS > 0 {
		q.deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
		if q.deadline.Before(q.expiresAt) {
			q.expiresAt = q.deadline
		}
	}
	return q
}

// prompt returns the last prefix of the prompt, which belongs to the request itself, 0 if there is none.
func (q *request) prompt() wire.PrefixHash {
	if len(q.Prefixes) == 0 {
		return 0
	}
	return q.Prefixes[len(q.Prefixes)-1]
}

func (s *Shard) weight(name object.AccountName) int64 {
	if s.snapshot != nil {
		if account := s.snapshot.Account(name); account != nil {
			return int64(account.Weight)
		}
	}
	return object.DefaultWeight
}

// restoreRunning adds a request that was running before it was registered here.
func (s *Shard) restoreRunning(now time.Time, q *request) {
	t := s.targets[q.Target]
	if t == nil {
		// The target was removed from the configuration. Its work counts until it ends.
		t = newTarget(&object.Target{Name: q.Target, Slots: object.DefaultSlots}, object.EnginePool)
		t.closed = true
		s.targets[q.Target] = t
	} else {
		s.recordOrigin(now, q, t)
	}
	s.requests[q.ID] = q
	s.startRunning(now, q, t)
}

func (s *Shard) startRunning(now time.Time, q *request, t *target) {
	q.target = t
	q.grantedAt = now
	q.tier.addRunning(q)
	if t.engine && q.Phase == wire.Waiting {
		t.prefillUntil = s.answerStart(now, q, t)
	}
	t.holdPrompt(q)
	t.addRequest(q.estimatedTokens)
	if q.suspect {
		t.suspects++
	}
	s.updateReady(t)
}

// avoids reports whether the request must not run at a target. Two requests with suspect prefixes never share one: a
// crash would not tell which of them caused it.
func (q *request) avoids(t *target) bool {
	return slices.Contains(q.Avoid, t.name) || q.suspect && t.suspects > 0 || q.needsOther(t)
}

func (s *Shard) stopRunning(q *request) {
	t := q.target
	t.removeRequest(q.estimatedTokens)
	t.cache.release(q.Prefixes)
	if q.suspect {
		t.suspects--
		q.suspect = false
	}
	q.tier.removeRunning(q)
	q.target = nil
	q.canceled = false
	s.updateReady(t)
	if t.closed && t.inFlight == 0 && s.snapshotTarget(t.name) == nil {
		s.clearRateLimit(t)
		delete(s.targets, t.name)
	}
}

func (s *Shard) snapshotTarget(name object.TargetName) *object.Target {
	if s.snapshot == nil {
		return nil
	}
	view := s.snapshot.Pool(s.pool)
	if view == nil {
		return nil
	}
	for _, t := range view.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (s *Shard) enqueue(q *request) {
	q.dueAt = q.expiresAt
	if !q.lateAt.IsZero() && !q.tier.late && q.lateAt.Before(q.expiresAt) {
		q.dueAt = q.lateAt
	}
	q.tier.push(q)
	s.timers.push(q)
	s.waiting++
}

// demote moves a waiting request that is past its latency objective to the late queue of its
// tier.
func (s *Shard) demote(q *request) {
	s.dequeue(q)
	q.tier.releaseAccount(q.account)
	q.tier = s.lateTier(q.tier)
	q.account = q.tier.acquireAccount(q.Account, s.weight(q.Account))
	s.enqueue(q)
}

func (s *Shard) dequeue(q *request) {
	if q.deferred {
		s.removeDeferred(q)
		return
	}
	if q.isolated {
		q.isolated = false
		s.isolated = slices.DeleteFunc(s.isolated, func(other *request) bool { return other == q })
		return
	}
	q.tier.remove(q)
	s.timers.remove(q)
	s.waiting--
}
