package shard

import (
	"time"

	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// place picks the target for a request: one that caches a prefix of its prompt unless that
// target is much more loaded, otherwise the least loaded one. It returns nil if no slot is free.
func (s *Shard) place(now time.Time, q *request) *target {
	if s.ready.len() == 0 {
		return nil
	}
	if s.rollout != nil {
		return s.placeByVersion(now, q)
	}
	return s.placeOn(now, q, trial.OldVersion)
}

// placeOn picks a target on one side of a rollout. Without a rollout, all targets are
// candidates.
func (s *Shard) placeOn(now time.Time, q *request, side trial.Side) *target {
	least := s.leastLoaded(now, q, side)
	if least == nil {
		return nil
	}
	if least.tracksCache(q) {
		return s.preferCached(now, q, side, s.preferConnection(now, q, side, least))
	}
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		matchedFraction := float64(i+1) / float64(len(q.Prefixes))
		var best *target
		for _, holder := range s.prefixes.holders(q.Prefixes[i]) {
			if !s.mayServe(holder, side) || q.avoids(holder) || holder.tooSlow(now, q) || !s.startsInTime(now, q, holder) {
				continue
			}
			if holder.readyIndex != notInHeap && (best == nil || holder.load() < best.load()) {
				best = holder
			}
		}
		if best != nil && best.load() <= least.load()+prefixBias*matchedFraction {
			return best
		}
	}
	return s.preferConnection(now, q, side, least)
}

// leastLoaded returns the least loaded target among those that can answer in time, or the one
// that would answer soonest if none can. It prefers a target in the zone of the front unless
// that target is much more loaded. It returns nil if there is no candidate.
func (s *Shard) leastLoaded(now time.Time, q *request, side trial.Side) *target {
	var best, sameZone, fastest *target
	for _, t := range s.ready.all() {
		if !s.mayServe(t, side) || q.avoids(t) {
			continue
		}
		if t.tooSlow(now, q) || !s.startsInTime(now, q, t) {
			if fastest == nil || s.answersSooner(now, q, t, fastest) {
				fastest = t
			}
			continue
		}
		if best == nil || lessLoaded(t, best) {
			best = t
		}
		if t.zone == q.Zone && (sameZone == nil || lessLoaded(t, sameZone)) {
			sameZone = t
		}
	}
	switch {
	case best == nil:
		return fastest
	case sameZone != nil && sameZone.load() <= best.load()+zoneBias:
		return sameZone
	}
	return best
}

// answersSooner reports whether target a would answer a request sooner than b. Neither of them
// can answer in time.
func (s *Shard) answersSooner(now time.Time, q *request, a, b *target) bool {
	if a.tooSlow(now, q) && b.tooSlow(now, q) {
		return a.decodeUS < b.decodeUS
	}
	if a.tooSlow(now, q) != b.tooSlow(now, q) {
		return b.tooSlow(now, q)
	}
	return s.answerStart(now, q, a).Before(s.answerStart(now, q, b))
}

// zoneBias is how much more loaded a target in the zone of the front may be than the least
// loaded one.
const zoneBias = 0.3

// maxDecodeFraction is the largest fraction of the remaining time that the tokens of an answer
// may take.
const maxDecodeFraction = 0.6

// tooSlow reports whether the target would need too much time to generate the answer.
func (t *target) tooSlow(now time.Time, q *request) bool {
	if q.deadline.IsZero() || t.speedSamples < minSamples {
		return false
	}
	expected := time.Duration(float64(q.OutputTokens)*t.decodeUS) * time.Microsecond
	return float64(expected) > maxDecodeFraction*float64(q.deadline.Sub(now))
}

// prefixBias is how much more loaded a target may be that caches the whole prompt prefix.
const prefixBias = 0.5

// position implements positioned.
func (t *target) position() *int { return &t.readyIndex }

// lessLoaded orders targets by load. Targets with the same load are ordered by their
// tie-breaker, then by name.
func lessLoaded(a, b *target) bool {
	x, y := a.load(), b.load()
	switch {
	case x != y:
		return x < y
	case a.tieBreak != b.tieBreak:
		return a.tieBreak < b.tieBreak
	}
	return a.name < b.name
}

// SetTieBreakSeed gives this shard its own order of targets with the same load. It prevents
// independent arbiters, such as those of many hosts that start together, from all choosing the
// same target. Call it before the first Configure. Without a seed, such targets are ordered by
// name.
func (s *Shard) SetTieBreakSeed(seed uint64) { s.tieBreakSeed = seed }

// tieBreakOf returns the sort key of a target among those with the same load, 0 without a seed.
func (s *Shard) tieBreakOf(name object.TargetName) uint64 {
	if s.tieBreakSeed == 0 {
		return 0
	}
	return digest.Mix(s.tieBreakSeed + digest.Of(string(name)))
}

// updateReady updates the heap of targets with free slots after a change of the target's slots
// or load.
func (s *Shard) updateReady(t *target) {
	free := t.inFlight < t.slots()
	switch {
	case free && t.readyIndex == notInHeap:
		s.ready.push(t)
		s.readyVersions[t.generation]++
	case free:
		s.ready.fix(t)
	case t.readyIndex != notInHeap:
		s.ready.remove(t)
		s.readyVersions[t.generation]--
	}
}
