// Package catalog keeps the operators' objects in the platform's store and puts each
// accepted change in force in this process.
//
// The objects are spread over chunks by the hash of their key. Chunks are named by
// their content and never change; a head record names the current ones and moves by
// compare-and-swap only, so that a change set is accepted whole or not at all.
package catalog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

const (
	// chunkCount is the number of chunks; it keeps each well below the megabyte that
	// the store allows for a value.
	chunkCount = 64
	// recentChanges is the number of change ids that the head remembers, to tell
	// whether a change whose answer was lost has been accepted.
	recentChanges = 64
	// publishAttempts bounds the tries to publish while others publish too.
	publishAttempts = 20
)

// ChangeID identifies a change set.
type ChangeID string

// Head names the current configuration.
type Head struct {
	Revision object.Revision `json:"revision"`
	// Chunks are the names of the chunks; an empty name is an empty chunk.
	Chunks []string `json:"chunks"`
	// Recent are the latest accepted changes, the newest first.
	Recent []Accepted `json:"recent"`
}

// Accepted is a change set that was accepted.
type Accepted struct {
	ID       ChangeID        `json:"id"`
	Revision object.Revision `json:"revision"`
	Operator string          `json:"operator"`
}

// State is a whole configuration as it is stored.
type State struct {
	Head Head `json:"head"`
	// Chunks holds the content of each chunk by name.
	Chunks map[string]json.RawMessage `json:"chunks"`

	modRevision int64
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
func (c *Catalog) chunkKey(digest string) string { return c.prefix + "chunk/" + digest }

// Read returns the current state. Chunks that known holds are not read again.
func (c *Catalog) Read(ctx context.Context, known *State) (*State, error) {
	for {
		state, err := c.readOnce(ctx, known)
		if !errors.Is(err, errMoved) {
			return state, err
		}
	}
}

func (c *Catalog) readOnce(ctx context.Context, known *State) (*State, error) {
	value, err := c.kv.Get(ctx, c.headKey())
	if err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	state := &State{Chunks: map[string]json.RawMessage{}, modRevision: value.ModRevision}
	if value.ModRevision == 0 {
		state.Head.Chunks = make([]string, chunkCount)
		return state, nil
	}
	if err := json.Unmarshal(value.Data, &state.Head); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	var missing, keys []string
	for _, name := range state.Head.Chunks {
		if name == "" {
			continue
		}
		if known != nil && known.Chunks[name] != nil {
			state.Chunks[name] = known.Chunks[name]
			continue
		}
		missing = append(missing, name)
		keys = append(keys, c.chunkKey(name))
	}
	if len(missing) == 0 {
		return state, nil
	}
	values, err := c.kv.GetAll(ctx, keys)
	if err != nil {
		return nil, fmt.Errorf("read chunks: %w", err)
	}
	for i, name := range missing {
		if values[i].ModRevision == 0 {
			return nil, errMoved // A newer head has replaced the chunk.
		}
		state.Chunks[name] = values[i].Data
	}
	return state, nil
}

// Entries returns all entries of a state, sorted by key.
func (s *State) Entries() ([]object.Entry, error) {
	var all []object.Entry
	for _, name := range s.Head.Chunks {
		entries, err := s.chunk(name)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

func (s *State) chunk(name string) ([]object.Entry, error) {
	if name == "" {
		return nil, nil
	}
	var entries []object.Entry
	if err := json.Unmarshal(s.Chunks[name], &entries); err != nil {
		return nil, fmt.Errorf("decode chunk %s: %w", name, err)
	}
	return entries, nil
}

// Compile checks a state and returns its snapshot.
func (s *State) Compile() (*object.Snapshot, error) {
	entries, err := s.Entries()
	if err != nil {
		return nil, err
	}
	objects := make([]object.Object, 0, len(entries))
	for _, entry := range entries {
		o, err := entry.Decode()
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return object.Compile(s.Head.Revision, digestOf([]byte(strings.Join(s.Head.Chunks, ","))), objects)
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

func (s *State) accepted(id ChangeID) bool {
	return slices.ContainsFunc(s.Head.Recent, func(a Accepted) bool { return a.ID == id })
}

// swap writes the new chunks and moves the head, or does nothing if the head has moved.
func (c *Catalog) swap(ctx context.Context, current, next *State) error {
	t := store.Transaction{Compares: []store.Compare{{Key: c.headKey(), ModRevision: current.modRevision}}}
	for name, content := range next.Chunks {
		if current.Chunks[name] == nil {
			t.Puts = append(t.Puts, store.Put{Key: c.chunkKey(name), Data: content})
		}
	}
	for name := range current.Chunks {
		if next.Chunks[name] == nil {
			t.Deletes = append(t.Deletes, c.chunkKey(name))
		}
	}
	head, err := json.Marshal(next.Head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	t.Puts = append(t.Puts, store.Put{Key: c.headKey(), Data: head})
	won, _, err := c.kv.Txn(ctx, t)
	if err != nil {
		return fmt.Errorf("move head: %w", err)
	}
	if !won {
		return errMoved
	}
	return nil
}

// with returns the state after a change, checked as a whole.
func (s *State) with(change Change) (*State, error) {
	entries, err := s.Entries()
	if err != nil {
		return nil, err
	}
	byKey := map[object.Key]object.Entry{}
	for _, entry := range entries {
		o, err := entry.Decode()
		if err != nil {
			return nil, err
		}
		byKey[object.KeyOf(o)] = entry
	}
	revision := s.Head.Revision + 1
	for _, put := range change.Puts {
		o, err := put.Decode()
		if err != nil {
			return nil, &InvalidError{err}
		}
		key := object.KeyOf(o)
		if err := checkBase(byKey, key, change); err != nil {
			return nil, err
		}
		spec, err := object.Encode(o)
		if err != nil {
			return nil, &InvalidError{err}
		}
		byKey[key] = object.Entry{Kind: key.Kind, Revision: revision, Operator: change.Operator, Spec: spec}
	}
	for _, d := range change.Deletes {
		key := object.Key{Kind: d.Kind, Name: d.Name}
		if err := checkBase(byKey, key, change); err != nil {
			return nil, err
		}
		delete(byKey, key)
	}
	next, err := build(byKey)
	if err != nil {
		return nil, err
	}
	accepted := Accepted{ID: change.ID, Revision: revision, Operator: change.Operator}
	next.Head.Revision = revision
	next.Head.Recent = append([]Accepted{accepted}, s.Head.Recent...)
	next.Head.Recent = next.Head.Recent[:min(len(next.Head.Recent), recentChanges)]
	if _, err := next.Compile(); err != nil {
		return nil, &InvalidError{err}
	}
	return next, nil
}

func checkBase(byKey map[object.Key]object.Entry, key object.Key, change Change) error {
	base := change.Base[key.String()]
	current := byKey[key]
	if current.Revision != base {
		return &ConflictError{Object: key, Base: base, Current: current.Revision, Operator: current.Operator}
	}
	return nil
}

// build spreads entries over chunks.
func build(byKey map[object.Key]object.Entry) (*State, error) {
	keys := make([][]object.Key, chunkCount)
	for key := range byKey {
		i := chunkOf(key)
		keys[i] = append(keys[i], key)
	}
	state := &State{Chunks: map[string]json.RawMessage{}}
	state.Head.Chunks = make([]string, chunkCount)
	for i, members := range keys {
		if len(members) == 0 {
			continue
		}
		slices.SortFunc(members, func(a, b object.Key) int { return strings.Compare(a.String(), b.String()) })
		entries := make([]object.Entry, 0, len(members))
		for _, key := range members {
			entries = append(entries, byKey[key])
		}
		content, err := json.Marshal(entries)
		if err != nil {
			return nil, fmt.Errorf("encode chunk: %w", err)
		}
		name := digestOf(content)
		state.Head.Chunks[i] = name
		state.Chunks[name] = content
	}
	return state, nil
}

func chunkOf(key object.Key) int {
	digest := fnv.New32a()
	digest.Write([]byte(key.String()))
	return int(digest.Sum32() % chunkCount)
}

// digestLen is the length of a chunk name in bytes before encoding.
const digestLen = 16

func digestOf(content []byte) string {
	digest := sha256.Sum256(content)
	return hex.EncodeToString(digest[:digestLen])
}
