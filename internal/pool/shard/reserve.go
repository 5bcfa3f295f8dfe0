package shard

import (
	"math"
	"time"
)

const (
	// demandRise and demandFall are the time constants with which the demand of a class
	// follows its requests. It rises faster, because work that has begun is not called back.
	demandRise = 300 * time.Millisecond
	demandFall = 1500 * time.Millisecond
	// reserveMargin is what is kept free for more urgent work, as a factor on its demand.
	reserveMargin = 1.15
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
	at    time.Time
}

func (d *demand) follow(now time.Time, current float64) {
	span := demandFall
	if current > d.slots {
		span = demandRise
	}
	weight := 1 - math.Exp(-now.Sub(d.at).Seconds()/span.Seconds())
	d.slots += (current - d.slots) * weight
	d.at = now
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

// reserved reports whether the free slots are kept for requests that rank above those of the
// queue: together with all that rank no higher, it uses up what is left beside their need.
// This holds for all accounts, because work of the least urgent class can hold a slot many
// times as long as the most urgent, and a late request as long as one that is in time.
func (s *Shard) reserved(tier *tierQueue) bool {
	if !s.runToEnd {
		return false // Slots are taken back from less urgent work when they are needed.
	}
	budget := s.totalSlots * s.share.Slots
	own := tier.rank()
	need := 0.0
	for _, d := range s.demands {
		if d.rank.above(own) {
			need += d.slots
		}
	}
	if need == 0 {
		return false
	}
	running := 0
	for _, t := range s.tiers {
		if !t.rank().above(own) {
			running += len(t.running)
		}
	}
	least := budget * minClassShare
	if tier.late {
		least = 0
	}
	limit := max(budget-need*reserveMargin, least, 1)
	return float64(running) >= limit
}
