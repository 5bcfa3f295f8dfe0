package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/pool/origin"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// Key prefixes under which the versions of each pool are stored, and the streams that they began.
const (
	versionsPrefix = "redwinglock/versions/"
	streamsPrefix  = "redwinglock/streams/"
)

// VersionsKey returns the key of the versions of a pool.
func VersionsKey(pool object.PoolName) string { return versionsPrefix + string(pool) }

// StreamsKey returns the key of some streams of a pool. The name tells the keys of a pool apart.
func StreamsKey(pool object.PoolName, name string) string {
	return streamsPrefix + string(pool) + "/" + name
}

// applyVersions puts the stored versions of a pool on the board.
func (d *Controller) applyVersions(i store.Item) {
	pool := object.PoolName(strings.TrimPrefix(i.Key, versionsPrefix))
	if i.Deleted {
		d.cache.remove(i.Key, i.Position)
		d.board.SetVersionRecord(pool, board.VersionRecord{})
		return
	}
	d.cache.put(i)
	versions, err := DecodeVersions(i.Data)
	if err != nil {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of versions ignored.")
	}
	d.board.Origins(pool).LearnVersions(time.Now(), versions)
	d.board.SetVersionRecord(pool, board.VersionRecord{Position: i.Position, Versions: versions})
}

// DecodeVersions returns the versions in the record of a pool.
func DecodeVersions(data []byte) ([]origin.VersionRecord, error) {
	var versions []origin.VersionRecord
	if err := json.Unmarshal(data, &versions); err != nil {
		return nil, fmt.Errorf("decode versions: %w", err)
	}
	return versions, nil
}

// applyStreams records stored streams. They are forgotten by their age, not by the end of their keys.
func (d *Controller) applyStreams(i store.Item) {
	if i.Deleted {
		d.cache.remove(i.Key, i.Position)
		return
	}
	if !d.cache.put(i) {
		return
	}
	pool, _, _ := strings.Cut(strings.TrimPrefix(i.Key, streamsPrefix), "/")
	batches, err := DecodeStreams(i.Data)
	if err != nil {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of streams ignored.")
	}
	for _, b := range batches {
		d.board.Origins(object.PoolName(pool)).Learn(time.Now(), b)
	}
}

// DecodeStreams returns the streams in a record.
func DecodeStreams(data []byte) ([]origin.Batch, error) {
	var batches []origin.Batch
	if err := json.Unmarshal(data, &batches); err != nil {
		return nil, fmt.Errorf("decode streams: %w", err)
	}
	return batches, nil
}
