package shard

import (
	"math"
	"time"
)

const (
	// eventRateTimeConstant is the time constant of the exponential average.
	eventRateTimeConstant = time.Second
	// maxBacklogTime limits the late requests of a class that may wait: at the current grant rate of
	// late requests of the class, all of them must be granted within this time. More of them would wait
	// and still be refused, because requests in time go first.
	maxBacklogTime = 300 * time.Millisecond
	// minBacklog is the number of late requests of a class that may always wait.
	minBacklog = 2
)

// eventRate is an exponentially weighted average of the number of events per second.
type eventRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *eventRate) record(now time.Time) {
	r.perSecond = r.value(now) + 1/eventRateTimeConstant.Seconds()
	r.updatedAt = now
}

// value returns the average at the given time.
func (r *eventRate) value(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/eventRateTimeConstant.Seconds())
}

// backlogTooLong reports whether more late requests of the class wait than can be served soon,
// either by the free slots, including those of other arbiters, or at the current grant rate of
// late requests of the class.
func (s *Shard) backlogTooLong(now time.Time, q *request) bool {
	waiting := 0
	for _, t := range s.tiers {
		if t.late && t.classPriority == q.tier.classPriority {
			waiting += t.waiting
		}
	}
	grants := s.demandOf(now, rank{class: q.tier.classPriority, late: true}).grantRate.value(now)
	free := s.totalSlots - float64(s.Running())
	return float64(waiting) > max(grants*maxBacklogTime.Seconds(), free, minBacklog)
}
