// Package quarantine finds what crashes the targets that answer requests, and decides which requests with such a cause may
// still be granted. A cause is a prefix of prompts, or one request that its caller sends again and again. The package does
// no I/O: the caller passes in events and the current time.
//
// A cause is observed once a target has crashed while it ran a request with it. After more crashes it is suspect: its
// requests run one at a time, until one of them is answered completely, which clears the cause, or enough of them have
// crashed their targets, too. Then it is held, and its requests are refused.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// suspectCrashes is the number of crashes after which a prefix is suspect.
	suspectCrashes = 2
	// minCrashGap is the time within which crashes count once for a prefix that is not suspect yet: many
	// targets may go down at the same moment for another reason.
	minCrashGap = 250 * time.Millisecond
	// minRequests is the number of different requests that must have crashed targets before their
	// prefix is held.
	minRequests = 3
	// maxShare is the largest share of all requests that may have a prefix that is suspect. It is known after
	// minArrived requests.
	maxShare   = 0.3
	minArrived = 20
	// minIsolated is the least number of requests of a suspect prefix that must crash their targets, one after
	// another, before the prefix is held.
	minIsolated = 3
	// maxErrorProbability is the accepted probability that so many requests meet crashes so soon by chance.
	maxErrorProbability = 1e-3
	// ambiguousDelay is the time for which requests with several suspect prefixes wait, so that requests with
	// one of them tell first which one crashes targets.
	ambiguousDelay = 700 * time.Millisecond
	// isolatedGap is the time between two requests of a suspect cause, so that targets can return.
	isolatedGap = 150 * time.Millisecond

	// observedRetention is how long a prefix is remembered after its last crash if it was never held or
	// cleared, heldRetention how long a held one after the last request with it, and a cleared one.
	observedRetention = time.Minute
	heldRetention     = time.Hour
	// requestRetention is how long a request is remembered after it has crashed a target or was last refused.
	requestRetention = 24 * time.Hour
	// announceInterval is the time between two notices that a held prefix is still requested.
	announceInterval = 10 * time.Minute
	// maxCauses limits the causes that are remembered.
	maxCauses = 4096
)

// checkDelays are the times after which one request of a held prefix is granted to find out whether it
// still crashes its target. After the last one, only an operator releases the prefix.
var checkDelays = []time.Duration{time.Minute, 10 * time.Minute}

// evidence is what is known about one cause.
type evidence struct {
	kind    wire.CauseKind
	state   wire.PrefixState
	version int
	crashes int
	// unresolved is the number of broken runs of which it is not known yet whether their targets crashed. It is counted
	// for requests only.
	unresolved int
	// lastCrashAt is when the last crash was counted.
	lastCrashAt time.Time
	// requests are the last prefixes of different requests that crashed targets. A last prefix belongs to
	// one request. learnedRequests is their number at another host.
	requests        []wire.PrefixHash
	learnedRequests int
	// isolated is the number of crashes by requests that ran as the only ones with the prefix.
	isolated int
	// own is what these requests, and those beside them, have met at this arbiter. before is what all requests had met
	// when the prefix became suspect.
	own, before exposure
	// suspectAt is when the prefix became suspect.
	suspectAt time.Time
	// arrived is the number of requests with the cause, and arrivedBefore that of all requests of the pool
	// before the first crash.
	arrived, arrivedBefore int
	// running is the only granted request with the prefix if it is suspect or held, empty if there is none.
	// nextAt is the earliest time of the next one.
	running wire.RequestID
	nextAt  time.Time
	// shareUnknown is set if the prefix was held before its share of all requests was known.
	shareUnknown bool
	// checks is the number of checks since the prefix is held, nextCheckAt the time of the next one, zero if
	// there are no more.
	checks      int
	nextCheckAt time.Time
	// updatedAt is the time of the last crash or change.
	updatedAt time.Time
}

// End is how a request has ended at its target.
type End int

// The ends of requests. Only a completed answer proves that no cause of the request crashes targets.
const (
	// Unknown means that the host or the caller ended the request.
	Unknown End = iota
	// Failed means that the target answered with an error.
	Failed
	Completed
	// Broken means that the connection ended before the answer did.
	Broken
)

// Attempt is a granted request that has ended at its target.
type Attempt struct {
	ID     wire.RequestID
	Causes []wire.Cause
	// Prompt is the last prefix of the prompt, which belongs to one request, 0 if there is none.
	Prompt    wire.PrefixHash
	Target    object.TargetName
	GrantedAt time.Time
	End       End
	// Begun is set if a part of the answer had arrived.
	Begun bool
	// LeftAtTarget is the number of requests that are still granted to the target.
	LeftAtTarget int
	// duration is the time from the grant to the end.
	duration time.Duration
	// isolatedFor are the causes for which the request ran as the only one.
	isolatedFor []wire.Cause
}

// Tracker holds the evidence of one pool. It is not safe for concurrent use.
type Tracker struct {
	pool   object.PoolName
	causes map[wire.Cause]*evidence
	// breaks holds the broken connections to each target until it is known whether the target crashed.
	breaks map[object.TargetName]*breakage
	// isolatedAt holds the running request with a suspect prefix at each target that has one.
	isolatedAt map[object.TargetName]wire.RequestID
	// exposure is what all requests have met at targets.
	exposure exposure
	// arrived is the number of requests of the pool.
	arrived   int
	notices   []wire.PrefixNotice
	crashes   []Crash
	expiredAt time.Time
}

// New creates a tracker without evidence.
func New(pool object.PoolName) *Tracker {
	return &Tracker{
		pool: pool, causes: map[wire.Cause]*evidence{}, breaks: map[object.TargetName]*breakage{},
		isolatedAt: map[object.TargetName]wire.RequestID{},
	}
}

// Arrived counts a new request. A prefix that many requests have cannot be told from the cause of a crash.
func (t *Tracker) Arrived(causes []wire.Cause) {
	t.arrived++
	if len(t.causes) == 0 {
		return
	}
	for _, cause := range causes {
		if e := t.causes[cause]; e != nil {
			e.arrived++
		}
	}
}

// isCommon reports whether too many of the requests since the first crash have the prefix.
func (t *Tracker) isCommon(e *evidence) bool {
	return t.isShareKnown(e) && float64(e.arrived) > maxShare*float64(t.arrivedSince(e))
}

// isShareKnown reports whether enough requests have arrived since the first crash to tell how many of them have the
// prefix.
func (t *Tracker) isShareKnown(e *evidence) bool { return t.arrivedSince(e) >= minArrived }

// arrivedSince returns the number of requests since the first crash of a prefix.
func (t *Tracker) arrivedSince(e *evidence) int { return t.arrived - e.arrivedBefore }

// IsHeld reports whether a request must be refused because of one of its causes.
func (t *Tracker) IsHeld(now time.Time, causes []wire.Cause) bool {
	_, isHeld := t.HeldCause(now, causes)
	return isHeld
}

// HeldCause returns the cause because of which a request must be refused, and false if there is none.
func (t *Tracker) HeldCause(now time.Time, causes []wire.Cause) (wire.Cause, bool) {
	if len(t.causes) == 0 {
		return wire.Cause{}, false
	}
	for _, cause := range causes {
		e := t.causes[cause]
		if e == nil || !e.isHeld() || t.releaseCommon(now, cause, e) {
			continue
		}
		if !e.checkDue(now) {
			t.keepHeld(now, cause, e)
			return cause, true
		}
	}
	return wire.Cause{}, false
}

// isHeld reports whether requests with the cause are refused, but for the checks.
func (e *evidence) isHeld() bool {
	return e.state == wire.PrefixHeld || e.isExhausted() && e.running == "" && e.unresolved == 0
}

// releaseCommon clears a prefix that was held before its share of all requests was known, if that share is too large. It
// reports whether it did. Requests with a held prefix do not run, so nothing else would clear it.
func (t *Tracker) releaseCommon(now time.Time, cause wire.Cause, e *evidence) bool {
	if !e.shareUnknown || !t.isShareKnown(e) {
		return false
	}
	e.shareUnknown = false
	if !t.isCommon(e) {
		return false
	}
	t.clear(now, cause)
	return true
}

func (e *evidence) checkDue(now time.Time) bool {
	return !e.nextCheckAt.IsZero() && !now.Before(e.nextCheckAt)
}

// keepHeld extends the time for which the hosts remember a held prefix that is still requested.
func (t *Tracker) keepHeld(now time.Time, cause wire.Cause, e *evidence) {
	if now.Sub(e.updatedAt) >= announceInterval {
		t.announce(now, cause, e)
	}
}

// IsSuspect reports whether a request has a suspect or held prefix.
func (t *Tracker) IsSuspect(causes []wire.Cause) bool {
	if len(t.causes) == 0 {
		return false
	}
	return slices.ContainsFunc(causes, func(cause wire.Cause) bool {
		e := t.causes[cause]
		return e != nil && e.isolates()
	})
}

// isolates reports whether requests with the cause run one at a time. A request does from its second broken run on.
func (e *evidence) isolates() bool {
	if e.kind == wire.RequestCause && e.crashes+e.unresolved >= suspectCrashes {
		return true
	}
	return e.state == wire.PrefixSuspect || e.state == wire.PrefixHeld
}

// mayRun reports whether a request with a cause that isolates may run now.
func (e *evidence) mayRun(now time.Time) bool {
	switch {
	case e.running != "" || now.Before(e.nextAt):
		return false
	case e.state == wire.PrefixHeld:
		return e.checkDue(now)
	}
	return !e.isExhausted() && !e.awaitsSigns()
}

// MayGrant reports whether a request may be granted now. Requests with a suspect prefix run one at a time.
func (t *Tracker) MayGrant(now time.Time, causes []wire.Cause) bool {
	if len(t.causes) == 0 {
		return true
	}
	isolating := 0
	mayBeAmbiguous := true
	for _, cause := range causes {
		e := t.causes[cause]
		if e == nil || !e.isolates() {
			continue
		}
		if !e.mayRun(now) {
			return false
		}
		isolating++
		mayBeAmbiguous = mayBeAmbiguous && now.Sub(e.suspectAt) >= ambiguousDelay
	}
	return isolating <= 1 || mayBeAmbiguous
}

// Granted records that a request is granted. It reports whether it has a suspect or held prefix.
func (t *Tracker) Granted(now time.Time, id wire.RequestID, causes []wire.Cause, target object.TargetName) bool {
	if len(t.causes) == 0 {
		return false
	}
	watched := false
	for _, cause := range causes {
		e := t.causes[cause]
		if e == nil || !e.isolates() {
			continue
		}
		watched = true
		e.running = id
		t.isolatedAt[target] = id
		e.nextAt = now.Add(isolatedGap)
		if e.countsGrants() {
			e.checks++
			e.scheduleCheck(now)
			t.announce(now, cause, e)
		}
	}
	return watched
}

// scheduleCheck sets the time of the next check, if there is one more.
func (e *evidence) scheduleCheck(now time.Time) {
	e.nextCheckAt = time.Time{}
	if e.checks < len(checkDelays) {
		e.nextCheckAt = now.Add(checkDelays[e.checks])
	}
}

// completed clears the prefixes of a request that was answered completely: none of them crashes targets. A
// request that was granted before a prefix became suspect is no proof for it: it may have begun long ago.
func (t *Tracker) completed(now time.Time, a Attempt) {
	for _, cause := range a.Causes {
		e := t.causes[cause]
		if e != nil && (!e.isolates() || e.running == a.ID || !a.GrantedAt.Before(e.suspectAt)) {
			t.clear(now, cause)
		}
	}
}

// Withdrawn records that a granted request has ended in an unknown way.
func (t *Tracker) Withdrawn(id wire.RequestID, causes []wire.Cause) { t.release(id, causes) }

// release lets the next request with the same suspect prefix run.
func (t *Tracker) release(id wire.RequestID, causes []wire.Cause) {
	maps.DeleteFunc(t.isolatedAt, func(_ object.TargetName, isolated wire.RequestID) bool { return isolated == id })
	if len(t.causes) == 0 {
		return
	}
	for _, cause := range causes {
		if e := t.causes[cause]; e != nil && e.running == id {
			e.running = ""
		}
	}
}

// clear removes the evidence against a prefix.
func (t *Tracker) clear(now time.Time, cause wire.Cause) {
	e := t.causes[cause]
	switch {
	case e == nil:
		return
	case e.state == wire.PrefixCleared:
		e.crashes, e.requests = 0, nil
		return
	case e.state == "":
		delete(t.causes, cause)
		return
	}
	// A prefix that is common stays so: the arrivals are counted on.
	*e = evidence{kind: e.kind, state: wire.PrefixCleared, version: e.version, arrived: e.arrived, arrivedBefore: e.arrivedBefore, before: t.exposure}
	t.announce(now, cause, e)
}

// Expire removes what has not changed for a long time. It is cheap to call often.
func (t *Tracker) Expire(now time.Time) {
	if now.Sub(t.expiredAt) < time.Second {
		return
	}
	t.expiredAt = now
	for cause, e := range t.causes {
		if now.Sub(e.updatedAt) > retentionOf(cause.Kind, e.state) {
			delete(t.causes, cause)
		}
	}
	t.expireBreaks(now)
}

// retentionOf returns how long a cause is remembered after its last change.
func retentionOf(kind wire.CauseKind, state wire.PrefixState) time.Duration {
	switch {
	case state == wire.PrefixCleared:
		return heldRetention // A notice that is older than a release must not hold the cause again.
	case kind == wire.RequestCause:
		return requestRetention
	case state == wire.PrefixHeld:
		return heldRetention
	}
	return observedRetention
}
