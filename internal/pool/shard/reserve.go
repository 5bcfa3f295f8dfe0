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

// demand follows how many slots the requests of one class need: those that run and those
// that wait in time for their objective.
type demand struct {
	priority int // Of the class.
	slots    float64
	at       time.Time
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

// demandOf returns the demand of the classes with a priority.
func (s *Shard) demandOf(now time.Time, priority int) *demand {
	for _, d := range s.demands {
		if d.priority == priority {
			return d
		}
	}
	d := &demand{priority: priority, at: now}
	s.demands = append(s.demands, d)
	return d
}

// followDemand brings the demands of all classes to the present.
func (s *Shard) followDemand(now time.Time) {
	if !s.runToEnd {
		return
	}
	for _, t := range s.tiers {
		s.demandOf(now, t.classPriority)
	}
	for _, d := range s.demands {
		current := 0
		for _, t := range s.tiers {
			if t.classPriority != d.priority {
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

// reserved reports whether the free slots are kept for classes that are more urgent than
// that of the queue: together with all that is no more urgent, it uses up what is left beside
// their need. This holds for all accounts, because work of the least urgent class can hold a
// slot many times as long as the most urgent.
func (s *Shard) reserved(tier *tierQueue) bool {
	if !s.runToEnd {
		return false // Slots are taken back from less urgent work when they are needed.
	}
	budget := s.totalSlots * s.share.Slots
	need := 0.0
	for _, d := range s.demands {
		if d.priority > tier.classPriority {
			need += d.slots
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
	limit := max(budget-need*reserveMargin, budget*minClassShare, 1)
	return float64(running) >= limit
}
