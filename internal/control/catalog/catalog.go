// Package catalog keeps the operators' objects in the platform's store and puts each
// accepted change in force in this process.
//
// The objects are spread over chunks by the hash of their key. Chunks are named by
// their content and never change; an index lists the current ones and is named by its
// content too. A head record names the index and moves by compare-and-swap only, so that
// a change set is accepted whole or not at all. Each change is kept for a while as well, so
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
	// chunkCount is the number of chunks; it keeps each well below the megabyte that
	// the store allows for a value.
	chunkCount = 64
	// recentChanges is the number of change ids that the head remembers, to tell
	// whether a change whose answer was lost has been accepted.
	recentChanges = 16
	// keptChanges is the number of changes that followers can read one by one.
	keptChanges = 32
	// maxChangeBytes bounds a change that is kept; a larger one is read as chunks.
	maxChangeBytes = 64 << 10
	// maxTxnBytes bounds the chunks that are written together with the head.
	maxTxnBytes = 512 << 10
	// publishAttempts bounds the tries to publish while others publish too.
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
	// Base holds the revisions of the changed objects that the operator has seen, by
	// "kind/name"; 0 for an object that did not exist.
	Base map[string]object.Revision `json:"base"`
}

// DeleteEntry names an object to delete.
type DeleteEntry struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
}

// ConflictError says that another change touched the same object.
type ConflictError struct {
	Object   object.Key
	Base     object.Revision
	Current  object.Revision
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: you changed revision %d, but it is at revision %d by %s", e.Object, e.Base, e.Current, e.Operator)
}

// InvalidError says that the changed set of objects does not pass the checks.
type InvalidError struct {
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the faults.
func (e *InvalidError) Unwrap() error { return e.Err }

// errMoved says that the head moved while a change was being prepared.
var errMoved = errors.New("the configuration was changed in between")

// Catalog reads and publishes configurations.
type Catalog struct {
	kv     store.KV
	prefix string
}

// New creates a catalog below the prefix.
func New(kv store.KV, prefix string) *Catalog {
	return &Catalog{kv: kv, prefix: prefix + "config/"}
}

func (c *Catalog) headKey() string               { return c.prefix + "head" }
func (c *Catalog) indexKey(digest string) string { return c.prefix + "index/" + digest }
func (c *Catalog) chunkKey(digest string) string { return c.prefix + "chunk/" + digest }

func (c *Catalog) changeKey(revision object.Revision) string {
	return fmt.Sprintf("%schange/%d", c.prefix, revision)
}

// Publish makes a change the current configuration. It returns the new state, or a
// *ConflictError, an *InvalidError, or an error that wraps store.ErrUnavailable if it
// could not be found out whether the change was accepted.
func (c *Catalog) Publish(ctx context.Context, change Change) (*State, error) {
	var known *State
	var lastErr error
	for range publishAttempts {
		current, err := c.Read(ctx, known)
		if err != nil {
			return nil, err
		}
		known = current
		if current.accepted(change.ID) {
			return current, nil
		}
		next, err := current.with(change)
		if err != nil {
			return nil, err
		}
		err = c.swap(ctx, current, next)
		if err == nil {
			return next, nil
		}
		// The head moved, or the answer was lost after the write took effect: read again
		// and look for the id of this change.
		lastErr = err
	}
	return nil, fmt.Errorf("publish: %w", lastErr)
}

// swap writes the new chunks and moves the head, or does nothing if the head has moved.
func (c *Catalog) swap(ctx context.Context, current, next *State) error {
	t := store.Transaction{Compares: []store.Compare{{Key: c.headKey(), ModRevision: current.modRevision}}}
	size := 0
	for name, content := range next.Chunks {
		if current.Chunks[name] == nil {
			t.Puts = append(t.Puts, store.Put{Key: c.chunkKey(name), Data: content})
			size += len(content)
		}
	}
	if size > maxTxnBytes {
		if err := c.putAhead(ctx, t.Puts); err != nil {
			return err
		}
		t.Puts = nil
	}
	for name := range current.Chunks {
		if next.Chunks[name] == nil {
			t.Deletes = append(t.Deletes, c.chunkKey(name))
		}
	}
	if err := c.addRecords(&t, current, next); err != nil {
		return err
	}
	won, _, err := c.kv.Txn(ctx, t)
	if err != nil {
		return fmt.Errorf("move head: %w", err)
	}
	if !won {
		return errMoved
	}
	return nil
}

// putAhead writes chunks one by one before the head moves, because the store bounds the
// size of a transaction. Nobody reads them until a head names them.
func (c *Catalog) putAhead(ctx context.Context, puts []store.Put) error {
	for _, put := range puts {
		if _, _, err := c.kv.Txn(ctx, store.Transaction{Puts: []store.Put{put}}); err != nil {
			return fmt.Errorf("write chunk: %w", err)
		}
	}
	return nil
}

// addRecords adds the head, the index and the change to a transaction.
func (c *Catalog) addRecords(t *store.Transaction, current, next *State) error {
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
	if old := next.Head.Revision - keptChanges; old > 0 {
		t.Deletes = append(t.Deletes, c.changeKey(old))
	}
	return nil
}
