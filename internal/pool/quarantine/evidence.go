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

// blame counts a crash against a cause of a request that it broke, one of several.
func (t *Tracker) blame(now time.Time, cause wire.Cause, a Attempt, broken int) {
	e := t.evidenceOf(cause)
	if cause.Kind == wire.RequestCause {
		t.blameRequest(now, cause, e, a, broken)
		return
	}
	t.blamePrefix(now, cause, e, a, broken)
}

func (t *Tracker) blamePrefix(now time.Time, cause wire.Cause, e *evidence, a Attempt, broken int) {
	if e.state == wire.PrefixHeld {
		e.crashes++
		return
	}
	isIsolated := e.state == wire.PrefixSuspect && slices.Contains(a.isolatedFor, cause)
	if !isIsolated && (e.state == wire.PrefixSuspect || now.Sub(e.lastCrashAt) < minCrashGap) {
		return
	}
	if t.isCommon(e) {
		t.clear(now, cause)
		return
	}
	if len(e.requests) < minRequests && !slices.Contains(e.requests, a.Prompt) {
		e.requests = append(e.requests, a.Prompt)
	}
	e.crashes++
	e.lastCrashAt, e.updatedAt = now, now
	if isIsolated {
		e.recordIsolated(now, a, broken)
	}
	switch {
	case isIsolated && t.isProven(e):
		e.shareUnknown = !t.isShareKnown(e)
		t.hold(now, cause, e)
	case isIsolated:
		t.announce(now, cause, e)
	case e.crashes >= suspectCrashes:
		e.state, e.suspectAt = wire.PrefixSuspect, now
		e.isolated, e.own, e.before = 0, exposure{}, t.exposure
		t.announce(now, cause, e)
	}
}

// recordIsolated records a crash by a request that ran as the only one with the cause.
func (e *evidence) recordIsolated(now time.Time, a Attempt, broken int) {
	e.isolated++
	e.own.broken += broken
	e.own.served += a.duration
	e.nextAt = now.Add(isolatedGap)
}

// hold refuses the requests with a cause from now on.
func (t *Tracker) hold(now time.Time, cause wire.Cause, e *evidence) {
	e.state = wire.PrefixHeld
	e.scheduleCheck(now)
	t.announce(now, cause, e)
}

// evidenceOf returns the evidence of a cause, and creates it if needed.
func (t *Tracker) evidenceOf(cause wire.Cause) *evidence {
	e := t.causes[cause]
	if e != nil {
		return e
	}
	if len(t.causes) >= maxCauses {
		t.evictOne()
	}
	e = &evidence{kind: cause.Kind, arrivedBefore: t.arrived, before: t.exposure}
	t.causes[cause] = e
	return e
}

// evictOne removes a cause that is neither suspect nor held, or any if there is none.
func (t *Tracker) evictOne() {
	var evicted wire.Cause
	for cause, e := range t.causes {
		evicted = cause
		if !e.isolates() {
			break
		}
	}
	delete(t.causes, evicted)
}

// isProven reports whether the isolated crashes of a prefix are too many to have met them by chance.
func (t *Tracker) isProven(e *evidence) bool {
	if len(e.requests)+e.learnedRequests < minRequests {
		return false
	}
	if e.isolated < minIsolated {
		return false
	}
	return t.isUnlikely(e)
}

// isUnlikely reports whether the isolated crashes of a cause are too many, or too soon, to have met them by chance.
func (t *Tracker) isUnlikely(e *evidence) bool {
	others := t.exposure.minus(e.before).minus(e.own)
	return chanceOf(e.isolated, e.crashProbability(others)) <= maxErrorProbability
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
