package board

import (
	"time"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/pool/origin"
	"redwinglock/internal/state/object"
)

// streamLives is how many times as long as the timeout of its route a stream may be continued, over several requests of its
// caller.
const streamLives = 2

// Origins returns what this host knows about the streams of a pool and the versions that began them.
func (b *Board) Origins(pool object.PoolName) *origin.Table {
	if table, found := b.origins.Load(pool); found {
		return table.(*origin.Table)
	}
	table, _ := b.origins.LoadOrStore(pool, origin.NewTable())
	return table.(*origin.Table)
}

// VersionRecord is what the platform's store holds about the versions of one pool.
type VersionRecord struct {
	// Position is the position of the record in the store, 0 if there is none.
	Position store.Position
	Versions []origin.VersionRecord
}

// VersionRecord returns the stored record of a pool, as this host has read it last.
func (b *Board) VersionRecord(pool object.PoolName) VersionRecord {
	if record, found := b.versionRecords.Load(pool); found {
		return record.(VersionRecord)
	}
	return VersionRecord{}
}

// SetVersionRecord replaces the stored record of a pool.
func (b *Board) SetVersionRecord(pool object.PoolName, record VersionRecord) {
	b.versionRecords.Store(pool, record)
	b.notify()
}

// serveVersions records the versions of the targets of the pools whose streams may be resumed.
func (b *Board) serveVersions(snapshot *object.Snapshot) {
	for name, view := range snapshot.Pools() {
		timeout, found := snapshot.StreamTimeout(name)
		if !found || !view.Discovered {
			continue
		}
		versions := make([]object.Generation, 0, len(view.Targets))
		for _, t := range view.Targets {
			versions = append(versions, t.Generation)
		}
		b.Origins(name).Serve(time.Now(), streamLives*timeout, versions)
	}
}
