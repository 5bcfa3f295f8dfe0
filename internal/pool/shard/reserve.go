package shard

import (
	"math"
	"time"
)

const (
	// demandSpan is the time constant with which the demand of a class follows its requests, and
	// deviationSpan that with which its deviation follows their changes.
	demandSpan    = 300 * time.Millisecond
	deviationSpan = 1500 * time.Millisecond
	// reserveDeviations is how many mean deviations are kept free for more urgent work beside its
	// demand. Demand of many requests varies less, in parts of it, than that of few.
	reserveDeviations = 3
	// minClassShare is the part of the slots that even the least urgent work may use.
	minClassShare = 0.15
)

// rank orders the requests that a reserve is kept for: by class, and within a class those in
// time for their objective before the late ones.
type rank struct {
	class int // Its priority.
	late  bool
}

// above reports whether room is kept for requests of this rank from those of the other.
func (r rank) above(other rank) bool {
	return r.class > other.class || r.class == other.class && !r.late && other.late
}

func (t *tierQueue) rank() rank { return rank{t.classPriority, t.late} }

// demand follows how many slots the requests of one rank need: those that run and, while
// they are in time, those that wait.
type demand struct {
	rank  rank
	slots float64
	// deviation is the mean distance of the requests from slots.
	deviation float64
	at        time.Time
	// holding is the mean time for which a request of the class holds its slot, and patience
	// the mean time within which one in time should get it. Both are 0 if unknown; the
	// demand of those in time keeps them for the whole class.
	holding, patience time.Duration
	// grants is how many requests of the class are granted a second; that of those in time
	// counts for the whole class.
	grants frequency
}

const (
	// meanWeight is the inverse weight of a new sample in a mean.
	meanWeight = 16
	// longHolding is the holding time, in patiences of other requests, from which these may
	// have to wait too long for a slot to come free.
	longHolding = 2
)

// mean returns a running mean with one sample more.
func mean(before, sample time.Duration) time.Duration {
	if before == 0 {
		return sample
	}
	return before + (sample-before)/meanWeight
}

// noteArrival learns from a request that has just come.
func (s *Shard) noteArrival(now time.Time, q *request) {
	if q.lateAt.After(now) {
		d := s.demandOf(now, rank{class: q.tier.classPriority})
		d.patience = mean(d.patience, q.lateAt.Sub(now))
	}
}

// noteEnd learns from a request that has run.
func (s *Shard) noteEnd(now time.Time, q *request) {
	d := s.demandOf(now, rank{class: q.tier.classPriority})
	d.holding = mean(d.holding, now.Sub(q.grantedAt))
}

// blockedBy reports whether requests that hold their slots so long must leave room for those
// of the demand. Slots that come free soon need not be kept.
func (d *demand) blockedBy(holding time.Duration) bool {
	return holding == 0 || d.patience == 0 || holding > longHolding*d.patience
}

func (d *demand) follow(now time.Time, current float64) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	change := (current - d.slots) * passed(elapsed, demandSpan)
	// The distance shrinks while the demand follows; this is its mean over the time.
	distance := math.Abs(change) * demandSpan.Seconds() / elapsed.Seconds()
	d.deviation += (distance - d.deviation) * passed(elapsed, deviationSpan)
	d.slots += change
	d.at = now
}

// passed returns the part of a change that is followed in a time.
func passed(elapsed, span time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/span.Seconds())
}

// demandOf returns the demand of a rank.
func (s *Shard) demandOf(now time.Time, r rank) *demand {
	for _, d := range s.demands {
		if d.rank == r {
			return d
		}
	}
	d := &demand{rank: r, at: now}
	s.demands = append(s.demands, d)
	return d
}

// followDemand brings the demands of all ranks to the present.
func (s *Shard) followDemand(now time.Time) {
	if !s.runToEnd {
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
		d.follow(now, float64(current))
	}
}

// needAbove returns how many slots are needed by requests that rank above the given ones and
// that these would block.
func (s *Shard) needAbove(now time.Time, own rank) float64 {
	holding := s.demandOf(now, rank{class: own.class}).holding
	need := 0.0
	for _, d := range s.demands {
		if d.rank.above(own) && s.demandOf(now, rank{class: d.rank.class}).blockedBy(holding) {
			need += d.slots + reserveDeviations*d.deviation
		}
	}
	return need
}

// reserved reports whether the free slots are kept for requests that rank above those of the
// queue: together with all that rank no higher, it uses up what is left beside their need.
// This holds for all accounts, because work of the least urgent class can hold a slot many
// times as long as the most urgent, and a late request as long as one that is in time.
func (s *Shard) reserved(now time.Time, tier *tierQueue) bool {
	if !s.runToEnd {
		return false // Slots are taken back from less urgent work when they are needed.
	}
	budget := s.totalSlots * s.share.Slots
	own := tier.rank()
	need := s.needAbove(now, own)
	if need == 0 {
		return false
	}
	running, ofClass := 0, 0
	for _, t := range s.tiers {
		if !t.rank().above(own) {
			running += len(t.running)
		}
		if t.classPriority == own.class {
			ofClass += len(t.running)
		}
	}
	if !tier.late && float64(ofClass) < budget*minClassShare {
		return false // Less urgent classes that run already do not use up its part.
	}
	return float64(running) >= max(budget-need, 1)
}
