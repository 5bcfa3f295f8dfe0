// Package shard decides for one pool which waiting request runs next and on which
// target, which one is refused, and which running one is cancelled. It does no I/O and
// starts no goroutine: the caller passes in events and the time and carries out the
// decisions that are returned.
package shard

import (
	"math"
	"time"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/object"
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
	// notices is what targets have said of themselves.
	notices  *notice.Book
	rate     drainRate
	response responseTime
	speeds   speeds
	// seed orders targets with the same load, 0 for an order by name.
	seed uint64
	// comparedAt is when target speeds were last compared.
	comparedAt time.Time

	// share is the part of the pool and of all quotas that this arbiter may use, because
	// other hosts may be served by another one.
	share   Share
	demands []*demand
	// move is the rollout that is under way, nil if there is none.
	move          *move
	rolloutLimits RolloutLimits
	// totalSlots is the number of slots of the targets that take work.
	totalSlots float64

	// visits are the refused requests whose callers may come back.
	visits visits
	// counts is what became of requests by class since the last report.
	counts map[object.TierName]*Counts

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
		counts:   map[object.TierName]*Counts{},
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
	s.configureRollout(now, snapshot)
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
			t.order = s.orderOf(spec.Name)
			s.targets[spec.Name] = t
		}
		t.generation = spec.Generation
		t.configure(spec, view)
		t.closed = spec.Drain || s.leaving[spec.Name] || s.notices.State(spec.Name, spec.StartedMS).Closed()
		s.fixReady(t)
	}
	for name, t := range s.targets {
		if wanted[name] {
			continue
		}
		t.closed = true
		s.fixReady(t)
		if t.inFlight == 0 {
			delete(s.targets, name)
		}
	}
	s.countSlots()
}

// countSlots counts the slots of the targets that take work.
func (s *Shard) countSlots() {
	s.totalSlots = 0
	for _, t := range s.targets {
		if t.closed || t.quiet {
			continue
		}
		if s.move != nil && (s.move.sideOf(t) == trial.NewVersion) != s.move.takesOver() {
			continue // It serves few requests or none.
		}
		s.totalSlots += t.limit
	}
}

// Tick acts on the passing of time.
func (s *Shard) Tick(now time.Time) []Decision { return s.step(now) }

// Discovered reports whether the targets of the pool come from service discovery.
func (s *Shard) Discovered() bool { return s.discovered }
