package discovery

import (
	"bytes"

	"redwinglock/internal/platform/store"
)

// maxDeleted bounds the deletions that are remembered for peers.
const maxDeleted = 2000

// known is what this host knows of the store, key by key, and which keys were deleted. It
// is not safe for concurrent use.
type known struct {
	items   map[string]store.Item
	deleted map[string]int64 // Revision of the deletion.
	// complete is the revision from which deletions are remembered. A peer that knows less
	// must take the whole list.
	complete int64
}

func newKnown() *known {
	return &known{items: map[string]store.Item{}, deleted: map[string]int64{}}
}

// put files an item and reports whether its data has changed.
func (k *known) put(i store.Item) bool {
	before, exists := k.items[i.Key]
	k.items[i.Key] = i
	delete(k.deleted, i.Key)
	return !exists || !bytes.Equal(before.Data, i.Data)
}

// remove files a deletion.
func (k *known) remove(key string, revision int64) {
	delete(k.items, key)
	if len(k.deleted) == maxDeleted {
		clear(k.deleted)
		k.complete = revision
	}
	k.deleted[key] = revision
}

// revision returns the revision of the last change of a key, 0 if it never existed.
func (k *known) revision(key string) int64 { return max(k.items[key].Revision, k.deleted[key]) }

// since returns the changes after a revision. It returns all items and false if the
// deletions since then are not all remembered.
func (k *known) since(revision int64) ([]store.Item, bool) {
	partial := revision > 0 && revision >= k.complete
	items := []store.Item{}
	for _, i := range k.items {
		if !partial || i.Revision > revision {
			items = append(items, i)
		}
	}
	for key, at := range k.deleted {
		if partial && at > revision {
			items = append(items, store.Item{Key: key, Revision: at, Deleted: true})
		}
	}
	return items, partial
}
