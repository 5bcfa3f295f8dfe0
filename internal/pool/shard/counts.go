package shard

import (
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// Counts is what became of the requests of one class of a pool in a span of time.
type Counts struct {
	// Granted are all that were granted, GrantedLate those of them that were out of time for
	// their objective.
	Granted, GrantedLate int
	// Refused counts refusals by reason, RefusedAgain those of callers that had to come back
	// before or have no time to.
	Refused      map[outcome.Reason]int
	RefusedAgain int
}

// countsOf returns the counts of the class of a request.
func (s *Shard) countsOf(class object.TierName) *Counts {
	c := s.counts[class]
	if c == nil {
		c = &Counts{Refused: map[outcome.Reason]int{}}
		s.counts[class] = c
	}
	return c
}

func (s *Shard) countGrant(q *request) {
	c := s.countsOf(q.tier.class)
	c.Granted++
	if q.tier.late {
		c.GrantedLate++
	}
}

func (s *Shard) countRefusal(q *request, reason outcome.Reason) {
	c := s.countsOf(q.tier.class)
	c.Refused[reason]++
	if !q.MayReturn {
		c.RefusedAgain++
	}
}

// TakeCounts returns the counts by class since it was last called.
func (s *Shard) TakeCounts() map[object.TierName]*Counts {
	counts := s.counts
	s.counts = map[object.TierName]*Counts{}
	return counts
}
