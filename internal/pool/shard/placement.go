package shard

import (
	"slices"
	"time"

	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// place picks the target for a request: one that holds a prefix of its prompt unless
// it is much more loaded, else the least loaded. It returns nil if no slot is free.
func (s *Shard) place(now time.Time, q *request) *target {
	if s.ready.len() == 0 {
		return nil
	}
	if s.move != nil {
		return s.placeByVersion(now, q)
	}
	return s.placeOn(now, q, trial.OldVersion)
}

// placeOn picks among the targets of one side of a rollout; without one all are.
func (s *Shard) placeOn(now time.Time, q *request, side trial.Side) *target {
	least := s.leastLoaded(now, q, side)
	if least == nil {
		return nil
	}
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		saved := float64(i+1) / float64(len(q.Prefixes))
		var best *target
		for _, holder := range s.prefixes.holders(q.Prefixes[i]) {
			if !s.mayServe(holder, side) || slices.Contains(q.Avoid, holder.name) || holder.tooSlow(now, q) || !s.inTime(now, q, holder) {
				continue
			}
			if holder.readyIndex != notQueued && (best == nil || holder.load() < best.load()) {
				best = holder
			}
		}
		if best != nil && best.load() <= least.load()+prefixBias*saved {
			return best
		}
	}
	return least
}

// leastLoaded returns the least loaded target that the request may be sent to and that can
// answer in time, else the one whose answer would begin first, or nil. One in the zone of
// the front is preferred unless it is much more loaded.
func (s *Shard) leastLoaded(now time.Time, q *request, side trial.Side) *target {
	var best, near, fastest *target
	for _, t := range s.ready.all() {
		if !s.mayServe(t, side) || slices.Contains(q.Avoid, t.name) {
			continue
		}
		if t.tooSlow(now, q) || !s.inTime(now, q, t) {
			if fastest == nil || s.sooner(now, q, t, fastest) {
				fastest = t
			}
			continue
		}
		if best == nil || leastLoaded(t, best) {
			best = t
		}
		if t.zone == q.Zone && (near == nil || leastLoaded(t, near)) {
			near = t
		}
	}
	switch {
	case best == nil:
		return fastest
	case near != nil && near.load() <= best.load()+zoneBias:
		return near
	}
	return best
}

// sooner reports whether target a would answer a request earlier than b, neither of them
// in time.
func (s *Shard) sooner(now time.Time, q *request, a, b *target) bool {
	if a.tooSlow(now, q) && b.tooSlow(now, q) {
		return a.decode < b.decode
	}
	if a.tooSlow(now, q) != b.tooSlow(now, q) {
		return b.tooSlow(now, q)
	}
	return s.begins(now, q, a).Before(s.begins(now, q, b))
}

// zoneBias is how much more loaded a target in the zone of the front may be.
const zoneBias = 0.3

// decodeShare is the part of the time left that the tokens of an answer may take.
const decodeShare = 0.6

// tooSlow reports whether the target would take too long for the tokens of the answer.
func (t *target) tooSlow(now time.Time, q *request) bool {
	if q.deadline.IsZero() || t.samples < minSamples {
		return false
	}
	expected := time.Duration(float64(q.OutputTokens)*t.decode) * time.Microsecond
	return float64(expected) > decodeShare*float64(q.deadline.Sub(now))
}

// prefixBias is how much more loaded a target that holds the whole prefix may be.
const prefixBias = 0.5

// position implements positioned.
func (t *target) position() *int { return &t.readyIndex }

// leastLoaded orders targets by load, and targets with the same load as the arbiter does.
func leastLoaded(a, b *target) bool {
	x, y := a.load(), b.load()
	switch {
	case x != y:
		return x < y
	case a.order != b.order:
		return a.order < b.order
	}
	return a.name < b.name
}

// Shuffle gives this shard an order of its own among targets with the same load. Arbiters that
// do not know of each other, as when many hosts start at once, do not all choose the same
// target then. It must come before the first configuration. Without it the order is by name.
func (s *Shard) Shuffle(seed uint64) { s.seed = seed }

// orderOf returns the place of a target among those with the same load.
func (s *Shard) orderOf(name object.TargetName) uint64 {
	if s.seed == 0 {
		return 0
	}
	return digest.Mix(s.seed + digest.Of(string(name)))
}

// fixReady adds, moves or removes a target among those with free slots, after a change of
// its slots or load.
func (s *Shard) fixReady(t *target) {
	free := t.inFlight < t.slots()
	switch {
	case free && t.readyIndex == notQueued:
		s.ready.push(t)
	case free:
		s.ready.fix(t)
	case t.readyIndex != notQueued:
		s.ready.remove(t)
	}
}
