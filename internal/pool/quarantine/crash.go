package quarantine

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// confirmWithin is the time after a broken connection within which a sign that its target has ended
	// confirms a crash. The entry of a target that has crashed lapses only after some heartbeats.
	confirmWithin = 10 * time.Second
	// groupWithin is the time within which several broken connections, without another sign, are one crash.
	groupWithin = 3 * time.Second
	// refuteAfter is the time after a broken connection from which an answer of the target proves that it
	// still runs. Answers from before a crash may be reported later than the crash.
	refuteAfter = 100 * time.Millisecond
	// unconfirmedGap is the time for which no other request of a suspect prefix runs while it is not known
	// whether the last one has crashed its target.
	unconfirmedGap = 500 * time.Millisecond
	// minBroken is the number of broken connections that confirm a crash if no request is left at the
	// target. One alone may be a lost answer.
	minBroken = 2
)

// Crash is a confirmed crash of a target, or a group of broken connections that no crash has explained in time.
type Crash struct {
	Target object.TargetName
	// Unexplained is set if nothing has shown that the target ended, or that it still runs.
	Unexplained bool
	// Broken is the number of requests whose connections the crash broke, Begun the number of them whose answers had
	// begun.
	Broken, Begun int
	// Blamed is the number of causes against which the crash may count.
	Blamed int
}

// breakage is a group of broken connections to one target.
type breakage struct {
	at time.Time
	// broken are the requests on the connections. That an answer had begun does not excuse its request: a target may
	// crash at any event.
	broken []Attempt
	// isConfirmed is set once the group is known to be a crash, isExplained if a request that ran as the only one with a
	// suspect prefix was among it. Those beside it are not blamed then.
	isConfirmed, isExplained bool
}

// Ended records the end of a request at its target.
func (t *Tracker) Ended(now time.Time, a Attempt) {
	a.duration = now.Sub(a.GrantedAt)
	t.exposure.served += a.duration
	a.isolatedFor = t.isolatedFor(a)
	if a.End == Completed {
		t.completed(now, a)
	}
	t.release(a.ID, a.Causes)
	b := t.breaks[a.Target]
	if a.End == Broken {
		t.recordBreak(now, a.Causes)
	}
	if a.End != Broken {
		if b != nil && !b.isConfirmed && a.End != Unknown && now.Sub(b.at) >= refuteAfter {
			t.refute(now, a.Target)
		}
		return
	}
	if b == nil || now.Sub(b.at) > confirmWithin || b.isConfirmed && !a.GrantedAt.Before(b.at) {
		t.dropBreaks(a.Target)
		b = &breakage{at: now}
		t.breaks[a.Target] = b
	}
	b.broken = append(b.broken, a)
	if b.isConfirmed {
		t.count(now, b, a) // Of a crash that was confirmed by another sign before all of its requests had ended.
		return
	}
	t.delayNext(now.Add(unconfirmedGap), a.Causes)
	if a.LeftAtTarget == 0 && len(b.broken) >= minBroken && now.Sub(b.at) <= groupWithin {
		t.confirm(now, a.Target)
	}
}

// isolatedFor returns the causes for which a request is the only one that runs.
func (t *Tracker) isolatedFor(a Attempt) []wire.Cause {
	var isolated []wire.Cause
	for _, cause := range a.Causes {
		if e := t.causes[cause]; e != nil && e.running == a.ID {
			isolated = append(isolated, cause)
		}
	}
	return isolated
}

// TargetEnded records a sign that a target has ended: it cannot be reached, has restarted or is gone.
func (t *Tracker) TargetEnded(now time.Time, target object.TargetName) {
	if b := t.breaks[target]; b != nil && !b.isConfirmed && now.Sub(b.at) <= confirmWithin {
		t.confirm(now, target)
	}
}

// confirm counts a crash of a target against the prefixes of the requests that it broke.
func (t *Tracker) confirm(now time.Time, target object.TargetName) {
	b := t.breaks[target]
	b.isConfirmed = true
	_, isExplained := t.isolatedAt[target] // Its own end is not reported yet.
	b.isExplained = isExplained || slices.ContainsFunc(b.broken, func(a Attempt) bool { return len(a.isolatedFor) > 0 })
	c := Crash{Target: target, Broken: len(b.broken)}
	for _, a := range b.broken {
		if a.Begun {
			c.Begun++
		}
		c.Blamed += t.count(now, b, a)
	}
	t.crashes = append(t.crashes, c)
}

// count counts a crash against the prefixes of one request that it broke, and returns against how many. A crash counts
// once against a prefix that is suspect: of two isolated requests, the later one was sent to a target that was already
// gone.
func (t *Tracker) count(now time.Time, b *breakage, a Attempt) int {
	t.exposure.broken++
	t.resolveBreak(a.Causes)
	blamed := 0
	for _, cause := range a.Causes {
		if b.isExplained && !a.isIsolatedFor(cause) || b.hasCounted(cause, a) {
			continue
		}
		blamed++
		t.blame(now, cause, a, len(b.broken))
	}
	return blamed
}

// hasCounted reports whether the crash counts against a cause already, by an earlier request of the group: the same one, or
// an isolated one like it.
func (b *breakage) hasCounted(cause wire.Cause, a Attempt) bool {
	for _, earlier := range b.broken {
		if earlier.ID == a.ID {
			return false
		}
		isSame := cause.Kind == wire.RequestCause && slices.Contains(earlier.Causes, cause)
		if isSame || a.isIsolatedFor(cause) && earlier.isIsolatedFor(cause) {
			return true
		}
	}
	return false
}

// isIsolatedFor reports whether the request ran as the only one with a cause.
func (a Attempt) isIsolatedFor(cause wire.Cause) bool { return slices.Contains(a.isolatedFor, cause) }

// refute drops the broken connections to a target that still runs.
func (t *Tracker) refute(now time.Time, target object.TargetName) {
	b := t.breaks[target]
	t.dropBreaks(target)
	for _, a := range b.broken {
		t.delayNext(now, a.Causes)
	}
}

// dropBreaks forgets the broken connections to a target.
func (t *Tracker) dropBreaks(target object.TargetName) {
	b := t.breaks[target]
	delete(t.breaks, target)
	if b == nil || b.isConfirmed {
		return
	}
	for _, a := range b.broken {
		t.resolveBreak(a.Causes)
	}
}

// delayNext sets the time from which the next request with a suspect prefix may run.
func (t *Tracker) delayNext(until time.Time, causes []wire.Cause) {
	for _, cause := range causes {
		if e := t.causes[cause]; e != nil {
			e.nextAt = until
		}
	}
}

func (t *Tracker) expireBreaks(now time.Time) {
	for target, b := range t.breaks {
		if now.Sub(b.at) <= confirmWithin {
			continue
		}
		t.dropBreaks(target)
		if !b.isConfirmed {
			t.crashes = append(t.crashes, Crash{Target: target, Unexplained: true, Broken: len(b.broken)})
		}
	}
}
