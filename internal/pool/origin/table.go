// Package origin remembers which software version of the targets of a pool began each stream, so that a stream goes on
// only at that version. While one version only has served within the life of a stream, any stream is of it, and nothing
// else needs to be known.
package origin

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// minLife is the minimum time for which a stream may be continued after it has begun.
const minLife = 30 * time.Second

// VersionRecord says until when a version has served.
type VersionRecord struct {
	Version object.Generation `json:"version"`
	// EndedMS is when its last target was removed, in Unix milliseconds, 0 if it still serves.
	EndedMS int64 `json:"ended-ms,omitempty"`
}

// Batch holds streams that one version began.
type Batch struct {
	Version object.Generation `json:"version"`
	Streams []wire.StreamID   `json:"streams"`
}

// period holds the streams of one period.
type period struct {
	begun map[wire.StreamID]object.Generation
	// unstored are the streams that the platform's store does not hold yet.
	unstored map[wire.StreamID]object.Generation
}

func newPeriod() period {
	return period{map[wire.StreamID]object.Generation{}, map[wire.StreamID]object.Generation{}}
}

// Table is what one host knows about the streams of a pool. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	life time.Duration
	// current holds the streams since rotatedAt, previous those of the time before. Each lasts for one life.
	current, previous period
	rotatedAt         time.Time
	// serving are the versions that serve now, ended the times at which others ceased to.
	serving map[object.Generation]bool
	ended   map[object.Generation]time.Time
}

// NewTable creates an empty table.
func NewTable() *Table {
	return &Table{life: minLife, current: newPeriod(), previous: newPeriod(), serving: map[object.Generation]bool{}, ended: map[object.Generation]time.Time{}}
}

// Serve records the versions of all targets of the pool, and for how long after its beginning a stream may be continued.
func (t *Table) Serve(now time.Time, life time.Duration, versions []object.Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.life = max(life, minLife)
	before := t.serving
	t.serving = map[object.Generation]bool{}
	for _, version := range versions {
		t.serving[version] = true
		delete(t.ended, version)
	}
	for version := range before {
		if !t.serving[version] {
			t.ended[version] = now
		}
	}
	t.rotate(now)
}

// LearnVersions applies what the store holds about versions. One that served when it was written, and does not now, has
// ended since.
func (t *Table) LearnVersions(now time.Time, records []VersionRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if t.serving[r.Version] {
			continue
		}
		ended := now
		if r.EndedMS != 0 {
			ended = time.UnixMilli(r.EndedMS)
		}
		if known, found := t.ended[r.Version]; !found || r.EndedMS != 0 && ended.After(known) {
			t.ended[r.Version] = ended
		}
	}
}

// Versions returns what the store should hold about versions, in no particular order.
func (t *Table) Versions(now time.Time) []VersionRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var records []VersionRecord
	for version := range t.serving {
		records = append(records, VersionRecord{Version: version})
	}
	for version, at := range t.ended {
		records = append(records, VersionRecord{version, at.UnixMilli()})
	}
	return records
}

// Record records that a target of a version has got a new stream.
func (t *Table) Record(now time.Time, stream wire.StreamID, version object.Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if !t.serving[version] {
		t.ended[version] = now
	}
	if known, found := t.version(stream); found && known == version {
		return
	}
	t.current.begun[stream] = version
	t.current.unstored[stream] = version
}

// Learn records streams of the store.
func (t *Table) Learn(now time.Time, b Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	for _, stream := range b.Streams {
		if _, found := t.version(stream); !found {
			t.current.begun[stream] = b.Version
		}
	}
}

// VersionOf returns the version that began a stream, and false if it is not known.
func (t *Table) VersionOf(now time.Time, stream wire.StreamID) (object.Generation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if version, found := t.version(stream); found {
		return version, true
	}
	return t.sole()
}

// Sole returns the only version that has served within the life of a stream, and false if there are several or none.
func (t *Table) Sole(now time.Time) (object.Generation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.sole()
}

// TakeUnstored returns the streams that the store must hold, by version. There are none while one version only has
// served. Return gives them back after a failure.
func (t *Table) TakeUnstored(now time.Time) []Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if _, isSole := t.sole(); isSole {
		return nil
	}
	streams := map[object.Generation][]wire.StreamID{}
	for _, p := range []*period{&t.previous, &t.current} {
		for stream, version := range p.unstored {
			streams[version] = append(streams[version], stream)
		}
		clear(p.unstored)
	}
	var batches []Batch
	for version, ids := range streams {
		batches = append(batches, Batch{version, ids})
	}
	return batches
}

// Split is a list of batches in two parts.
type Split struct{ Taken, Left []Batch }

// FirstStreams takes at most limit streams from a list of batches.
func FirstStreams(batches []Batch, limit int) Split {
	var split Split
	for _, b := range batches {
		n := min(limit, len(b.Streams))
		limit -= n
		if n > 0 {
			split.Taken = append(split.Taken, Batch{b.Version, b.Streams[:n]})
		}
		if n < len(b.Streams) {
			split.Left = append(split.Left, Batch{b.Version, b.Streams[n:]})
		}
	}
	return split
}

// Return gives back streams that could not be stored.
func (t *Table) Return(batches []Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range batches {
		for _, stream := range b.Streams {
			t.current.unstored[stream] = b.Version
		}
	}
}

// version returns the version that is recorded for a stream. The caller must hold the lock.
func (t *Table) version(stream wire.StreamID) (object.Generation, bool) {
	if version, found := t.current.begun[stream]; found {
		return version, true
	}
	version, found := t.previous.begun[stream]
	return version, found
}

// sole returns the only version of the pool. The caller must hold the lock.
func (t *Table) sole() (object.Generation, bool) {
	if len(t.serving)+len(t.ended) != 1 {
		return "", false
	}
	for version := range t.serving {
		return version, true
	}
	return "", false // Its targets are gone.
}

// rotate forgets what is too old. The caller must hold the lock.
func (t *Table) rotate(now time.Time) {
	t.expire(now)
	if now.Sub(t.rotatedAt) < t.life {
		return
	}
	if now.Sub(t.rotatedAt) >= 2*t.life {
		t.current = newPeriod()
	}
	t.previous, t.current = t.current, newPeriod()
	t.rotatedAt = now
}

// expire forgets the versions that ended too long ago. The caller must hold the lock.
func (t *Table) expire(now time.Time) {
	for version, at := range t.ended {
		if now.Sub(at) > 2*t.life {
			delete(t.ended, version)
		}
	}
}
