package quarantine

import (
	"time"

	"redwinglock/internal/peer/wire"
)

// freeRequestCrashes is the number of targets that one request may crash before its grants are counted. At most
// len(checkDelays) more follow, those that tell whether it is sound again included.
const freeRequestCrashes = 3

const (
	// minOtherRuns is how many times as long as the run that crashed a target others must have run, to tell how likely a
	// crash is by chance. minUncompared is the number of runs that prove it without others.
	minOtherRuns  = 20
	minUncompared = 2
	// lateGap is the time from a crash until the next run of a request that has crashed freeRequestCrashes targets and is
	// not held yet. Crashes for another reason come in quick succession.
	lateGap = 4 * time.Second
)

// CausesOf returns what a request has in common with others: the prefixes of its prompt that it may share, and itself, as
// its caller may send it again. The last prefix belongs to one request.
func CausesOf(prefixes []wire.PrefixHash, fingerprint wire.Fingerprint) []wire.Cause {
	var causes []wire.Cause
	for _, prefix := range prefixes[:max(len(prefixes)-1, 0)] {
		causes = append(causes, wire.Cause{Kind: wire.PrefixCause, Hash: uint64(prefix)})
	}
	if fingerprint != 0 {
		causes = append(causes, wire.Cause{Kind: wire.RequestCause, Hash: uint64(fingerprint)})
	}
	return causes
}

// requestOf returns the cause that is the request itself.
func requestOf(causes []wire.Cause) (wire.Cause, bool) {
	if n := len(causes); n > 0 && causes[n-1].Kind == wire.RequestCause {
		return causes[n-1], true
	}
	return wire.Cause{}, false
}

// recordBreak counts a run of a request whose connection broke, until it is known whether its target has crashed.
func (t *Tracker) recordBreak(now time.Time, causes []wire.Cause) {
	cause, found := requestOf(causes)
	if !found {
		return
	}
	e := t.evidenceOf(cause)
	e.unresolved++
	e.updatedAt = now
}

// resolveBreak is called once it is known whether the target of a broken run has crashed, or cannot be known any more.
func (t *Tracker) resolveBreak(causes []wire.Cause) {
	cause, _ := requestOf(causes)
	e := t.causes[cause]
	if e == nil {
		return
	}
	e.unresolved = max(e.unresolved-1, 0)
	if e.unresolved == 0 && e.crashes == 0 && e.state == "" {
		delete(t.causes, cause)
	}
}

// blameRequest counts a crash against a request that runs again and again. It is held once a run of its own, one at a
// time, has crashed a target so that chance does not explain it, or once it has had all the grants that it may have.
func (t *Tracker) blameRequest(now time.Time, cause wire.Cause, e *evidence, a Attempt, broken int) {
	e.crashes++
	e.lastCrashAt, e.updatedAt = now, now
	if e.state == wire.PrefixHeld {
		return
	}
	if a.isIsolatedFor(cause) {
		e.recordIsolated(now, a, broken)
	} else {
		e.own.broken += broken
	}
	if e.crashes >= freeRequestCrashes {
		e.nextAt = a.GrantedAt.Add(a.duration + lateGap) // From the crash, which may be confirmed late.
	}
	switch {
	case e.crashes >= freeRequestCrashes && (e.isExhausted() || t.isProvenRequest(e)):
		t.hold(now, cause, e)
	case e.crashes >= suspectCrashes:
		if e.state != wire.PrefixSuspect {
			e.state, e.suspectAt = wire.PrefixSuspect, now
		}
		t.announce(now, cause, e)
	}
}

// isProvenRequest reports whether chance does not explain the crashes by runs of a request, one at a time.
func (t *Tracker) isProvenRequest(e *evidence) bool {
	if e.isolated == 0 || !t.isUnlikely(e) {
		return false
	}
	others := t.exposure.minus(e.before).minus(e.own)
	meanTime := e.own.served / time.Duration(e.isolated)
	return e.isolated >= minUncompared || others.served >= minOtherRuns*meanTime
}

// Unsent records that a granted request has not reached its target. A request that crashes targets gets the grant back.
func (t *Tracker) Unsent(now time.Time, id wire.RequestID, causes []wire.Cause) {
	if cause, found := requestOf(causes); found {
		if e := t.causes[cause]; e != nil && e.running == id && e.countsGrants() && e.checks > 0 {
			e.checks--
			e.nextCheckAt = now
			t.announce(now, cause, e)
		}
	}
	t.release(id, causes)
}

// isExhausted reports whether a request that crashes targets has had all the grants that it may have.
func (e *evidence) isExhausted() bool {
	return e.kind == wire.RequestCause && e.checks >= len(checkDelays)
}

// awaitsSigns reports whether so many runs of a request broke that the next one waits until it is known whether their
// targets have crashed.
func (e *evidence) awaitsSigns() bool {
	return e.unresolved > 0 && e.crashes+e.unresolved >= freeRequestCrashes
}

// countsGrants reports whether a grant is one of the last that requests with the cause may have.
func (e *evidence) countsGrants() bool {
	return e.state == wire.PrefixHeld || e.kind == wire.RequestCause && e.crashes >= freeRequestCrashes
}
