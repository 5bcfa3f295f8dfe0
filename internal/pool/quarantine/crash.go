package quarantine

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// confirmWithin is the time after a broken connection within which a sign that its target has ended
	// confirms a crash.
	confirmWithin = 3 * time.Second
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
	// Blamed is the number of prefixes against which the crash may count.
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
	t.release(a.ID, a.Prefixes)
	b := t.breaks[a.Target]
	if a.End != Broken {
		if b != nil && !b.isConfirmed && a.End != Unknown && now.Sub(b.at) >= refuteAfter {
			t.refute(now, a.Target)
		}
		return
	}
	if b == nil || now.Sub(b.at) > confirmWithin || b.isConfirmed && !a.GrantedAt.Before(b.at) {
		b = &breakage{at: now}
		t.breaks[a.Target] = b
	}
	b.broken = append(b.broken, a)
	if b.isConfirmed {
		t.count(now, b, a) // Of a crash that was confirmed by another sign before all of its requests had ended.
		return
	}
	t.delayNext(now.Add(unconfirmedGap), a.Prefixes)
	if a.LeftAtTarget == 0 && len(b.broken) >= minBroken {
		t.confirm(now, a.Target)
	}
}

// isolatedFor returns the prefixes for which a request is the only one that runs.
func (t *Tracker) isolatedFor(a Attempt) []wire.PrefixHash {
	var isolated []wire.PrefixHash
	for _, prefix := range candidates(a.Prefixes) {
		if e := t.prefixes[prefix]; e != nil && e.running == a.ID {
			isolated = append(isolated, prefix)
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
	blamed := 0
	for _, prefix := range candidates(a.Prefixes) {
		isIsolated := slices.Contains(a.isolatedFor, prefix)
		if isIsolated && b.hasCounted(prefix, a.ID) || b.isExplained && !isIsolated {
			continue
		}
		blamed++
		t.blame(now, prefix, a, len(b.broken))
	}
	return blamed
}

// hasCounted reports whether an earlier isolated request of the group has the prefix.
func (b *breakage) hasCounted(prefix wire.PrefixHash, id wire.RequestID) bool {
	for _, a := range b.broken {
		if a.ID == id {
			return false
		}
		if slices.Contains(a.isolatedFor, prefix) {
			return true
		}
	}
	return false
}

// refute drops the broken connections to a target that still runs.
func (t *Tracker) refute(now time.Time, target object.TargetName) {
	b := t.breaks[target]
	delete(t.breaks, target)
	for _, a := range b.broken {
		t.delayNext(now, a.Prefixes)
	}
}

// delayNext sets the time from which the next request with a suspect prefix may run.
func (t *Tracker) delayNext(until time.Time, prefixes []wire.PrefixHash) {
	for _, prefix := range candidates(prefixes) {
		if e := t.prefixes[prefix]; e != nil {
			e.nextAt = until
		}
	}
}

func (t *Tracker) expireBreaks(now time.Time) {
	for target, b := range t.breaks {
		if now.Sub(b.at) <= confirmWithin {
			continue
		}
		delete(t.breaks, target)
		if !b.isConfirmed {
			t.crashes = append(t.crashes, Crash{Target: target, Unexplained: true, Broken: len(b.broken)})
		}
	}
}
