package shard

import "time"

// Waiting returns the number of waiting requests.
func (s *Shard) Waiting() int { return s.waiting }

// Summary describes the state of a pool for logs and metrics.
type Summary struct {
	// Targets are all known ones, Open those that may get work now or later, Ready those
	// with a free slot, and Failed those that wait for their next attempt.
	Targets, Open, Ready, Failed int
	// Slots is the number of slots of open targets and Share this arbiter's part of them.
	Slots float64
	Share Share
	// Waiting and Running count requests by class, and Late those that wait and are out of
	// time for their objective.
	Waiting, Late, Running map[string]int
	// Kept is how many slots are kept from each class for more urgent ones.
	Kept map[string]int
}

// Summary returns the state of the pool.
func (s *Shard) Summary(now time.Time) Summary {
	sum := Summary{
		Targets: len(s.targets), Ready: s.ready.len(), Failed: len(s.failed),
		Slots: s.totalSlots, Share: s.share,
		Waiting: map[string]int{}, Late: map[string]int{}, Running: map[string]int{}, Kept: map[string]int{},
	}
	for _, t := range s.targets {
		if !t.closed {
			sum.Open++
		}
	}
	for _, t := range s.tiers {
		sum.Waiting[string(t.class)] += t.waiting
		sum.Running[string(t.class)] += len(t.running)
		if t.late {
			sum.Late[string(t.class)] += t.waiting
			continue
		}
		sum.Kept[string(t.class)] = int(s.needAbove(now, t.rank()))
	}
	return sum
}

// Running returns the number of granted requests.
func (s *Shard) Running() int { return len(s.requests) - s.waiting }
