// Package notice stores what targets report about themselves in their answers: that they are
// leaving, that they request a pause, that they limit the rate of requests, or that another target
// has their address. It does no I/O.
package notice

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// retention is how long a notice is kept. The entry of a target that has left may reappear
// around an outage of the store, but not after this time.
const retention = 10 * time.Minute

// MaxPause limits the pause that a target can request.
const MaxPause = 10 * time.Minute

// pauseTolerance is the difference between two ends of a pause below which they count as the same. Each
// host computes the end from the time that was left in the message that told it.
const pauseTolerance = 100 * time.Millisecond

// Book contains the current notices of targets. It is immutable. A nil book is empty.
type Book struct {
	// buckets hold the targets by the hash of their names, so that a change copies only a few of them.
	buckets [bucketCount]bucket
}

// entry is the combined content of all notices from one run of a target.
type entry struct {
	pool      object.PoolName
	startedMS int64
	leaving   bool
	// moved is true if another target has the address.
	moved       bool
	pausedUntil time.Time
	rate        rateReport
	updatedAt   time.Time
}

// State is the state of a target according to its notices.
type State struct {
	// Leaving targets finish their running requests and accept no new ones.
	Leaving bool
	// Moved is true if another target now has the address of this target.
	Moved bool
	// PausedUntil is the end of the pause that the target requested, or zero if it requested none.
	PausedUntil time.Time
	// RateLimit is the rate limit that the target named, 0 if it names none.
	RateLimit wire.RequestRate
}

// Change is the effect of one notice.
type Change struct {
	// Before and After are the states of the run of the target.
	Before, After State
	// Recorded is false if the notice added nothing.
	Recorded bool
}

// Closed reports whether the target accepts no new requests until it restarts.
func (s State) Closed() bool { return s.Leaving || s.Moved }

// Open reports whether the target accepts new requests at the given time.
func (s State) Open(now time.Time) bool { return !s.Closed() && !now.Before(s.PausedUntil) }

// With returns a book with the notice added and expired entries of its bucket removed, or the same book
// if the notice adds nothing. It ignores a notice from an earlier run of the target than the stored one.
func (b *Book) With(now time.Time, n wire.TargetNotice) *Book {
	before, found := b.entry(n.Target)
	e := before.with(now, n)
	if found && e == before {
		return b
	}
	e.updatedAt = now
	next := &Book{}
	if b != nil {
		*next = *b
	}
	changed := &next.buckets[bucketOf(n.Target)]
	*changed = changed.with(now, n.Target, e)
	return next
}

// entry returns what is stored about a target.
func (b *Book) entry(target object.TargetName) (entry, bool) {
	if b == nil {
		return entry{}, false
	}
	e, found := b.buckets[bucketOf(target)].byTarget[target]
	return e, found
}

// with returns the entry with a notice added.
func (e entry) with(now time.Time, n wire.TargetNotice) entry {
	if e.startedMS > n.StartedMS {
		return e
	}
	if e.startedMS < n.StartedMS {
		e = entry{startedMS: n.StartedMS}
	}
	if n.Pool != "" {
		e.pool = n.Pool
	}
	e.leaving = e.leaving || n.Leaving
	e.moved = e.moved || n.Moved
	pause := min(time.Duration(n.PauseMS)*time.Millisecond, MaxPause)
	if until := now.Add(pause); pause > 0 && until.Sub(e.pausedUntil) > pauseTolerance {
		e.pausedUntil = until
	}
	if n.Rate != nil {
		e.rate = e.rate.merge(newRateReport(now, *n.Rate))
	}
	return e
}

// State returns the state of one run of a target, or the zero State if there are no notices
// from that run.
func (b *Book) State(target object.TargetName, startedMS int64) State {
	e, found := b.entry(target)
	if !found || e.startedMS != startedMS {
		return State{}
	}
	return State{Leaving: e.leaving, Moved: e.moved, PausedUntil: e.pausedUntil, RateLimit: e.rate.perSecond}
}

// Notice returns what is stored about one run of a target as a message for another host. It returns
// false if there is nothing to report.
func (b *Book) Notice(now time.Time, target object.TargetName, startedMS int64) (wire.TargetNotice, bool) {
	e, found := b.entry(target)
	if !found || e.startedMS != startedMS {
		return wire.TargetNotice{}, false
	}
	return e.notice(now, target)
}

// Notices returns everything that is stored as messages for another host.
func (b *Book) Notices(now time.Time) []wire.TargetNotice { return b.notices(now, nil) }

// NoticesFor returns what a host whose book has the given digests may not know, as messages. Pauses are
// always included, because digests do not depend on them.
func (b *Book) NoticesFor(now time.Time, known Digests) []wire.TargetNotice {
	return b.notices(now, &known)
}

// notices returns the entries of the buckets that differ from the known digests, and all pauses.
func (b *Book) notices(now time.Time, known *Digests) []wire.TargetNotice {
	if b == nil {
		return nil
	}
	var all []wire.TargetNotice
	for i, own := range b.buckets {
		isKnown := known != nil && known[i] == own.digest
		for target, e := range own.byTarget {
			if isKnown && !e.pausedUntil.After(now) || now.Sub(e.updatedAt) > retention {
				continue
			}
			if n, found := e.notice(now, target); found {
				all = append(all, n)
			}
		}
	}
	return all
}

func (e entry) notice(now time.Time, target object.TargetName) (wire.TargetNotice, bool) {
	n := wire.TargetNotice{
		Pool: e.pool, Target: target, StartedMS: e.startedMS, Leaving: e.leaving, Moved: e.moved,
		PauseMS: max(e.pausedUntil.Sub(now).Milliseconds(), 0), Rate: e.rate.notice(now),
	}
	return n, n.Leaving || n.Moved || n.PauseMS > 0 || n.Rate != nil
}
