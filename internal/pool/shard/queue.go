package shard

import (
	"container/heap"
	"slices"
	"time"

	"redwinglock/internal/state/object"
)

// tierQueue holds the requests of one tier. Accounts are served in the order of their
// virtual counters, so that each gets its share of tokens whatever the size of its
// requests.
type tierQueue struct {
	name         object.TierName
	priority     int
	queueTimeout time.Duration
	preemptAfter time.Duration

	accounts map[object.AccountName]*accountQueue
	active   accountHeap // Accounts with waiting requests.
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
	heapIndex  int // Position in the heap of active accounts, -1 if none.
}

func (a *accountQueue) charge(tokens int64) {
	a.virtual += float64(tokens) / float64(a.weight)
}

// configureTiers applies the tiers of a snapshot. A tier that has gone keeps its
// requests until they end.
func (s *Shard) configureTiers(snapshot *object.Snapshot) {
	for name, spec := range snapshot.Tiers() {
		tier := s.tierFor(name)
		tier.priority = spec.Priority
		tier.queueTimeout = time.Duration(spec.QueueTimeout)
		tier.preemptAfter = time.Duration(spec.PreemptAfter)
	}
	s.tiers = slices.DeleteFunc(s.tiers, func(t *tierQueue) bool {
		return snapshot.Tier(t.name) == nil && t.waiting == 0 && len(t.running) == 0
	})
	slices.SortStableFunc(s.tiers, func(a, b *tierQueue) int { return b.priority - a.priority })
	for _, tier := range s.tiers {
		for name, a := range tier.accounts {
			tier.reweigh(a, s.weight(name))
		}
	}
}

// tierFor returns the queue of a tier. A tier that the configuration does not know yet
// ranks below all others.
func (s *Shard) tierFor(name object.TierName) *tierQueue {
	for _, tier := range s.tiers {
		if tier.name == name {
			return tier
		}
	}
	tier := &tierQueue{
		name:         name,
		queueTimeout: time.Duration(object.DefaultQueueTimeout),
		preemptAfter: time.Duration(object.DefaultPreemptAfter),
		accounts:     map[object.AccountName]*accountQueue{},
	}
	if len(s.tiers) > 0 {
		tier.priority = s.tiers[len(s.tiers)-1].priority - 1
	}
	s.tiers = append(s.tiers, tier)
	return tier
}

// account returns the queue of an account and counts one more request for it.
func (t *tierQueue) account(name object.AccountName, weight int64) *accountQueue {
	a := t.accounts[name]
	if a == nil {
		a = &accountQueue{name: name, weight: weight, virtual: t.floor, heapIndex: -1}
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
		heap.Push(&t.active, a)
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
		heap.Remove(&t.active, a.heapIndex)
	}
}

func (t *tierQueue) fixAccount(a *accountQueue) {
	if a.heapIndex >= 0 {
		heap.Fix(&t.active, a.heapIndex)
	}
}

// first returns the oldest request of the account that is furthest below its share.
func (t *tierQueue) first() *request { return t.active[0].queue.first }

// lastOfLongest returns the newest request of the account that has the most waiting
// work for its weight.
func (t *tierQueue) lastOfLongest() *request {
	var longest *accountQueue
	for _, a := range t.active {
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

// accountHeap orders active accounts by their virtual counters.
type accountHeap []*accountQueue

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].name < h[j].name
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*accountQueue)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.heapIndex = -1
	return a
}

// timerHeap orders waiting requests by the time at which they are given up.
type timerHeap []*request

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].giveUpAt.Before(h[j].giveUpAt) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex = i
	h[j].timerIndex = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	q := x.(*request)
	q.timerIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return q
}

func (h *timerHeap) push(q *request)   { heap.Push(h, q) }
func (h *timerHeap) remove(q *request) { heap.Remove(h, q.timerIndex) }
