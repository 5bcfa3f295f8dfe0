package quarantine

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// announce increments the version of a changed cause and queues a notice for all hosts.
func (t *Tracker) announce(now time.Time, cause wire.Cause, e *evidence) {
	e.version++
	e.updatedAt = now
	t.notices = append(t.notices, e.notice(now, t.pool, cause))
}

func (e *evidence) notice(now time.Time, pool object.PoolName, cause wire.Cause) wire.PrefixNotice {
	n := wire.PrefixNotice{
		Pool: pool, Kind: cause.Kind, Prefix: wire.PrefixHash(cause.Hash), Version: e.version, State: e.state, Crashes: e.crashes, Isolated: e.isolated,
		Requests: len(e.requests) + e.learnedRequests, Checks: e.checks, ShareUnknown: e.shareUnknown,
	}
	if !e.nextCheckAt.IsZero() {
		n.NextCheckMS = max(e.nextCheckAt.Sub(now).Milliseconds(), 1)
	}
	return n
}

// TakeNotices returns the notices since the last call.
func (t *Tracker) TakeNotices() []wire.PrefixNotice {
	notices := t.notices
	t.notices = nil
	return notices
}

// TakeCrashes returns the confirmed crashes since the last call.
func (t *Tracker) TakeCrashes() []Crash {
	crashes := t.crashes
	t.crashes = nil
	return crashes
}

// Learn applies a notice of another host, unless a newer one is known.
func (t *Tracker) Learn(now time.Time, n wire.PrefixNotice) {
	e := t.evidenceOf(n.Cause())
	if !newer(n, e.version, e.state) {
		return
	}
	learned := evidence{
		kind: n.Kind, state: n.State, version: n.Version, crashes: n.Crashes, unresolved: e.unresolved, isolated: n.Isolated, learnedRequests: n.Requests,
		lastCrashAt: now, updatedAt: now, running: e.running, nextAt: e.nextAt, checks: n.Checks,
		suspectAt: now, before: t.exposure, arrived: e.arrived, arrivedBefore: e.arrivedBefore, shareUnknown: n.ShareUnknown,
	}
	if n.NextCheckMS > 0 {
		learned.nextCheckAt = now.Add(time.Duration(n.NextCheckMS) * time.Millisecond)
	}
	*e = learned
}

// newer reports whether a notice replaces what is known. Two arbiters that cannot reach each other may give
// the same version to different states; then the held one applies.
func newer(n wire.PrefixNotice, version int, state wire.PrefixState) bool {
	return n.Version > version || n.Version == version && n.State == wire.PrefixHeld && state != wire.PrefixHeld
}

// causeKey identifies a cause in a book.
type causeKey struct {
	pool  object.PoolName
	cause wire.Cause
}

// keyOf returns the key of a cause. A request is the same one in whatever pool it runs.
func keyOf(pool object.PoolName, cause wire.Cause) causeKey {
	if cause.Kind == wire.RequestCause {
		pool = ""
	}
	return causeKey{pool, cause}
}

// record is what a host knows about a cause from a notice.
type record struct {
	notice     wire.PrefixNotice
	recordedAt time.Time
}

// Book holds what a host knows about causes, for its own requests and for the next arbiter. It is
// immutable. A nil book is empty.
type Book struct {
	records map[causeKey]record
}

// With returns a book with a notice added and expired ones removed, or the same book if the notice adds
// nothing.
func (b *Book) With(now time.Time, n wire.PrefixNotice) *Book {
	key := keyOf(n.Pool, n.Cause())
	next := &Book{records: map[causeKey]record{}}
	if b != nil {
		if known, found := b.records[key]; found && !newer(n, known.notice.Version, known.notice.State) {
			return b
		}
		for other, r := range b.records {
			if now.Sub(r.recordedAt) <= retentionOf(r.notice.Kind, r.notice.State) {
				next.records[other] = r
			}
		}
	}
	if len(next.records) >= maxCauses {
		next.evictOne()
	}
	next.records[key] = record{n, now}
	return next
}

// evictOne removes a cause that is not held, or any if all are held.
func (b *Book) evictOne() {
	var evicted causeKey
	for key, r := range b.records {
		evicted = key
		if r.notice.State != wire.PrefixHeld {
			break
		}
	}
	delete(b.records, evicted)
}

// HeldCause returns the cause because of which a request must not be sent, and false if there is none. It is not set while
// a check of the cause may be due, which the arbiter decides.
func (b *Book) HeldCause(now time.Time, pool object.PoolName, causes []wire.Cause) (wire.Cause, bool) {
	if b == nil || len(b.records) == 0 {
		return wire.Cause{}, false
	}
	for _, cause := range causes {
		r, found := b.records[keyOf(pool, cause)]
		if found && r.notice.State == wire.PrefixHeld && now.Sub(r.recordedAt) <= retentionOf(cause.Kind, wire.PrefixHeld) {
			return cause, true
		}
	}
	return wire.Cause{}, false
}

// Notices returns what is known as messages for another host.
func (b *Book) Notices(now time.Time) []wire.PrefixNotice {
	if b == nil {
		return nil
	}
	var all []wire.PrefixNotice
	for _, r := range b.records {
		age := now.Sub(r.recordedAt)
		if age > retentionOf(r.notice.Kind, r.notice.State) {
			continue
		}
		n := r.notice
		if n.NextCheckMS > 0 {
			n.NextCheckMS = max(n.NextCheckMS-age.Milliseconds(), 1)
		}
		all = append(all, n)
	}
	return all
}
