package discovery

import (
	"fmt"
	"sync"

	"redwinglock/internal/peer/patch"
	"redwinglock/internal/platform/store"
)

const (
	// maxInlineBytes is the size of the largest value that is sent with the other changes.
	maxInlineBytes = 4 << 10
	// keptValues is the number of values of a key that are kept as bases of patches.
	keptValues = 3
	// keptPatches is the number of patches to a value that are kept for more peers.
	keptPatches = 4
)

// Value describes a large value that a peer reads apart from the other changes.
type Value struct {
	Key      string       `json:"key"`
	Era      store.Era    `json:"era,omitempty"`
	Revision int64        `json:"revision"`
	Digest   patch.Digest `json:"digest"`
	// Source is the base URL of a host that has the value, empty if it is the sender of this description.
	Source string `json:"source,omitempty"`
}

func (v Value) position() store.Position { return store.NewPosition(v.Era, v.Revision) }

// describe returns the description of an item with a large value.
func describe(i store.Item, digest patch.Digest, source string) Value {
	return Value{Key: i.Key, Era: i.Position.Era(), Revision: i.Position.Revision(), Digest: digest, Source: source}
}

func isLarge(i store.Item) bool { return !i.Deleted && len(i.Data) > maxInlineBytes }

// valueCache holds the latest large values of each key, and patches between them for peers. It is safe for concurrent
// use: patches are computed without the lock of the controller.
type valueCache struct {
	mu   sync.Mutex
	keys map[string][]*keptValue // By key, the latest value last.
}

// keptValue is a value with the patches that lead to it.
type keptValue struct {
	item    store.Item
	digest  patch.Digest
	patches map[patch.Digest]*keptPatch // By the digest of their base.
}

// keptPatch is a patch that is computed at most once.
type keptPatch struct {
	base    []byte
	once    sync.Once
	content []byte
	err     error
}

func newValueCache() *valueCache { return &valueCache{keys: map[string][]*keptValue{}} }

// put makes the value of an item the latest of its key. Small values are not kept.
func (c *valueCache) put(i store.Item) {
	if !isLarge(i) {
		return
	}
	digest := patch.DigestOf(i.Data)
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.keys[i.Key]
	if n := len(values); n > 0 && values[n-1].digest == digest {
		values[n-1].item.Position = i.Position
		return
	}
	values = append(values, &keptValue{item: i, digest: digest, patches: map[patch.Digest]*keptPatch{}})
	if len(values) > keptValues {
		values = append(values[:0:0], values[1:]...)
	}
	c.keys[i.Key] = values
}

// digest returns the digest of the latest value of a key, empty if it has none that is large.
func (c *valueCache) digest(key string) patch.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest := c.latest(key); latest != nil {
		return latest.digest
	}
	return ""
}

// latest returns the latest value of a key, or nil. The caller must hold c.mu.
func (c *valueCache) latest(key string) *keptValue {
	values := c.keys[key]
	if len(values) == 0 {
		return nil
	}
	return values[len(values)-1]
}

// value returns a kept value of a key by its digest, or nil.
func (c *valueCache) value(key string, digest patch.Digest) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(key, digest)
}

func (c *valueCache) find(key string, digest patch.Digest) []byte {
	for _, v := range c.keys[key] {
		if v.digest == digest {
			return v.item.Data
		}
	}
	return nil
}

// sentValue is a large value as it is sent to a peer.
type sentValue struct {
	Value Value
	// Base is the digest of the value to which Patch is relative, empty if it is relative to none.
	Base  patch.Digest
	Patch []byte
}

// transfer returns the latest value of a key as a patch to a base of the peer, or false if the value is of an earlier
// position than the wanted one.
func (c *valueCache) transfer(key string, wanted store.Position, base patch.Digest) (sentValue, bool, error) {
	c.mu.Lock()
	latest := c.latest(key)
	if latest == nil || latest.item.Position < wanted {
		c.mu.Unlock()
		return sentValue{}, false, nil
	}
	sent := sentValue{Value: describe(latest.item, latest.digest, ""), Base: base}
	baseValue := c.find(key, base)
	if baseValue == nil {
		sent.Base = ""
	}
	kept := latest.patch(sent.Base, baseValue)
	data := latest.item.Data
	c.mu.Unlock()
	kept.once.Do(func() {
		kept.content, kept.err = patch.Encode(kept.base, data)
		kept.base = nil
	})
	if kept.err != nil {
		return sentValue{}, false, fmt.Errorf("value of %s: %w", key, kept.err)
	}
	sent.Patch = kept.content
	return sent, true, nil
}

// patch returns the patch from a base, which may not be computed yet. The caller must hold the lock of the cache.
func (v *keptValue) patch(digest patch.Digest, base []byte) *keptPatch {
	kept := v.patches[digest]
	if kept == nil {
		if len(v.patches) == keptPatches {
			clear(v.patches)
		}
		kept = &keptPatch{base: base}
		v.patches[digest] = kept
	}
	return kept
}
