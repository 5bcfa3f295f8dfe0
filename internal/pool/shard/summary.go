package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
)

// Waiting returns the number of waiting requests.
func (s *Shard) Waiting() int { return s.waiting + len(s.isolated) + len(s.growth.deferred) }

// Summary describes the state of a pool for logs and metrics.
type Summary struct {
	// Targets counts all targets, Open those that may get work now or later, Ready those with a
	// free slot, and Failed those in backoff.
	Targets, Open, Ready, Failed int
	// Slots is the number of slots of the targets that accept work. Share is the part that this
	// arbiter may use.
	Slots float64
	Share Share
	// Waiting and Running count requests by class. Late counts the waiting requests that are past
	// their latency objective.
	Waiting, Late, Running map[string]int
	// Kept is the number of slots that are reserved for requests that rank above each class.
	Kept map[string]int
	// Limited is the number of targets that name a rate limit, RateLimit the sum of these limits in
	// requests per second, and HeldBack the number of them that have a free slot and have used up their limit.
	Limited, HeldBack int
	RateLimit         wire.RequestRate
}

// Summary returns the state of the pool.
func (s *Shard) Summary(now time.Time) Summary {
	sum := Summary{
		Targets: len(s.targets), Ready: s.ready.len(), Failed: len(s.backingOff),
		Slots: s.totalSlots, Share: s.share,
		Waiting: map[string]int{}, Late: map[string]int{}, Running: map[string]int{}, Kept: map[string]int{},
	}
	for _, t := range s.targets {
		if !t.closed {
			sum.Open++
		}
	}
	for _, t := range s.limited {
		sum.Limited++
		sum.RateLimit += t.rateLimit
		if t.heldBack() {
			sum.HeldBack++
		}
	}
	for _, t := range s.tiers {
		sum.Waiting[string(t.class)] += t.waiting
		sum.Running[string(t.class)] += len(t.running)
		if t.late {
			sum.Late[string(t.class)] += t.waiting
			continue
		}
		sum.Kept[string(t.class)] = int(s.slotsNeededAbove(now, t.rank()))
	}
	return sum
}

// Running returns the number of granted requests.
func (s *Shard) Running() int { return len(s.requests) - s.Waiting() }
