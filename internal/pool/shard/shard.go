// Package shard makes the scheduling decisions of one pool: which waiting request runs next and
// on which target, which request is refused, and which running request is canceled. It does no
// I/O and starts no goroutine. The caller passes in events and the current time, and carries out
// the returned decisions.
package shard

import (
	"math"
	"time"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/origin"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/object"
)

// Shard holds the waiting and running requests of one pool. It is not safe for
// concurrent use.
type Shard struct {
	pool       object.PoolName
	queueLimit int
	// nonPreemptible disables preemption: running requests are not canceled for more urgent ones.
	nonPreemptible bool
	// discovered is set if the targets come from service discovery. Hosts share such a pool without
	// a common arbiter, so a new arbiter does not wait for requests to be registered again.
	discovered bool
	snapshot   *object.Snapshot

	tiers    []*tierQueue // In descending priority.
	requests map[wire.RequestID]*request
	timers   indexHeap[*request]
	waiting  int

	quotas         *Quotas
	targets        map[object.TargetName]*target
	ready          indexHeap[*target]
	backingOff     []*target // Unreachable or failing targets whose backoff has not ended.
	paused         []*target // Targets that rejected a request or requested a pause.
	limited        []*target // Targets that name a rate limit.
	prefixes       *prefixMap
	connections    idleConnections
	leavingTargets map[object.TargetName]bool
	// quarantine finds prompt prefixes that crash targets. isolated holds the waiting requests that may
	// not run now because of it; they are in no queue.
	quarantine *quarantine.Tracker
	isolated   []*request
	// origins knows which version began each stream. openVersions counts the targets of each version that accept work,
	// readyVersions those that have free slots.
	origins                     *origin.Table
	openVersions, readyVersions map[object.Generation]int
	growth                      shareGrowth
	// notices holds what targets have reported about themselves.
	notices      *notice.Book
	drainRate    drainRate
	responseTime responseTime
	// holdTime is the mean time that a request holds its slot, 0 if unknown.
	holdTime time.Duration
	speeds   speeds
	// tieBreakSeed orders targets with the same load. 0 orders them by name.
	tieBreakSeed uint64
	// speedsComparedAt is the time of the last comparison of target speeds.
	speedsComparedAt time.Time

	// share is the part of the pool and of all quotas that this arbiter may use. Other arbiters may
	// serve some of the hosts.
	share   Share
	demands []*demand
	// rollout is the current rollout, nil if there is none.
	rollout       *rollout
	rolloutLimits RolloutLimits
	// totalSlots is the number of slots of the targets that accept work.
	totalSlots float64

	// refusedRequests holds refused requests whose callers may retry.
	refusedRequests refusedRequests
	// counts holds the outcomes of requests by class since the last report.
	counts map[object.TierName]*Counts

	// warmUpUntil is the time before which nothing is granted, because fronts register their requests
	// again after a change of arbiter.
	warmUpUntil time.Time
	decisions   []Decision
}

// WarmUp is how long a new arbiter waits for fronts to register their requests again before it
// grants any.
const WarmUp = 300 * time.Millisecond

// New creates the shard of a pool. All shards of an arbiter use the same quotas.
func New(pool object.PoolName, quotas *Quotas) *Shard {
	return &Shard{
		pool:     pool,
		requests: map[wire.RequestID]*request{},
		quotas:   quotas,
		timers:   newIndexHeap(dueFirst),
		ready:    newIndexHeap(lessLoaded),
		targets:  map[object.TargetName]*target{},
		prefixes: newPrefixMap(),
		share:    Share{1, 1},

		origins:       origin.NewTable(),
		openVersions:  map[object.Generation]int{},
		readyVersions: map[object.Generation]int{},

		quarantine: quarantine.New(pool),
		counts:     map[object.TierName]*Counts{},
	}
}

// Share is the part of a pool that one arbiter may use, from 0 to 1.
type Share struct {
	// Slots is the part of the targets' slots.
	Slots float64
	// Quota is the part of the accounts' quotas.
	Quota float64
}

// SetShare sets the part of the pool that this arbiter may use.
func (s *Shard) SetShare(now time.Time, share Share) []Decision {
	s.share = share
	s.updateRateShares(now)
	return s.step(now)
}

// slotShareUsedUp reports whether the running requests use this arbiter's whole share of the
// slots.
func (s *Shard) slotShareUsedUp() bool {
	return s.share.Slots < 1 && s.Running() >= max(int(math.Ceil(s.totalSlots*s.share.Slots)), 1)
}

// Configure applies a snapshot and the set of targets that the platform reports as leaving. It
// keeps all requests, and the measurements of targets that stay in the configuration.
func (s *Shard) Configure(now time.Time, snapshot *object.Snapshot, leaving map[object.TargetName]bool) []Decision {
	s.snapshot = snapshot
	s.leavingTargets = leaving
	view := snapshot.Pool(s.pool)
	if view == nil {
		view = &object.PoolView{}
	}
	s.queueLimit = view.QueueLimit
	s.nonPreemptible = view.NonPreemptible
	s.discovered = view.Discovered
	s.configureTiers(snapshot)
	s.configureRollout(now, snapshot)
	s.configureTargets(now, view)
	return s.step(now)
}

func (s *Shard) configureTargets(now time.Time, view *object.PoolView) {
	configured := make(map[object.TargetName]bool, len(view.Targets))
	for _, spec := range view.Targets {
		configured[spec.Name] = true
		t := s.targets[spec.Name]
		if t == nil {
			t = newTarget(spec, view.Type)
			t.tieBreak = s.tieBreakOf(spec.Name)
			s.targets[spec.Name] = t
		}
		s.setGeneration(t, spec.Generation)
		if t.startedMS != spec.StartedMS {
			s.quarantine.TargetEnded(now, t.name)
		}
		t.configure(spec, view)
		state := s.notices.State(spec.Name, spec.StartedMS)
		t.closed = spec.Drain || s.leavingTargets[spec.Name] || state.Closed()
		s.setRateLimit(now, t, state.RateLimit)
		s.updateReady(t)
	}
	for name, t := range s.targets {
		if configured[name] {
			continue
		}
		if !t.closed {
			s.quarantine.TargetEnded(now, name)
		}
		t.closed = true
		s.clearRateLimit(t)
		s.updateReady(t)
		if t.inFlight == 0 {
			delete(s.targets, name)
		}
	}
	s.updateTotalSlots()
}

// updateTotalSlots counts the slots of the targets that accept work.
func (s *Shard) updateTotalSlots() {
	s.updateOpenVersions()
	s.totalSlots = 0
	for _, t := range s.targets {
		if t.closed || t.pauseRequested {
			continue
		}
		if s.rollout != nil && (s.rollout.sideOf(t) == trial.NewVersion) != s.rollout.promoted() {
			continue // This side of the rollout serves few requests or none.
		}
		s.totalSlots += s.usableSlots(t)
	}
}

// Tick makes the decisions that are due at the given time.
func (s *Shard) Tick(now time.Time) []Decision { return s.step(now) }

// Discovered reports whether the targets of the pool come from service discovery.
func (s *Shard) Discovered() bool { return s.discovered }
