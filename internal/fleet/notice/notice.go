// Package notice stores what targets report about themselves in their answers: that they are
// leaving, that they request a pause, or that another target has their address. It does no I/O.
package notice

import (
	"maps"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// retention is how long a notice is kept. The entry of a target that has left may reappear
// around an outage of the store, but not after this time.
const retention = 10 * time.Minute

// MaxPause limits the pause that a target can request.
const MaxPause = 10 * time.Minute

// Book contains the current notices of targets. It is immutable. A nil book is empty.
type Book struct {
	byTarget map[object.TargetName]entry
}

// entry is the combined content of all notices from one run of a target.
type entry struct {
	startedMS int64
	leaving   bool
	// moved is true if another target has the address.
	moved       bool
	pausedUntil time.Time
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
}

// Closed reports whether the target accepts no new requests until it restarts.
func (s State) Closed() bool { return s.Leaving || s.Moved }

// Open reports whether the target accepts new requests at the given time.
func (s State) Open(now time.Time) bool { return !s.Closed() && !now.Before(s.PausedUntil) }

// With returns a book with the notice added and expired entries removed. It ignores a notice
// from an earlier run of the target than the stored one.
func (b *Book) With(now time.Time, n wire.TargetNotice) *Book {
	next := &Book{byTarget: map[object.TargetName]entry{}}
	if b != nil {
		maps.Copy(next.byTarget, b.byTarget)
		maps.DeleteFunc(next.byTarget, func(_ object.TargetName, e entry) bool { return now.Sub(e.updatedAt) > retention })
	}
	e := next.byTarget[n.Target]
	if e.startedMS > n.StartedMS {
		return b
	}
	if e.startedMS < n.StartedMS {
		e = entry{startedMS: n.StartedMS}
	}
	e.updatedAt = now
	e.leaving = e.leaving || n.Leaving
	e.moved = e.moved || n.Moved
	pause := min(time.Duration(n.PauseMS)*time.Millisecond, MaxPause)
	if until := now.Add(pause); pause > 0 && until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	next.byTarget[n.Target] = e
	return next
}

// State returns the state of one run of a target, or the zero State if there are no notices
// from that run.
func (b *Book) State(target object.TargetName, startedMS int64) State {
	if b == nil {
		return State{}
	}
	e, found := b.byTarget[target]
	if !found || e.startedMS != startedMS {
		return State{}
	}
	return State{Leaving: e.leaving, Moved: e.moved, PausedUntil: e.pausedUntil}
}

// Notice returns the state of one run of a target as a message for an arbiter. It returns false
// if the target accepts new requests at the given time.
func (b *Book) Notice(now time.Time, target object.TargetName, startedMS int64) (wire.TargetNotice, bool) {
	state := b.State(target, startedMS)
	if state.Open(now) {
		return wire.TargetNotice{}, false
	}
	return wire.TargetNotice{
		Target: target, StartedMS: startedMS, Leaving: state.Leaving, Moved: state.Moved,
		PauseMS: max(state.PausedUntil.Sub(now).Milliseconds(), 0),
	}, true
}
