package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/outcome"
)

// setRateLimit applies the rate limit that a target names, 0 for none.
func (s *Shard) setRateLimit(now time.Time, t *target, limit wire.RequestRate) {
	switch {
	case limit == t.rateLimit:
		return
	case limit == 0:
		s.clearRateLimit(t)
		return
	case t.rateLimit == 0:
		s.limited = append(s.limited, t)
		t.pacer = NewRatePacer(now, s.rateShare(limit), s.firstLevel(t))
	}
	t.rateLimit = limit
	t.pacer.SetRate(now, s.rateShare(limit))
	t.updateRateUsedUp(now)
}

func (s *Shard) clearRateLimit(t *target) {
	s.limited = slices.DeleteFunc(s.limited, func(other *target) bool { return other == t })
	t.rateLimit, t.rateUsedUp = 0, false
}

// rateShare returns this arbiter's part of a rate limit in requests per second.
func (s *Shard) rateShare(limit wire.RequestRate) float64 { return float64(limit) * s.share.Quota }

// firstLevel returns the first level of the pacer of a target. Arbiters that share a limit of few
// requests get different levels, so that they do not all send a request at the same moment.
func (s *Shard) firstLevel(t *target) float64 {
	if s.share.Quota >= 1 {
		return 0
	}
	const mantissaBits = 53
	random := digest.Mix(s.tieBreakSeed + digest.Of(string(t.name)))
	return float64(random>>(64-mantissaBits)) / (1 << mantissaBits)
}

// updateRateShares applies a new share to all rate limits.
func (s *Shard) updateRateShares(now time.Time) {
	for _, t := range s.limited {
		t.pacer.SetRate(now, s.rateShare(t.rateLimit))
		t.updateRateUsedUp(now)
		s.updateReady(t)
	}
}

// reopenLimited opens the targets whose rate limit allows a request again.
func (s *Shard) reopenLimited(now time.Time) {
	for _, t := range s.limited {
		if t.rateUsedUp && !now.Before(t.rateOpensAt) {
			t.updateRateUsedUp(now)
			s.updateReady(t)
		}
	}
}

// takeRate counts a grant against the rate limit of the target, if it names one.
func (s *Shard) takeRate(now time.Time, t *target) {
	if t.rateLimit > 0 {
		t.pacer.Take(now)
		t.updateRateUsedUp(now)
	}
}

func (t *target) updateRateUsedUp(now time.Time) {
	t.rateUsedUp = !t.pacer.Allows(now)
	t.rateOpensAt = t.pacer.OpensAt(now)
}

// usableSlots returns how many slots of a target can be in use: all of them, or those that its rate
// limit can keep in use.
func (s *Shard) usableSlots(t *target) float64 {
	if t.rateLimit == 0 || s.holdTime == 0 {
		return t.limit
	}
	return min(float64(t.rateLimit)*s.holdTime.Seconds(), t.limit)
}

// heldBack reports whether only the rate limit keeps a target from getting a request.
func (t *target) heldBack() bool {
	return t.rateUsedUp && t.inFlight < t.slotsWithoutRateLimit()
}

func (s *Shard) anyHeldBack() bool { return slices.ContainsFunc(s.limited, (*target).heldBack) }

// countHeldBack counts a request that waits for a rate limit, once.
func (s *Shard) countHeldBack(q *request) {
	if !q.heldBack && s.anyHeldBack() {
		q.heldBack = true
		s.countsOf(q.tier.class).HeldBack++
	}
}

// countDiverted counts a request that is granted another target than one that is held back.
func (s *Shard) countDiverted(q *request) {
	if s.anyHeldBack() {
		s.countsOf(q.tier.class).Diverted++
	}
}

// unavailableReason returns the reason of refusals while all targets are unavailable.
func (s *Shard) unavailableReason() outcome.Reason {
	if s.anyHeldBack() {
		return outcome.TargetsRateLimited
	}
	return outcome.NoTarget
}

// rateWait returns the time until a waiting request can be granted if all open targets name rate
// limits, otherwise 0.
func (s *Shard) rateWait(q *request) time.Duration {
	if len(s.limited) == 0 {
		return 0
	}
	total := 0.0
	for _, t := range s.targets {
		switch {
		case t.closed:
		case t.rateLimit == 0:
			return 0
		default:
			total += s.rateShare(t.rateLimit)
		}
	}
	if total == 0 {
		return 0
	}
	return time.Duration(s.requestsAhead(q) / total * float64(time.Second))
}

// rateMissesDeadline reports whether rate limits let a request wait longer than it may.
func (s *Shard) rateMissesDeadline(now time.Time, q *request) bool {
	return now.Add(s.rateWait(q)).After(q.expiresAt)
}

// requestsAhead estimates the number of requests that are granted before a waiting request.
func (s *Shard) requestsAhead(q *request) float64 {
	ahead := 0
	for _, tier := range s.tiers {
		if tier == q.tier {
			break
		}
		ahead += tier.waiting
	}
	own := float64(q.tier.waiting-1) * q.tier.tokensAheadShare(q)
	return float64(ahead) + max(own, 0)
}
