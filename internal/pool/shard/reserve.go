package shard

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the average demand of a class,
	// deviationTimeConstant that of its mean deviation.
	demandTimeConstant    = 300 * time.Millisecond
	deviationTimeConstant = 1500 * time.Millisecond
	// reserveDeviations is how many mean deviations are reserved for more urgent requests in
	// addition to their demand. The more requests there are, the smaller is the deviation relative
	// to the demand.
	reserveDeviations = 3
	// minClassShare is the fraction of the slots that even the least urgent class may use.
	minClassShare = 0.15
)

// rank is the order in which slots are reserved: by class, and within a class for requests that
// can meet their latency objective before late ones.
type rank struct {
	class int // Priority of the class.
	late  bool
}

// above reports whether slots are reserved for requests of rank r from requests of the other
// rank.
func (r rank) above(other rank) bool {
	return r.class > other.class || r.class == other.class && !r.late && other.late
}

func (t *tierQueue) rank() rank { return rank{t.classPriority, t.late} }

// demand estimates how many slots the requests of one rank need. It counts running requests and,
// unless they are late, waiting ones.
type demand struct {
	rank  rank
	slots float64
	// deviation is the mean absolute deviation of the number of requests from slots.
	deviation float64
	updatedAt time.Time
	// slotHoldTime is the mean time that a request of the class holds its slot. waitLimit is the
	// mean time from arrival to lateAt. Both are 0 if unknown, and are stored for the whole class
	// in the demand of the requests that are not late.
	slotHoldTime, waitLimit time.Duration
	// grantRate is the number of grants per second of the rank.
	grantRate eventRate
}

const (
	// meanDivisor is the inverse weight of a new sample in a moving average.
	meanDivisor = 16
	// longHoldFactor is the ratio of the slot hold time to the wait limit of other requests above
	// which those may wait too long for a free slot.
	longHoldFactor = 2
)

// updateMean returns the moving average after one more sample.
func updateMean(current, sample time.Duration) time.Duration {
	if current == 0 {
		return sample
	}
	return current + (sample-current)/meanDivisor
}

// recordWaitLimit updates the wait limit of the class with a new request.
func (s *Shard) recordWaitLimit(now time.Time, q *request) {
	if q.lateAt.After(now) {
		d := s.demandOf(now, rank{class: q.tier.classPriority})
		d.waitLimit = updateMean(d.waitLimit, q.lateAt.Sub(now))
	}
}

// recordSlotHoldTime updates the slot hold time of the class with a request that has ended.
func (s *Shard) recordSlotHoldTime(now time.Time, q *request) {
	d := s.demandOf(now, rank{class: q.tier.classPriority})
	d.slotHoldTime = updateMean(d.slotHoldTime, now.Sub(q.grantedAt))
	s.holdTime = updateMean(s.holdTime, now.Sub(q.grantedAt))
}

// blockedBy reports whether requests with the given slot hold time must leave slots for this
// demand. Slots that become free soon need not be reserved.
func (d *demand) blockedBy(slotHoldTime time.Duration) bool {
	return slotHoldTime == 0 || d.waitLimit == 0 || slotHoldTime > longHoldFactor*d.waitLimit
}

// update moves the averages toward the current number of requests.
func (d *demand) update(now time.Time, current float64) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	change := (current - d.slots) * smoothingFactor(elapsed, demandTimeConstant)
	// The distance shrinks while the average approaches the current value. This is its mean over
	// the elapsed time.
	distance := math.Abs(change) * demandTimeConstant.Seconds() / elapsed.Seconds()
	d.deviation += (distance - d.deviation) * smoothingFactor(elapsed, deviationTimeConstant)
	d.slots += change
	d.updatedAt = now
}

// smoothingFactor returns the weight of the current value in an exponential average after the
// elapsed time.
func smoothingFactor(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

func (s *Shard) demandOf(now time.Time, r rank) *demand {
	for _, d := range s.demands {
		if d.rank == r {
			return d
		}
	}
	d := &demand{rank: r, updatedAt: now}
	s.demands = append(s.demands, d)
	return d
}

// updateDemands updates the demand of all ranks to the given time.
func (s *Shard) updateDemands(now time.Time) {
	if !s.nonPreemptible {
		return
	}
	for _, t := range s.tiers {
		s.demandOf(now, t.rank())
	}
	for _, d := range s.demands {
		current := 0
		for _, t := range s.tiers {
			if t.rank() != d.rank {
				continue
			}
			current += len(t.running)
			if !t.late {
				current += t.waiting
			}
		}
		d.update(now, float64(current))
	}
}

// slotsNeededAbove returns how many slots are needed by requests that rank above the given rank
// and that requests of this rank would block.
func (s *Shard) slotsNeededAbove(now time.Time, own rank) float64 {
	slotHoldTime := s.demandOf(now, rank{class: own.class}).slotHoldTime
	need := 0.0
	for _, d := range s.demands {
		if d.rank.above(own) && s.demandOf(now, rank{class: d.rank.class}).blockedBy(slotHoldTime) {
			need += d.slots + reserveDeviations*d.deviation
		}
	}
	return need
}

// slotsReservedFrom reports whether the free slots are reserved for requests that rank above
// those of the queue. This is the case if the running requests of this rank and below use all
// slots that the higher ranks do not need. The reserve applies to all accounts, because the least
// urgent requests can hold a slot many times as long as the most urgent ones, and a late request
// as long as one in time.
func (s *Shard) slotsReservedFrom(now time.Time, tier *tierQueue) bool {
	if !s.nonPreemptible {
		return false // Preemption frees slots of less urgent requests when needed.
	}
	budget := s.totalSlots * s.share.Slots
	own := tier.rank()
	need := s.slotsNeededAbove(now, own)
	if need == 0 {
		return false
	}
	running, runningOfClass := 0, 0
	for _, t := range s.tiers {
		if !t.rank().above(own) {
			running += len(t.running)
		}
		if t.classPriority == own.class {
			runningOfClass += len(t.running)
		}
	}
	if !tier.late && float64(runningOfClass) < budget*minClassShare {
		return false // Running requests of less urgent classes do not count against this minimum.
	}
	return float64(running) >= max(budget-need, 1)
}
