package discovery

import (
	"bytes"

	"redwinglock/internal/platform/store"
)

// maxDeletions bounds the number of deletions that are stored for peers.
const maxDeletions = 2000

// itemCache holds the items of the store and recent deletions by key. It is not safe for
// concurrent use.
type itemCache struct {
	items   map[string]store.Item
	deleted map[string]int64 // Revision of the deletion.
	// deletionsFrom is the revision from which deletions are complete. A peer at an older
	// revision needs all items.
	deletionsFrom int64
}

func newItemCache() *itemCache {
	return &itemCache{items: map[string]store.Item{}, deleted: map[string]int64{}}
}

// put stores an item and reports whether its data has changed.
func (c *itemCache) put(i store.Item) bool {
	previous, exists := c.items[i.Key]
	c.items[i.Key] = i
	delete(c.deleted, i.Key)
	return !exists || !bytes.Equal(previous.Data, i.Data)
}

// remove records a deletion.
func (c *itemCache) remove(key string, revision int64) {
	delete(c.items, key)
	if len(c.deleted) == maxDeletions {
		clear(c.deleted)
		c.deletionsFrom = revision
	}
	c.deleted[key] = revision
}

// revision returns the revision of the last stored change of a key, or 0 if there is none.
func (c *itemCache) revision(key string) int64 { return max(c.items[key].Revision, c.deleted[key]) }

// changesAfter returns the changes after a revision and true. If the stored deletions do not
// reach back to that revision, it returns all items and false.
func (c *itemCache) changesAfter(revision int64) ([]store.Item, bool) {
	partial := revision > 0 && revision >= c.deletionsFrom
	items := []store.Item{}
	for _, i := range c.items {
		if !partial || i.Revision > revision {
			items = append(items, i)
		}
	}
	for key, at := range c.deleted {
		if partial && at > revision {
			items = append(items, store.Item{Key: key, Revision: at, Deleted: true})
		}
	}
	return items, partial
}
