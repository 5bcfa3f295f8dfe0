package quarantine

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// announce increments the version of a changed prefix and queues a notice for all hosts.
func (t *Tracker) announce(now time.Time, prefix wire.PrefixHash, e *evidence) {
	e.version++
	e.updatedAt = now
	t.notices = append(t.notices, e.notice(now, t.pool, prefix))
}

func (e *evidence) notice(now time.Time, pool object.PoolName, prefix wire.PrefixHash) wire.PrefixNotice {
	n := wire.PrefixNotice{
		Pool: pool, Prefix: prefix, Version: e.version, State: e.state, Crashes: e.crashes, Isolated: e.isolated,
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
	e := t.evidenceOf(n.Prefix)
	if !newer(n, e.version, e.state) {
		return
	}
	learned := evidence{
		state: n.State, version: n.Version, crashes: n.Crashes, isolated: n.Isolated, learnedRequests: n.Requests,
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

// prefixKey identifies a prefix in a book.
type prefixKey struct {
	pool   object.PoolName
	prefix wire.PrefixHash
}

// record is what a host knows about a prefix from a notice.
type record struct {
	notice     wire.PrefixNotice
	recordedAt time.Time
}

// Book holds what a host knows about prefixes, for its own requests and for the next arbiter. It is
// immutable. A nil book is empty.
type Book struct {
	records map[prefixKey]record
}

// With returns a book with a notice added and expired ones removed, or the same book if the notice adds
// nothing.
func (b *Book) With(now time.Time, n wire.PrefixNotice) *Book {
	key := prefixKey{n.Pool, n.Prefix}
	next := &Book{records: map[prefixKey]record{}}
	if b != nil {
		if known, found := b.records[key]; found && !newer(n, known.notice.Version, known.notice.State) {
			return b
		}
		for other, r := range b.records {
			if now.Sub(r.recordedAt) <= retentionOf(r.notice.State) {
				next.records[other] = r
			}
		}
	}
	if len(next.records) >= maxPrefixes {
		next.evictOne()
	}
	next.records[key] = record{n, now}
	return next
}

// evictOne removes a prefix that is not held, or any if all are held.
func (b *Book) evictOne() {
	var evicted prefixKey
	for key, r := range b.records {
		evicted = key
		if r.notice.State != wire.PrefixHeld {
			break
		}
	}
	delete(b.records, evicted)
}

// IsHeld reports whether requests with one of the prefixes must not be sent. It is not set while a check
// of the prefix may be due, which the arbiter decides.
func (b *Book) IsHeld(now time.Time, pool object.PoolName, prefixes []wire.PrefixHash) bool {
	if b == nil || len(b.records) == 0 {
		return false
	}
	for _, prefix := range candidates(prefixes) {
		r, found := b.records[prefixKey{pool, prefix}]
		if found && r.notice.State == wire.PrefixHeld && now.Sub(r.recordedAt) <= heldRetention {
			return true
		}
	}
	return false
}

// Notices returns what is known as messages for another host.
func (b *Book) Notices(now time.Time) []wire.PrefixNotice {
	if b == nil {
		return nil
	}
	var all []wire.PrefixNotice
	for _, r := range b.records {
		age := now.Sub(r.recordedAt)
		if age > retentionOf(r.notice.State) {
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
