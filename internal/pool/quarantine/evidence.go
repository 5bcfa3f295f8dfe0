package quarantine

import (
	"math"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
)

// exposure is the time that requests have spent at targets, and the number of them that crashes ended.
type exposure struct {
	served time.Duration
	broken int
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
	byChance := min(max(t.crashProbability(e), minCrashProbability), maxCrashProbability)
	needed := int(math.Ceil(math.Log(maxErrorProbability) / math.Log(byChance)))
	return e.isolated >= max(needed, minIsolated)
}

// crashProbability returns the probability that a request meets a crash by chance in the time after which the
// isolated requests of a prefix have crashed their targets. Crashes at which none of these requests ran tell it.
func (t *Tracker) crashProbability(e *evidence) float64 {
	others := t.exposure.broken - e.before.broken - e.own.broken
	served := (t.exposure.served - e.before.served - e.own.served).Seconds()
	if served <= 0 {
		return 0
	}
	meanTime := e.own.served.Seconds() / float64(e.isolated)
	return 1 - math.Exp(-float64(others)/served*meanTime)
}
