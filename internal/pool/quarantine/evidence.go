package quarantine

import (
	"math"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
)

// exposure is the time that requests have spent at targets, and the number of them that crashes have ended.
type exposure struct {
	served time.Duration
	broken int
}

// minus returns the exposure without a part of it.
func (x exposure) minus(part exposure) exposure {
	return exposure{x.served - part.served, x.broken - part.broken}
}

// blame counts a crash against a prefix of a request that it broke, one of several.
func (t *Tracker) blame(now time.Time, prefix wire.PrefixHash, a Attempt, broken int) {
	e := t.evidenceOf(prefix)
	if e.state == wire.PrefixHeld {
		e.crashes++
		return
	}
	isIsolated := e.state == wire.PrefixSuspect && slices.Contains(a.isolatedFor, prefix)
	if !isIsolated && (e.state == wire.PrefixSuspect || now.Sub(e.lastCrashAt) < minCrashGap) {
		return
	}
	if t.isCommon(e) {
		t.clear(now, prefix)
		return
	}
	if last := a.Prefixes[len(a.Prefixes)-1]; len(e.requests) < minRequests && !slices.Contains(e.requests, last) {
		e.requests = append(e.requests, last)
	}
	e.crashes++
	e.lastCrashAt, e.updatedAt = now, now
	if isIsolated {
		e.isolated++
		e.own.broken += broken
		e.own.served += a.duration
		e.nextAt = now.Add(isolatedGap)
	}
	switch {
	case isIsolated && t.isProven(e):
		e.state, e.shareUnknown = wire.PrefixHeld, !t.isShareKnown(e)
		e.scheduleCheck(now)
		t.announce(now, prefix, e)
	case isIsolated:
		t.announce(now, prefix, e)
	case e.crashes >= suspectCrashes:
		e.state, e.suspectAt = wire.PrefixSuspect, now
		e.isolated, e.own, e.before = 0, exposure{}, t.exposure
		t.announce(now, prefix, e)
	}
}

// evidenceOf returns the evidence of a prefix, and creates it if needed.
func (t *Tracker) evidenceOf(prefix wire.PrefixHash) *evidence {
	e := t.prefixes[prefix]
	if e != nil {
		return e
	}
	if len(t.prefixes) >= maxPrefixes {
		t.evictOne()
	}
	e = &evidence{arrivedBefore: t.arrived}
	t.prefixes[prefix] = e
	return e
}

// evictOne removes a prefix that is neither suspect nor held, or any if there is none.
func (t *Tracker) evictOne() {
	var evicted wire.PrefixHash
	for prefix, e := range t.prefixes {
		evicted = prefix
		if !e.isolates() {
			break
		}
	}
	delete(t.prefixes, evicted)
}

// isProven reports whether the isolated crashes of a prefix are too many to have met them by chance.
func (t *Tracker) isProven(e *evidence) bool {
	if len(e.requests)+e.learnedRequests < minRequests {
		return false
	}
	if e.isolated < minIsolated {
		return false
	}
	return chanceOf(e.isolated, e.crashProbability(t.exposure.minus(e.before).minus(e.own))) <= maxErrorProbability
}

// crashProbability returns the probability that a request meets a crash by chance in the mean time after which the
// isolated requests of a prefix have crashed their targets. The crashes at which none of these ran tell it.
func (e *evidence) crashProbability(others exposure) float64 {
	if others.served <= 0 {
		return 0
	}
	crashesPerSecond := float64(others.broken) / others.served.Seconds()
	meanTime := e.own.served.Seconds() / float64(e.isolated)
	return 1 - math.Exp(-crashesPerSecond*meanTime)
}

// chanceOf returns the probability that n requests in a row meet crashes by chance, on average so soon that one request
// does with the given probability: that of a sum of n uniform variables (Irwin-Hall), for small sums.
func chanceOf(n int, probability float64) float64 {
	chance := 1.0
	for i := range n {
		chance *= float64(n) * probability / float64(i+1)
	}
	return chance
}
