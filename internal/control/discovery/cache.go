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
	deleted map[string]store.Position // Position of the deletion.
	// deletionsFrom is the position from which deletions are complete. A peer at an older
	// position needs all items.
	deletionsFrom store.Position
	// values holds the large values among the items for peers.
	values *valueCache
}

func newItemCache(values *valueCache) *itemCache {
	return &itemCache{items: map[string]store.Item{}, deleted: map[string]store.Position{}, values: values}
}

// put stores an item and reports whether its data has changed.
func (c *itemCache) put(i store.Item) bool {
	previous, exists := c.items[i.Key]
	c.items[i.Key] = i
	c.values.put(i)
	delete(c.deleted, i.Key)
	return !exists || !bytes.Equal(previous.Data, i.Data)
}

// remove records a deletion.
func (c *itemCache) remove(key string, at store.Position) {
	delete(c.items, key)
	if len(c.deleted) == maxDeletions {
		clear(c.deleted)
		c.deletionsFrom = at
	}
	c.deleted[key] = at
}

// position returns the position of the last stored change of a key, or 0 if there is none.
func (c *itemCache) position(key string) store.Position {
	return max(c.items[key].Position, c.deleted[key])
}

// all returns all items.
func (c *itemCache) all() []store.Item {
	items := make([]store.Item, 0, len(c.items))
	for _, i := range c.items {
		items = append(items, i)
	}
	return items
}

// changesAfter returns the changes after a position and true. If the stored deletions do not
// reach back to that position, it returns all items and false.
func (c *itemCache) changesAfter(after store.Position) ([]store.Item, bool) {
	if after == 0 || after < c.deletionsFrom {
		return c.all(), false
	}
	items := []store.Item{}
	for _, i := range c.items {
		if i.Position > after {
			items = append(items, i)
		}
	}
	for key, at := range c.deleted {
		if at > after {
			items = append(items, store.Item{Key: key, Position: at, Deleted: true})
		}
	}
	return items, true
}
