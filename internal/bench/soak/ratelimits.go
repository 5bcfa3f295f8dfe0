package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwinglock/platform/standin"
)

// namedRates are the rate limits that targets name, as the header has them.
var namedRates = []string{"0.3", "1.6", "4", "12"}

const (
	// rateLimitInterval is the mean time between the starts of two rate limits.
	rateLimitInterval = 5 * time.Second
	// shortRateLimit and longRateLimit bound how long a target names a limit. The bounds leave time
	// after standin.RateLimitContact to exceed it.
	shortRateLimit = 5 * time.Second
	longRateLimit  = 10 * time.Second
	// rateLimitedTargets is the number of targets from which those with a limit are drawn. The last
	// service has one target only.
	rateLimitedTargets = engineCount + serviceCount
)

// plannedRateLimit is a rate limit that a target names for some time.
type plannedRateLimit struct {
	at, duration time.Duration
	number       int
	perSecond    string
}

// String describes a rate limit for the log of a run.
func (l plannedRateLimit) String() string {
	return fmt.Sprintf("%6.2fs rate limit %s for %.2fs, number %d", l.at.Seconds(), l.perSecond, l.duration.Seconds(), l.number)
}

// drawRateLimits draws the rate limits of one run. They have their own random numbers, so that the
// faults of earlier seeds stay the same.
func drawRateLimits(seed uint64, period time.Duration) []plannedRateLimit {
	random := rand.New(rand.NewPCG(seed, uint64(len(namedRates))))
	var plan []plannedRateLimit
	for range period / rateLimitInterval {
		plan = append(plan, plannedRateLimit{
			at:        time.Duration(random.Int64N(int64(period))),
			duration:  shortRateLimit + time.Duration(random.Int64N(int64(longRateLimit-shortRateLimit))),
			number:    random.IntN(rateLimitedTargets),
			perSecond: namedRates[random.IntN(len(namedRates))],
		})
	}
	slices.SortStableFunc(plan, func(a, b plannedRateLimit) int { return int(a.at - b.at) })
	return plan
}

// runRateLimits makes targets name the planned rate limits.
func (s *soak) runRateLimits(start time.Time) {
	for _, l := range drawRateLimits(s.options.Seed, s.options.FaultPeriod) {
		time.Sleep(time.Until(start.Add(l.at)))
		t := s.pickTarget(l.number)
		if t == nil || t.Service == slowService {
			continue
		}
		s.background.Go(func() {
			t.SetRateLimit(l.perSecond)
			time.Sleep(l.duration)
			t.SetRateLimit("")
		})
	}
}

// checkRateLimits counts the requests of hosts without a recent fault, also of those that have not
// heard of the limit.
func checkRateLimits(r *Record) []string {
	attempts := r.attemptsByID()
	return standin.RateLimitExcess(r.runs, func(run standin.Run) bool {
		a := attempts[run.RequestID]
		return a != nil && r.isHostFaultFree(a.Address, run.Arrived.Add(-standin.RateLimitWindow), run.Arrived)
	})
}
