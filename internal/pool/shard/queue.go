package shard

import (
	"slices"
	"time"

	"redwinglock/internal/state/object"
)

// tierQueue holds the requests of one tier. Accounts are served in the order of their
// virtual counters, so that each gets its share of tokens whatever the size of its
// requests.
type tierQueue struct {
	name     object.TierName
	priority int
	// class is the tier of the kind of request; it orders the queues of one tier.
	class         object.TierName
	classPriority int
	// late tiers hold the requests of the tier of the same name that are out of time for
	// their objective.
	late         bool
	queueTimeout time.Duration
	preemptAfter time.Duration

	accounts map[object.AccountName]*accountQueue
	active   indexHeap[*accountQueue] // Accounts with waiting requests.
	waiting  int
	// queuedCost is the estimated size of all waiting requests in tokens.
	queuedCost int64
	// activeWeight is the sum of the weights of active accounts.
	activeWeight int64
	// floor is the counter at which an account that becomes active starts.
	floor float64

	running []*request
	// cancelling counts the running requests that were told to stop.
	cancelling int
}

// accountQueue holds the waiting requests of one account in one tier, oldest first.
type accountQueue struct {
	name   object.AccountName
	weight int64
	// virtual is the number of tokens charged, divided by the weight.
	virtual    float64
	queue      requestList
	queuedCost int64
	members    int // Waiting and running requests.
	heapIndex  int // Position in the heap of active accounts.
}

func (a *accountQueue) charge(tokens int64) {
	a.virtual += float64(tokens) / float64(a.weight)
}

// configureTiers applies the tiers of a snapshot. A tier that has gone keeps its
// requests until they end.
func (s *Shard) configureTiers(snapshot *object.Snapshot) {
	for name := range snapshot.Tiers() {
		s.tierFor(name, name)
	}
	for _, tier := range s.tiers {
		tier.configure(snapshot)
	}
	s.tiers = slices.DeleteFunc(s.tiers, func(t *tierQueue) bool {
		return snapshot.Tier(t.name) == nil && t.waiting == 0 && len(t.running) == 0
	})
	s.sortTiers()
	for _, tier := range s.tiers {
		for name, a := range tier.accounts {
			tier.reweigh(a, s.weight(name))
		}
	}
}

func (t *tierQueue) configure(snapshot *object.Snapshot) {
	if spec := snapshot.Tier(t.name); spec != nil {
		t.priority = spec.Priority
		t.queueTimeout = time.Duration(spec.QueueTimeout)
		t.preemptAfter = time.Duration(spec.PreemptAfter)
	}
	t.classPriority = t.priority
	if class := snapshot.Tier(t.class); class != nil {
		t.classPriority = class.Priority
	}
}

// sortTiers puts the highest priority first, within a tier the highest class, and late
// requests after those of their class.
func (s *Shard) sortTiers() {
	slices.SortStableFunc(s.tiers, func(a, b *tierQueue) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		if a.classPriority != b.classPriority {
			return b.classPriority - a.classPriority
		}
		return boolToInt(a.late) - boolToInt(b.late)
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *Shard) findTier(name, class object.TierName, late bool) *tierQueue {
	for _, tier := range s.tiers {
		if tier.name == name && tier.class == class && tier.late == late {
			return tier
		}
	}
	return nil
}

// lateTier returns the queue for the late requests of a tier.
func (s *Shard) lateTier(of *tierQueue) *tierQueue {
	if late := s.findTier(of.name, of.class, true); late != nil {
		return late
	}
	late := &tierQueue{
		name:          of.name,
		priority:      of.priority,
		class:         of.class,
		classPriority: of.classPriority,
		late:          true,
		queueTimeout:  of.queueTimeout,
		preemptAfter:  of.preemptAfter,
		accounts:      map[object.AccountName]*accountQueue{},
		active:        newIndexHeap(furthestBelow),
	}
	s.tiers = append(s.tiers, late)
	s.sortTiers()
	return late
}

// tierFor returns the queue of a tier. A tier that the configuration does not know yet
// ranks below all others.
func (s *Shard) tierFor(name, class object.TierName) *tierQueue {
	if class == "" {
		class = name
	}
	if tier := s.findTier(name, class, false); tier != nil {
		return tier
	}
	tier := &tierQueue{
		name:         name,
		class:        class,
		queueTimeout: time.Duration(object.DefaultQueueTimeout),
		preemptAfter: time.Duration(object.DefaultPreemptAfter),
		accounts:     map[object.AccountName]*accountQueue{},
		active:       newIndexHeap(furthestBelow),
	}
	if len(s.tiers) > 0 {
		tier.priority = s.tiers[len(s.tiers)-1].priority - 1
	}
	s.tiers = append(s.tiers, tier)
	if s.snapshot != nil {
		tier.configure(s.snapshot)
		s.sortTiers()
	}
	return tier
}

// account returns the queue of an account and counts one more request for it.
func (t *tierQueue) account(name object.AccountName, weight int64) *accountQueue {
	a := t.accounts[name]
	if a == nil {
		a = &accountQueue{name: name, weight: weight, virtual: t.floor, heapIndex: notQueued}
		t.accounts[name] = a
	}
	a.members++
	return a
}

// release drops an account that has no request left and is not ahead of its share.
func (t *tierQueue) release(a *accountQueue) {
	a.members--
	if a.members == 0 && a.virtual <= t.floor {
		delete(t.accounts, a.name)
	}
}

func (t *tierQueue) reweigh(a *accountQueue, weight int64) {
	if a.heapIndex >= 0 {
		t.activeWeight += weight - a.weight
	}
	a.weight = weight
}

func (t *tierQueue) push(q *request) {
	a := q.account
	a.queue.insert(q)
	a.queuedCost += q.cost
	t.queuedCost += q.cost
	t.waiting++
	if a.heapIndex < 0 {
		// An idle account gains no credit for the time it was away.
		a.virtual = max(a.virtual, t.floor)
		t.activeWeight += a.weight
		t.active.push(a)
	}
}

func (t *tierQueue) remove(q *request) {
	a := q.account
	a.queue.remove(q)
	a.queuedCost -= q.cost
	t.queuedCost -= q.cost
	t.waiting--
	if a.queue.first == nil {
		t.activeWeight -= a.weight
		t.active.remove(a)
	}
}

func (t *tierQueue) fixAccount(a *accountQueue) {
	if a.heapIndex >= 0 {
		t.active.fix(a)
	}
}

// first returns the oldest request of the account that is furthest below its share.
func (t *tierQueue) first() *request { return t.active.first().queue.first }

// lastOfLongest returns the newest request of the account that has the most waiting
// work for its weight.
func (t *tierQueue) lastOfLongest() *request {
	var longest *accountQueue
	for _, a := range t.active.all() {
		if longest == nil || a.queuedCost*longest.weight > longest.queuedCost*a.weight {
			longest = a
		}
	}
	return longest.queue.last
}

func (t *tierQueue) addRunning(q *request) {
	q.runningIndex = len(t.running)
	t.running = append(t.running, q)
}

func (t *tierQueue) removeRunning(q *request) {
	if q.cancelled {
		t.cancelling--
	}
	last := len(t.running) - 1
	t.running[q.runningIndex] = t.running[last]
	t.running[q.runningIndex].runningIndex = q.runningIndex
	t.running[last] = nil
	t.running = t.running[:last]
}

// position implements positioned.
func (a *accountQueue) position() *int { return &a.heapIndex }

// position implements positioned.
func (q *request) position() *int { return &q.timerIndex }

// furthestBelow orders accounts by how far they are below their share.
func furthestBelow(a, b *accountQueue) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

// dueFirst orders waiting requests by the time at which something is due for them.
func dueFirst(a, b *request) bool { return a.dueAt.Before(b.dueAt) }
