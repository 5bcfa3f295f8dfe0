// Package notice keeps what targets say of themselves in their answers: that they leave, that
// they want no requests for a while, and that another target has their address. It does no I/O.
package notice

import (
	"maps"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// keepFor is how long a notice is kept. The entry of a target that has left may come back
// around an outage of the store, but not after so long.
const keepFor = 10 * time.Minute

// MaxQuiet bounds the time for which a target is left alone on its own wish.
const MaxQuiet = 10 * time.Minute

// Book holds the newest notices of targets. It is immutable; a nil book holds none.
type Book struct {
	byTarget map[object.TargetName]entry
}

// entry is what one run of a target has said.
type entry struct {
	startedMS int64
	leaving   bool
	// moved says that another target has the address.
	moved      bool
	quietUntil time.Time
	notedAt    time.Time
}

// State is what is known of a target by its notices.
type State struct {
	// Leaving targets finish what they have and take nothing new.
	Leaving bool
	// Moved targets have lost their address to another one.
	Moved bool
	// QuietUntil is the time before which the target wants no requests, zero if it has not said.
	QuietUntil time.Time
}

// Closed reports whether the target takes no new work until it starts again.
func (s State) Closed() bool { return s.Leaving || s.Moved }

// Open reports whether the target takes new work at the given time.
func (s State) Open(now time.Time) bool { return !s.Closed() && !now.Before(s.QuietUntil) }

// With returns a book with one more notice. A notice of an earlier run of the target than the
// one known changes nothing.
func (b *Book) With(now time.Time, n wire.TargetNotice) *Book {
	next := &Book{byTarget: map[object.TargetName]entry{}}
	if b != nil {
		maps.Copy(next.byTarget, b.byTarget)
		maps.DeleteFunc(next.byTarget, func(_ object.TargetName, e entry) bool { return now.Sub(e.notedAt) > keepFor })
	}
	e := next.byTarget[n.Target]
	if e.startedMS > n.StartedMS {
		return b
	}
	if e.startedMS < n.StartedMS {
		e = entry{startedMS: n.StartedMS}
	}
	e.notedAt = now
	e.leaving = e.leaving || n.Leaving
	e.moved = e.moved || n.Moved
	quiet := min(time.Duration(n.QuietMS)*time.Millisecond, MaxQuiet)
	if until := now.Add(quiet); quiet > 0 && until.After(e.quietUntil) {
		e.quietUntil = until
	}
	next.byTarget[n.Target] = e
	return next
}

// State returns what is known of a run of a target.
func (b *Book) State(target object.TargetName, startedMS int64) State {
	if b == nil {
		return State{}
	}
	e, known := b.byTarget[target]
	if !known || e.startedMS != startedMS {
		return State{}
	}
	return State{Leaving: e.leaving, Moved: e.moved, QuietUntil: e.quietUntil}
}

// Notice returns what is known of a run of a target as a message for an arbiter, and false if
// nothing that holds at the given time is.
func (b *Book) Notice(now time.Time, target object.TargetName, startedMS int64) (wire.TargetNotice, bool) {
	state := b.State(target, startedMS)
	if state.Open(now) {
		return wire.TargetNotice{}, false
	}
	return wire.TargetNotice{
		Target: target, StartedMS: startedMS, Leaving: state.Leaving, Moved: state.Moved,
		QuietMS: max(state.QuietUntil.Sub(now).Milliseconds(), 0),
	}, true
}
