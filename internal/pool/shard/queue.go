package shard

import (
	"slices"
	"time"

	"redwinglock/internal/state/object"
)

// tierQueue holds the requests of one tier and class. It serves the account with the lowest
// virtual token counter first, so that accounts share tokens fairly regardless of the size of
// their requests.
type tierQueue struct {
	name     object.TierName
	priority int
	// class is the tier of the kind of request, which the tier of the account may replace. It
	// orders the queues of one tier.
	class         object.TierName
	classPriority int
	// late is set for the queue that holds the requests past their latency objective.
	late         bool
	queueTimeout time.Duration
	preemptAfter time.Duration

	accounts map[object.AccountName]*accountQueue
	active   indexHeap[*accountQueue] // Accounts with waiting requests.
	waiting  int
	// queuedTokens is the estimated size of all waiting requests.
	queuedTokens int64
	// activeWeight is the sum of the weights of active accounts.
	activeWeight int64
	// virtualFloor is the minimum virtual token counter of an account that becomes active.
	virtualFloor float64

	running []*request
	// canceling is the number of running requests with a pending cancellation.
	canceling int
}

// accountQueue holds the waiting requests of one account in one tier, oldest first.
type accountQueue struct {
	name   object.AccountName
	weight int64
	// virtualTokens is the number of tokens charged, divided by the weight.
	virtualTokens float64
	queue         requestList
	queuedTokens  int64
	requestCount  int // Waiting and running requests.
	heapIndex     int // Position in the heap of active accounts.
}

func (a *accountQueue) charge(tokens int64) {
	a.virtualTokens += float64(tokens) / float64(a.weight)
}

// configureTiers applies the tiers of a snapshot. A removed tier keeps its requests until they
// end.
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
			tier.setWeight(a, s.weight(name))
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

// sortTiers sorts the queues by tier and class, highest priority first. The late queue of a
// class comes last.
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
		active:        newIndexHeap(furthestBelowShare),
	}
	s.tiers = append(s.tiers, late)
	s.sortTiers()
	return late
}

// tierFor returns the queue of a tier and class, and creates it if needed. A tier that is
// missing in the configuration ranks below all others.
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
		active:       newIndexHeap(furthestBelowShare),
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

// acquireAccount returns the queue of an account and increments its request count.
func (t *tierQueue) acquireAccount(name object.AccountName, weight int64) *accountQueue {
	a := t.accounts[name]
	if a == nil {
		a = &accountQueue{name: name, weight: weight, virtualTokens: t.virtualFloor, heapIndex: notInHeap}
		t.accounts[name] = a
	}
	a.requestCount++
	return a
}

// releaseAccount decrements the request count of an account. It removes the account if no
// request is left and its counter is not above the floor. An account above the floor has received
// more than its fair share, so its counter is kept.
func (t *tierQueue) releaseAccount(a *accountQueue) {
	a.requestCount--
	if a.requestCount == 0 && a.virtualTokens <= t.virtualFloor {
		delete(t.accounts, a.name)
	}
}

func (t *tierQueue) setWeight(a *accountQueue, weight int64) {
	if a.heapIndex >= 0 {
		t.activeWeight += weight - a.weight
	}
	a.weight = weight
}

func (t *tierQueue) push(q *request) {
	a := q.account
	a.queue.insert(q)
	a.queuedTokens += q.estimatedTokens
	t.queuedTokens += q.estimatedTokens
	t.waiting++
	if a.heapIndex < 0 {
		// An account gains no credit while it is idle.
		a.virtualTokens = max(a.virtualTokens, t.virtualFloor)
		t.activeWeight += a.weight
		t.active.push(a)
	}
}

func (t *tierQueue) remove(q *request) {
	a := q.account
	a.queue.remove(q)
	a.queuedTokens -= q.estimatedTokens
	t.queuedTokens -= q.estimatedTokens
	t.waiting--
	if a.queue.first == nil {
		t.activeWeight -= a.weight
		t.active.remove(a)
	}
}

func (t *tierQueue) reorderAccount(a *accountQueue) {
	if a.heapIndex >= 0 {
		t.active.fix(a)
	}
}

// first returns the oldest request of the account that is furthest below its fair share.
func (t *tierQueue) first() *request { return t.active.first().queue.first }

// newestOfLongestQueue returns the newest request of the account with the most waiting tokens
// relative to its weight.
func (t *tierQueue) newestOfLongestQueue() *request {
	var longest *accountQueue
	for _, a := range t.active.all() {
		if longest == nil || a.queuedTokens*longest.weight > longest.queuedTokens*a.weight {
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
	if q.canceled {
		t.canceling--
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

// furthestBelowShare orders accounts by virtual token counter, the furthest below its fair share
// first.
func furthestBelowShare(a, b *accountQueue) bool {
	if a.virtualTokens != b.virtualTokens {
		return a.virtualTokens < b.virtualTokens
	}
	return a.name < b.name
}

// dueFirst orders waiting requests by the time at which they need action.
func dueFirst(a, b *request) bool { return a.dueAt.Before(b.dueAt) }
