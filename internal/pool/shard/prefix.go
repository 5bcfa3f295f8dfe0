package shard

import (
	"container/list"
	"slices"

	"redwinglock/internal/peer/wire"
)

const (
	// maxPrefixes limits the number of remembered prefixes of a pool.
	maxPrefixes = 65536
	// maxHolders limits the number of targets per prefix.
	maxHolders = 4
)

// prefixMap stores which targets received which prompt prefixes. It evicts the least recently
// used prefixes.
type prefixMap struct {
	entries map[wire.PrefixHash]*list.Element
	recent  *list.List // Values are *prefixEntry, most recent first.
}

type prefixEntry struct {
	hash    wire.PrefixHash
	holders []*target
}

func newPrefixMap() *prefixMap {
	return &prefixMap{entries: map[wire.PrefixHash]*list.Element{}, recent: list.New()}
}

// add records that the target received the prefixes.
func (m *prefixMap) add(t *target, hashes []wire.PrefixHash) {
	for _, hash := range hashes {
		element := m.entries[hash]
		if element == nil {
			element = m.recent.PushFront(&prefixEntry{hash: hash})
			m.entries[hash] = element
		}
		m.recent.MoveToFront(element)
		entry := element.Value.(*prefixEntry)
		if slices.Contains(entry.holders, t) {
			continue
		}
		if len(entry.holders) == maxHolders {
			entry.holders = slices.Delete(entry.holders, 0, 1)
		}
		entry.holders = append(entry.holders, t)
	}
	for m.recent.Len() > maxPrefixes {
		oldest := m.recent.Remove(m.recent.Back()).(*prefixEntry)
		delete(m.entries, oldest.hash)
	}
}

// holders returns the targets that received the prefix.
func (m *prefixMap) holders(hash wire.PrefixHash) []*target {
	element := m.entries[hash]
	if element == nil {
		return nil
	}
	return element.Value.(*prefixEntry).holders
}
