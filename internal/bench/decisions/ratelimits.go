package decisions

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/platform/standin"
)

// engineLimits are the rate limits that the first engines of a peak load name.
type engineLimits struct {
	engines   int
	perSecond wire.RequestRate
	from, to  time.Duration
}

// halfLimited is half of the load of the dozen engines, of which half name a rate limit during the
// surges.
var halfLimited = &peakLoad{
	name:         "12 engines, half of them with rate limits",
	kinds:        peakKinds,
	engines:      12,
	slots:        7,
	rateFactor:   0.5,
	surges:       peakSurges,
	minEventWait: 2 * time.Second,
	limits:       &engineLimits{engines: 6, perSecond: 1.6, from: 4 * time.Second, to: 20 * time.Second},
}

// schedule makes the engines name their limits and end them.
func (l *engineLimits) schedule(sim *simulation, p *peakScheduler) {
	if l == nil {
		return
	}
	name := func(perSecond wire.RequestRate) {
		for _, e := range sim.engines[:l.engines] {
			n := wire.TargetNotice{Pool: pool, Target: e.name, Rate: &wire.RateNotice{PerSecond: perSecond}}
			p.applyDecisions(sim, p.shard.Notice(epoch.Add(sim.now), n))
		}
	}
	sim.schedule(l.from, func() { name(l.perSecond) })
	sim.schedule(l.to, func() { name(0) })
}

// limitExcess returns the highest number of requests that reached an engine with a rate limit in a
// window, as a fraction of those that are allowed.
func (pl *peakLoad) limitExcess(seeds int) (float64, error) {
	most := 0
	for seed := range seeds {
		jobs, err := pl.simulate("redwinglock", uint64(seed+1))
		if err != nil {
			return 0, err
		}
		most = max(most, pl.limits.mostSent(jobs))
	}
	return float64(most) / standin.RateLimitAllowed(float64(pl.limits.perSecond)), nil
}

// mostSent returns the highest number of jobs that were sent to one limited engine in a window.
func (l *engineLimits) mostSent(jobs []*job) int {
	byEngine := map[*engine][]time.Duration{}
	for _, j := range jobs {
		if j.engine != nil && l.limits(j.engine) && j.sent >= l.from+standin.RateLimitContact && j.sent < l.to {
			byEngine[j.engine] = append(byEngine[j.engine], j.sent)
		}
	}
	most := 0
	for _, sent := range byEngine {
		slices.Sort(sent)
		first := 0
		for i, at := range sent {
			for at-sent[first] > standin.RateLimitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// limits reports whether the engine names a limit.
func (l *engineLimits) limits(e *engine) bool { return e.number < l.engines }
