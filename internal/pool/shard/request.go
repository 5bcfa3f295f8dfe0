package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// request is one registered request.
type request struct {
	wire.Register
	tier     *tierQueue
	account  *accountQueue
	cost     int64 // Estimated tokens, charged to the account when granted.
	queuedAt time.Time
	// giveUpAt is when the request is refused unless granted before.
	giveUpAt time.Time
	// lateAt is when the request begins to rank below those that can still be answered in
	// time, zero if it never does.
	lateAt time.Time
	// beginBy is when the answer should begin to be in time, zero if it need not.
	beginBy time.Time
	// dueAt is lateAt while the request is in time, else giveUpAt.
	dueAt time.Time
	// charged is what the request uses of the quota of its account, and counted is set once it
	// was granted.
	charged float64
	counted bool
	// deadline is when the caller wants the answer, zero if it did not say.
	deadline time.Time
	// callerSince is when the caller first came, and callerUntil when it stops waiting, zero if
	// it did not say.
	callerSince, callerUntil time.Time
	// preemptor is set once a running request was cancelled for this one.
	preemptor bool

	// Set while running.
	target    *target
	grantedAt time.Time
	cancelled bool

	previous, next *request // Neighbours in the queue of the account.

	timerIndex   int // Position in the heap of give-up times.
	runningIndex int // Position among the running requests of the tier.
}

func (s *Shard) newRequest(now time.Time, r wire.Register) *request {
	tier := s.tierFor(r.Tier, r.Class)
	waited := time.Duration(r.WaitedMS) * time.Millisecond
	q := &request{
		Register: r,
		tier:     tier,
		account:  tier.account(r.Account, s.weight(r.Account)),
		cost:     int64(r.PromptTokens + r.OutputTokens),
		queuedAt: now.Add(-waited),
	}
	q.cost = max(q.cost, 1)
	q.callerSince = q.queuedAt
	if r.CallerLeftMS > 0 {
		q.callerUntil = now.Add(time.Duration(r.CallerLeftMS) * time.Millisecond)
	}
	if r.Phase == wire.Waiting {
		s.noteReturn(now, q)
	}
	q.giveUpAt = q.queuedAt.Add(tier.queueTimeout)
	if r.MaxWaitMS > 0 {
		q.giveUpAt = q.queuedAt.Add(time.Duration(r.MaxWaitMS) * time.Millisecond)
	}
	if q.ObjectiveMS != 0 {
		q.lateAt = now.Add(time.Duration(q.ObjectiveMS) * time.Millisecond)
	}
	if q.BeginMS > 0 {
		q.beginBy = now.Add(time.Duration(q.BeginMS) * time.Millisecond)
	}
	if r.DeadlineMS > 0 {
		q.deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
		if q.deadline.Before(q.giveUpAt) {
			q.giveUpAt = q.deadline
		}
	}
	return q
}

func (s *Shard) weight(name object.AccountName) int64 {
	if s.snapshot != nil {
		if account := s.snapshot.Account(name); account != nil {
			return int64(account.Weight)
		}
	}
	return object.DefaultWeight
}

// adopt counts a request that is running already.
func (s *Shard) adopt(now time.Time, q *request) {
	t := s.targets[q.Target]
	if t == nil {
		// The target has left the configuration; count its work until it ends.
		t = newTarget(&object.Target{Name: q.Target, Slots: object.DefaultSlots}, object.EnginePool)
		t.closed = true
		s.targets[q.Target] = t
	}
	s.requests[q.ID] = q
	s.startRunning(now, q, t)
}

func (s *Shard) startRunning(now time.Time, q *request, t *target) {
	q.target = t
	q.grantedAt = now
	q.tier.addRunning(q)
	t.start(q.cost)
	if t.engine && q.Phase == wire.Waiting {
		t.readingUntil = s.begins(now, q, t)
	}
	s.fixReady(t)
}

func (s *Shard) stopRunning(q *request) {
	t := q.target
	t.stop(q.cost)
	q.tier.removeRunning(q)
	q.target = nil
	q.cancelled = false
	s.fixReady(t)
	if t.closed && t.inFlight == 0 && s.snapshotTarget(t.name) == nil {
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
	q.dueAt = q.giveUpAt
	if !q.lateAt.IsZero() && !q.tier.late && q.lateAt.Before(q.giveUpAt) {
		q.dueAt = q.lateAt
	}
	q.tier.push(q)
	s.timers.push(q)
	s.waiting++
}

// demote moves a waiting request that can no longer be answered in time below the others
// of its tier.
func (s *Shard) demote(q *request) {
	s.dequeue(q)
	q.tier.release(q.account)
	q.tier = s.lateTier(q.tier)
	q.account = q.tier.account(q.Account, s.weight(q.Account))
	s.enqueue(q)
}

func (s *Shard) dequeue(q *request) {
	q.tier.remove(q)
	s.timers.remove(q)
	s.waiting--
}
