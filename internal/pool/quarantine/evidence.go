package quarantine

import (
	"math"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
)

// blame counts a crash against a prefix of a request that had not begun.
func (t *Tracker) blame(now time.Time, prefix wire.PrefixHash, a Attempt) {
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
		e.nextAt = now.Add(isolatedGap)
	}
	switch {
	case isIsolated && t.isProven(now, e):
		e.state, e.shareUnknown = wire.PrefixHeld, !t.isShareKnown(e)
		e.scheduleCheck(now)
		t.announce(now, prefix, e)
	case isIsolated:
		t.announce(now, prefix, e)
	case e.crashes >= suspectCrashes:
		e.state, e.isolated, e.suspectAt = wire.PrefixSuspect, 0, now
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
func (t *Tracker) isProven(now time.Time, e *evidence) bool {
	if len(e.requests)+e.learnedRequests < minRequests {
		return false
	}
	byChance := max(t.crashed.value(now)-suspectCrashes, 0) / max(t.attempts.value(now), 1)
	byChance = min(max(byChance, minCrashRate), maxCrashRate)
	needed := int(math.Ceil(math.Log(maxErrorProbability) / math.Log(byChance)))
	return e.isolated >= min(max(needed, minIsolated), maxIsolated)
}
