// Package quarantine finds prompt prefixes that crash the targets that answer them, and decides which
// requests with such a prefix may still be granted. It does no I/O: the caller passes in events and the
// current time.
//
// A prefix is observed once a target has crashed while it ran a request with it. After crashes at different
// times it is suspect: its requests run one at a time, until one of them is answered completely, which clears
// the prefix, or enough of them have crashed their targets, too. Then it is held, and its requests are
// refused.
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
	// isolatedGap is the time between two requests of a suspect prefix, so that targets can return.
	isolatedGap = 150 * time.Millisecond

	// observedRetention is how long a prefix is remembered after its last crash if it was never held or
	// cleared, heldRetention how long a held one after the last request with it, and a cleared one.
	observedRetention = time.Minute
	heldRetention     = time.Hour
	// announceInterval is the time between two notices that a held prefix is still requested.
	announceInterval = 10 * time.Minute
	// maxPrefixes limits the prefixes that are remembered.
	maxPrefixes = 4096
)

// checkDelays are the times after which one request of a held prefix is granted to find out whether it
// still crashes its target. After the last one, only an operator releases the prefix.
var checkDelays = []time.Duration{time.Minute, 10 * time.Minute}

// evidence is what is known about one prefix.
type evidence struct {
	state   wire.PrefixState
	version int
	crashes int
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
	// arrived is the number of requests with the prefix, and arrivedBefore that of all requests of the pool
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

// The ends of requests. Only a completed answer proves that no prefix of the request crashes targets.
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
	ID        wire.RequestID
	Prefixes  []wire.PrefixHash
	Target    object.TargetName
	GrantedAt time.Time
	End       End
	// Begun is set if a part of the answer had arrived.
	Begun bool
	// LeftAtTarget is the number of requests that are still granted to the target.
	LeftAtTarget int
	// duration is the time from the grant to the end.
	duration time.Duration
	// isolatedFor are the prefixes for which the request ran as the only one.
	isolatedFor []wire.PrefixHash
}

// Tracker holds the evidence of one pool. It is not safe for concurrent use.
type Tracker struct {
	pool     object.PoolName
	prefixes map[wire.PrefixHash]*evidence
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
		pool: pool, prefixes: map[wire.PrefixHash]*evidence{}, breaks: map[object.TargetName]*breakage{},
		isolatedAt: map[object.TargetName]wire.RequestID{},
	}
}

// candidates returns the prefixes of a request that it may share with others. The last one belongs to the
// request itself.
func candidates(prefixes []wire.PrefixHash) []wire.PrefixHash {
	if len(prefixes) == 0 {
		return nil
	}
	return prefixes[:len(prefixes)-1]
}

// Arrived counts a new request. A prefix that many requests have cannot be told from the cause of a crash.
func (t *Tracker) Arrived(prefixes []wire.PrefixHash) {
	t.arrived++
	if len(t.prefixes) == 0 {
		return
	}
	for _, prefix := range candidates(prefixes) {
		if e := t.prefixes[prefix]; e != nil {
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

// IsHeld reports whether a request must be refused because of one of its prefixes.
func (t *Tracker) IsHeld(now time.Time, prefixes []wire.PrefixHash) bool {
	if len(t.prefixes) == 0 {
		return false
	}
	for _, prefix := range candidates(prefixes) {
		e := t.prefixes[prefix]
		if e == nil || e.state != wire.PrefixHeld || t.releaseCommon(now, prefix, e) {
			continue
		}
		if !e.checkDue(now) {
			t.keepHeld(now, prefix, e)
			return true
		}
	}
	return false
}

// releaseCommon clears a prefix that was held before its share of all requests was known, if that share is too large. It
// reports whether it did. Requests with a held prefix do not run, so nothing else would clear it.
func (t *Tracker) releaseCommon(now time.Time, prefix wire.PrefixHash, e *evidence) bool {
	if !e.shareUnknown || !t.isShareKnown(e) {
		return false
	}
	e.shareUnknown = false
	if !t.isCommon(e) {
		return false
	}
	t.clear(now, prefix)
	return true
}

func (e *evidence) checkDue(now time.Time) bool {
	return !e.nextCheckAt.IsZero() && !now.Before(e.nextCheckAt)
}

// keepHeld extends the time for which the hosts remember a held prefix that is still requested.
func (t *Tracker) keepHeld(now time.Time, prefix wire.PrefixHash, e *evidence) {
	if now.Sub(e.updatedAt) >= announceInterval {
		t.announce(now, prefix, e)
	}
}

// IsSuspect reports whether a request has a suspect or held prefix.
func (t *Tracker) IsSuspect(prefixes []wire.PrefixHash) bool {
	if len(t.prefixes) == 0 {
		return false
	}
	return slices.ContainsFunc(candidates(prefixes), func(p wire.PrefixHash) bool {
		e := t.prefixes[p]
		return e != nil && e.isolates()
	})
}

// isolates reports whether requests with the prefix run one at a time.
func (e *evidence) isolates() bool {
	return e.state == wire.PrefixSuspect || e.state == wire.PrefixHeld
}

// MayGrant reports whether a request may be granted now. Requests with a suspect prefix run one at a time.
func (t *Tracker) MayGrant(now time.Time, prefixes []wire.PrefixHash) bool {
	if len(t.prefixes) == 0 {
		return true
	}
	isolating := 0
	mayBeAmbiguous := true
	for _, prefix := range candidates(prefixes) {
		e := t.prefixes[prefix]
		if e == nil || !e.isolates() {
			continue
		}
		if e.running != "" || now.Before(e.nextAt) || e.state == wire.PrefixHeld && !e.checkDue(now) {
			return false
		}
		isolating++
		mayBeAmbiguous = mayBeAmbiguous && now.Sub(e.suspectAt) >= ambiguousDelay
	}
	return isolating <= 1 || mayBeAmbiguous
}

// Granted records that a request is granted. It reports whether it has a suspect or held prefix.
func (t *Tracker) Granted(now time.Time, id wire.RequestID, prefixes []wire.PrefixHash, target object.TargetName) bool {
	if len(t.prefixes) == 0 {
		return false
	}
	watched := false
	for _, prefix := range candidates(prefixes) {
		e := t.prefixes[prefix]
		if e == nil || !e.isolates() {
			continue
		}
		watched = true
		e.running = id
		t.isolatedAt[target] = id
		e.nextAt = now.Add(isolatedGap)
		if e.state == wire.PrefixHeld {
			e.checks++
			e.scheduleCheck(now)
			t.announce(now, prefix, e)
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
	for _, prefix := range candidates(a.Prefixes) {
		e := t.prefixes[prefix]
		if e != nil && (!e.isolates() || e.running == a.ID || !a.GrantedAt.Before(e.suspectAt)) {
			t.clear(now, prefix)
		}
	}
}

// Withdrawn records that a granted request has ended in an unknown way.
func (t *Tracker) Withdrawn(id wire.RequestID, prefixes []wire.PrefixHash) { t.release(id, prefixes) }

// release lets the next request with the same suspect prefix run.
func (t *Tracker) release(id wire.RequestID, prefixes []wire.PrefixHash) {
	maps.DeleteFunc(t.isolatedAt, func(_ object.TargetName, isolated wire.RequestID) bool { return isolated == id })
	if len(t.prefixes) == 0 {
		return
	}
	for _, prefix := range candidates(prefixes) {
		if e := t.prefixes[prefix]; e != nil && e.running == id {
			e.running = ""
		}
	}
}

// clear removes the evidence against a prefix.
func (t *Tracker) clear(now time.Time, prefix wire.PrefixHash) {
	e := t.prefixes[prefix]
	switch {
	case e == nil:
		return
	case e.state == wire.PrefixCleared:
		e.crashes, e.requests = 0, nil
		return
	case !e.isolates():
		delete(t.prefixes, prefix)
		return
	}
	// A prefix that is common stays so: the arrivals are counted on.
	*e = evidence{state: wire.PrefixCleared, version: e.version, arrived: e.arrived, arrivedBefore: e.arrivedBefore}
	t.announce(now, prefix, e)
}

// Expire removes what has not changed for a long time. It is cheap to call often.
func (t *Tracker) Expire(now time.Time) {
	if now.Sub(t.expiredAt) < time.Second {
		return
	}
	t.expiredAt = now
	for prefix, e := range t.prefixes {
		if now.Sub(e.updatedAt) > retentionOf(e.state) {
			delete(t.prefixes, prefix)
		}
	}
	t.expireBreaks(now)
}

// retentionOf returns how long a prefix is remembered after its last change.
func retentionOf(state wire.PrefixState) time.Duration {
	if state == wire.PrefixHeld || state == wire.PrefixCleared {
		return heldRetention // A notice that is older than a release must not hold the prefix again.
	}
	return observedRetention
}
