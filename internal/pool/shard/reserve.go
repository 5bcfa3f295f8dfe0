package shard

import "time"

const (
	// demandWindow is the time over which arrivals are counted.
	demandWindow = 500 * time.Millisecond
	// demandRise and demandFall are the weights of a window with more or fewer arrivals than
	// before. The rate rises faster, because work that has begun is not called back.
	demandRise = 0.5
	demandFall = 0.15
	// holdWeight is the weight of a new sample in the mean time that a slot is held.
	holdWeight = 0.05
	// initialHold is assumed before anything has ended.
	initialHold = 300 * time.Millisecond
	// reserveMargin is what is kept free for more urgent work beyond its mean need.
	reserveMargin = 1.15
	// minTierShare is the part of the slots that even the least urgent work may use.
	minTierShare = 0.15
)

// demand is what the requests of one class need of the pool.
type demand struct {
	priority int // Of the class.
	// perSecond is the rate of arrivals and hold the mean time that each holds a slot.
	perSecond float64
	hold      time.Duration

	since time.Time
	count int
}

func (d *demand) arrive(now time.Time) {
	d.roll(now)
	d.count++
}

// roll closes the window if it is over.
func (d *demand) roll(now time.Time) {
	elapsed := now.Sub(d.since)
	if elapsed < demandWindow {
		return
	}
	if d.since.IsZero() {
		d.since = now
		return
	}
	rate := float64(d.count) / elapsed.Seconds()
	weight := demandFall
	if rate > d.perSecond {
		weight = demandRise
	}
	d.perSecond += (rate - d.perSecond) * weight
	d.since = now
	d.count = 0
}

func (d *demand) release(held time.Duration) {
	d.hold += time.Duration(float64(held-d.hold) * holdWeight)
}

// slots returns how many slots the requests need at a time.
func (d *demand) slots() float64 { return d.perSecond * d.hold.Seconds() }

// demandOf returns the demand of the classes with a priority.
func (s *Shard) demandOf(priority int) *demand {
	for _, d := range s.demands {
		if d.priority == priority {
			return d
		}
	}
	d := &demand{priority: priority, hold: initialHold}
	s.demands = append(s.demands, d)
	return d
}

// reserved reports whether the free slots are kept for classes that are more urgent than
// that of the queue: together with all that is no more urgent, it uses up what is left beside
// their need. This holds for all accounts, because work of the least urgent class can hold a
// slot many times as long as the most urgent.
func (s *Shard) reserved(now time.Time, tier *tierQueue) bool {
	if !s.runToEnd {
		return false // Slots are taken back from less urgent work when they are needed.
	}
	budget := s.totalSlots * s.share.Slots
	need := 0.0
	for _, d := range s.demands {
		if d.priority > tier.classPriority {
			d.roll(now)
			need += d.slots()
		}
	}
	if need == 0 {
		return false
	}
	running := 0
	for _, t := range s.tiers {
		if t.classPriority <= tier.classPriority {
			running += len(t.running)
		}
	}
	limit := max(budget-need*reserveMargin, budget*minTierShare, 1)
	return float64(running) >= limit
}
