package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// heldPrefixesPrefix is the key prefix under which the held prompt prefixes of each pool are stored.
const heldPrefixesPrefix = "redwinglock/held-prefixes/"

// HeldPrefixesKey returns the key of the held prompt prefixes of a pool.
func HeldPrefixesKey(pool object.PoolName) string { return heldPrefixesPrefix + string(pool) }

// applyHeldPrefixes puts the stored prompt prefixes of a pool on the board. Prefixes that are no longer in
// the record were released by a notice, so nothing is removed here.
func (d *Controller) applyHeldPrefixes(i store.Item) {
	pool := object.PoolName(strings.TrimPrefix(i.Key, heldPrefixesPrefix))
	if i.Deleted {
		d.cache.remove(i.Key, i.Position)
		d.board.SetPrefixRecord(pool, board.PrefixRecord{})
		return
	}
	if !d.cache.put(i) {
		d.board.SetPrefixRecord(pool, board.PrefixRecord{Position: i.Position, Held: d.board.PrefixRecord(pool).Held})
		return
	}
	held, err := DecodeHeldPrefixes(pool, i.Data)
	if err != nil {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of held prefixes ignored.")
	}
	for _, n := range held {
		d.board.RecordPrefix(time.Now(), n)
	}
	d.board.SetPrefixRecord(pool, board.PrefixRecord{Position: i.Position, Held: held})
}

// DecodeHeldPrefixes returns the held prompt prefixes in the record of a pool, and the held and suspect requests.
func DecodeHeldPrefixes(pool object.PoolName, data []byte) ([]wire.PrefixNotice, error) {
	var held []wire.PrefixNotice
	if err := json.Unmarshal(data, &held); err != nil {
		return nil, fmt.Errorf("decode held prefixes: %w", err)
	}
	for n := range held {
		held[n].Pool = pool
		if held[n].Kind == wire.PrefixCause {
			held[n].State = wire.PrefixHeld
		}
	}
	return held, nil
}
