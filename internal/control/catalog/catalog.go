// Package catalog stores the operators' objects in the platform's store and activates each
// accepted change in this process.
//
// The objects are distributed over chunks by the hash of their key. Chunks are immutable and
// named by the digest of their content. An index lists the current chunks and is also named by
// its digest. A head record names the index and is replaced by compare-and-swap only, so that
// a change set is accepted as a whole or not at all. The latest changes are stored as well, so
// that a follower reads only what has changed.
package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

const (
	// chunkCount is the number of chunks. It keeps each chunk well below the megabyte that the
	// store allows for a value.
	chunkCount = 64
	// maxRecentChangeIDs is the number of change ids in the head. They show whether a change was
	// accepted although the response of the store was lost.
	maxRecentChangeIDs = 16
	// retainedChanges is the number of latest changes that followers can read one by one.
	retainedChanges = 32
	// maxChangeBytes bounds the size of a stored change. Followers read a larger one as chunks.
	maxChangeBytes = 64 << 10
	// maxTxnBytes bounds the size of the chunks that are written in one transaction with the head.
	maxTxnBytes = 512 << 10
	// publishAttempts bounds the attempts to publish while other operators publish as well.
	publishAttempts = 20
)

// ChangeID identifies a change set.
type ChangeID string

// Head names the current configuration.
type Head struct {
	Revision object.Revision `json:"revision"`
	// Index is the name of the index.
	Index string `json:"index"`
	// Recent are the ids of the latest accepted changes, the newest first.
	Recent []ChangeID `json:"recent"`
}

// Change is a change set.
type Change struct {
	ID       ChangeID       `json:"id"`
	Operator string         `json:"-"`
	Puts     []object.Entry `json:"puts"`
	Deletes  []DeleteEntry  `json:"deletes"`
	// Base holds, by "kind/name", the revision of each changed object on which the change is
	// based; 0 for an object that did not exist.
	Base map[string]object.Revision `json:"base"`
}

// DeleteEntry names an object to delete.
type DeleteEntry struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
}

// ConflictError reports that another change has modified the same object.
type ConflictError struct {
	Object object.Key
	// Base is the revision of the object on which the rejected change is based.
	Base object.Revision
	// Current is the revision of the object in the store, 0 if it does not exist.
	Current object.Revision
	// Operator is the operator who published Current, empty if the object does not exist.
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: you changed revision %d, but it is at revision %d by %s", e.Object, e.Base, e.Current, e.Operator)
}

// InvalidError reports that the configuration would be invalid after the change.
type InvalidError struct {
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the validation errors.
func (e *InvalidError) Unwrap() error { return e.Err }

// errConcurrentChange reports that the head was replaced during a read or a commit.
var errConcurrentChange = errors.New("the configuration was changed in between")

// Catalog reads and publishes configurations.
type Catalog struct {
	kv     store.KV
	prefix string
}

// New creates a catalog whose keys start with the prefix.
func New(kv store.KV, prefix string) *Catalog {
	return &Catalog{kv: kv, prefix: prefix + "config/"}
}

func (c *Catalog) headKey() string               { return c.prefix + "head" }
func (c *Catalog) indexKey(digest string) string { return c.prefix + "index/" + digest }
func (c *Catalog) chunkKey(digest string) string { return c.prefix + "chunk/" + digest }

func (c *Catalog) changeKey(revision object.Revision) string {
	return fmt.Sprintf("%schange/%d", c.prefix, revision)
}

// Publish applies a change to the current configuration and returns the new state. It returns a
// *ConflictError, an *InvalidError, or an error that wraps store.ErrUnavailable if it is unknown
// whether the change was accepted.
func (c *Catalog) Publish(ctx context.Context, change Change) (*State, error) {
	var cached *State
	var lastErr error
	for range publishAttempts {
		current, err := c.Read(ctx, cached)
		if err != nil {
			return nil, err
		}
		cached = current
		if current.hasAccepted(change.ID) {
			return current, nil
		}
		next, err := current.withChange(change)
		if err != nil {
			return nil, err
		}
		err = c.commit(ctx, current, next)
		if err == nil {
			return next, nil
		}
		// The head was replaced, or the response was lost after the write took effect: read
		// again and look for the id of this change.
		lastErr = err
	}
	return nil, fmt.Errorf("publish: %w", lastErr)
}

// commit writes the new chunks and replaces the head. It returns errConcurrentChange if the head
// has been replaced since current was read.
func (c *Catalog) commit(ctx context.Context, current, next *State) error {
	t := store.Transaction{Compares: []store.Compare{{Key: c.headKey(), ModRevision: current.modRevision}}}
	size := 0
	for name, content := range next.Chunks {
		if current.Chunks[name] == nil {
			t.Puts = append(t.Puts, store.Put{Key: c.chunkKey(name), Data: content})
			size += len(content)
		}
	}
	if size > maxTxnBytes {
		if err := c.writeChunks(ctx, t.Puts); err != nil {
			return err
		}
		t.Puts = nil
	}
	for name := range current.Chunks {
		if next.Chunks[name] == nil {
			t.Deletes = append(t.Deletes, c.chunkKey(name))
		}
	}
	if err := c.addMetadata(&t, current, next); err != nil {
		return err
	}
	committed, _, err := c.kv.Txn(ctx, t)
	if err != nil {
		return fmt.Errorf("move head: %w", err)
	}
	if !committed {
		return errConcurrentChange
	}
	return nil
}

// writeChunks writes chunks one by one before the head is replaced, because the store bounds the
// size of a transaction. The chunks are not read until a head refers to them.
func (c *Catalog) writeChunks(ctx context.Context, puts []store.Put) error {
	for _, put := range puts {
		if _, _, err := c.kv.Txn(ctx, store.Transaction{Puts: []store.Put{put}}); err != nil {
			return fmt.Errorf("write chunk: %w", err)
		}
	}
	return nil
}

// addMetadata adds the new head, index and change to a transaction, and the deletes of the
// previous index and of the oldest stored change.
func (c *Catalog) addMetadata(t *store.Transaction, current, next *State) error {
	head, err := json.Marshal(next.Head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	index, err := json.Marshal(next.Names)
	if err != nil {
		return fmt.Errorf("encode index: %w", err)
	}
	change, err := json.Marshal(next.delta)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	t.Puts = append(t.Puts, store.Put{Key: c.headKey(), Data: head}, store.Put{Key: c.indexKey(next.Head.Index), Data: index})
	if current.Head.Index != "" && current.Head.Index != next.Head.Index {
		t.Deletes = append(t.Deletes, c.indexKey(current.Head.Index))
	}
	if len(change) <= maxChangeBytes {
		t.Puts = append(t.Puts, store.Put{Key: c.changeKey(next.Head.Revision), Data: change})
	}
	if old := next.Head.Revision - retainedChanges; old > 0 {
		t.Deletes = append(t.Deletes, c.changeKey(old))
	}
	return nil
}
