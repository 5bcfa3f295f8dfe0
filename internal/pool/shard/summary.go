package shard

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
	// Waiting and Running count requests by class.
	Waiting, Running map[string]int
}

// Summary returns the state of the pool.
func (s *Shard) Summary() Summary {
	sum := Summary{
		Targets: len(s.targets), Ready: s.ready.len(), Failed: len(s.failed),
		Slots: s.totalSlots, Share: s.share, Waiting: map[string]int{}, Running: map[string]int{},
	}
	for _, t := range s.targets {
		if !t.closed {
			sum.Open++
		}
	}
	for _, t := range s.tiers {
		sum.Waiting[string(t.class)] += t.waiting
		sum.Running[string(t.class)] += len(t.running)
	}
	return sum
}

// Running returns the number of granted requests.
func (s *Shard) Running() int { return len(s.requests) - s.waiting }
