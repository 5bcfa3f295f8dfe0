package shard

import (
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// Counts holds the outcomes of the requests of one class of a pool since the last report.
type Counts struct {
	// Granted is the number of grants. GrantedLate counts the grants of requests past their latency
	// objective.
	Granted, GrantedLate int
	// Refused counts refusals by reason. RefusedAgain counts the refusals of callers that had
	// already retried or have no time to retry.
	Refused      map[outcome.Reason]int
	RefusedAgain int
	// HeldBack counts requests that waited while a target had a free slot and no more of its rate
	// limit. Diverted counts grants of another target while there was such a target.
	HeldBack, Diverted int
	// Deferred counts requests that were admitted after they had waited for a larger share of a quota.
	Deferred int
	// OnIdleConnection counts grants of a target to which the front has an idle connection.
	OnIdleConnection int
	// CachedTokens is the number of prompt tokens that the granted targets were expected to hold.
	// BusierForCache counts grants of a target that was busier than another one, for what it held.
	CachedTokens, BusierForCache int
}

// countsOf returns the counts of a class.
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
	if !q.MayRetry {
		c.RefusedAgain++
	}
}

func (s *Shard) countDeferred(q *request) { s.countsOf(q.tier.class).Deferred++ }

// TakeCounts returns the counts by class and resets them.
func (s *Shard) TakeCounts() map[object.TierName]*Counts {
	counts := s.counts
	s.counts = map[object.TierName]*Counts{}
	return counts
}
