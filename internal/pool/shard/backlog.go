package shard

import (
	"math"
	"time"
)

const (
	// frequencyWindow is the time constant of a frequency.
	frequencyWindow = time.Second
	// backlogWait is the time in which the late requests of a class could be served at the rate
	// at which the class is. More of them would wait for nothing.
	backlogWait = 300 * time.Millisecond
	// minBacklog is the number of late requests of a class that may wait in any case.
	minBacklog = 8
)

// frequency follows how often something happens, a second.
type frequency struct {
	perSecond float64
	at        time.Time
}

// add notes that it has happened.
func (f *frequency) add(now time.Time) {
	f.perSecond = f.now(now) + 1/frequencyWindow.Seconds()
	f.at = now
}

// now returns the present value.
func (f *frequency) now(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.perSecond * math.Exp(-now.Sub(f.at).Seconds()/frequencyWindow.Seconds())
}

// backlogged reports whether more late requests of the class wait than can soon be served: by
// the slots that are free, also those of other arbiters, or by the rate of the class.
func (s *Shard) backlogged(now time.Time, q *request) bool {
	waiting := 0
	for _, t := range s.tiers {
		if t.late && t.classPriority == q.tier.classPriority {
			waiting += t.waiting
		}
	}
	grants := s.demandOf(now, rank{class: q.tier.classPriority}).grants.now(now)
	free := s.totalSlots - float64(s.Running())
	return float64(waiting) > max(grants*backlogWait.Seconds(), free, minBacklog)
}
