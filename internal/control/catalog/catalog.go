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
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
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

// State is a whole configuration as it is stored.
type State struct {
	Head Head `json:"head"`
	// Names are the names of the chunks; an empty name is an empty chunk.
	Names []string `json:"names"`
	// Chunks holds the content of each chunk by name.
	Chunks map[string]json.RawMessage `json:"chunks"`

	modRevision int64
	// delta is what the last change did, if this process made it.
	delta delta
}

// delta is the difference between two revisions.
type delta struct {
	Puts    []object.Entry `json:"puts,omitempty"`
	Deletes []DeleteEntry  `json:"deletes,omitempty"`
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

// Read returns the current state. What known holds is not read again.
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
	if value.ModRevision == 0 {
		return &State{Names: make([]string, chunkCount), Chunks: map[string]json.RawMessage{}}, nil
	}
	var head Head
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	state, err := c.readChanges(ctx, known, head)
	if err != nil {
		return nil, err
	}
	if state == nil {
		state, err = c.readChunks(ctx, known, head)
		if err != nil {
			return nil, err
		}
	}
	state.Head = head
	state.modRevision = value.ModRevision
	return state, nil
}

// readChanges applies the changes since the known state. It returns nil if they are not
// all kept or do not lead to the index of the head.
func (c *Catalog) readChanges(ctx context.Context, known *State, head Head) (*State, error) {
	if known == nil || known.Head.Revision == 0 {
		return nil, nil
	}
	if known.Head.Index == head.Index {
		return &State{Names: known.Names, Chunks: known.Chunks}, nil
	}
	missing := head.Revision - known.Head.Revision
	if missing < 1 || missing > keptChanges {
		return nil, nil
	}
	var keys []string
	for revision := known.Head.Revision + 1; revision <= head.Revision; revision++ {
		keys = append(keys, c.changeKey(revision))
	}
	values, err := c.kv.GetAll(ctx, keys)
	if err != nil {
		return nil, fmt.Errorf("read changes: %w", err)
	}
	state := known
	for _, value := range values {
		var d delta
		if value.ModRevision == 0 || json.Unmarshal(value.Data, &d) != nil {
			return nil, nil
		}
		if state, err = state.apply(d); err != nil {
			return nil, err
		}
	}
	if indexName(state.Names) != head.Index {
		return nil, nil
	}
	return state, nil
}

// readChunks reads the index and the chunks that are not known.
func (c *Catalog) readChunks(ctx context.Context, known *State, head Head) (*State, error) {
	index, err := c.kv.Get(ctx, c.indexKey(head.Index))
	if err != nil {
		return nil, fmt.Errorf("read index: %w", err)
	}
	if index.ModRevision == 0 {
		return nil, errMoved // A newer head has replaced the index.
	}
	state := &State{Chunks: map[string]json.RawMessage{}}
	if err := json.Unmarshal(index.Data, &state.Names); err != nil {
		return nil, fmt.Errorf("decode index: %w", err)
	}
	var missing, keys []string
	for _, name := range state.Names {
		switch {
		case name == "":
		case known != nil && known.Chunks[name] != nil:
			state.Chunks[name] = known.Chunks[name]
		default:
			missing = append(missing, name)
			keys = append(keys, c.chunkKey(name))
		}
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
			return nil, errMoved
		}
		state.Chunks[name] = values[i].Data
	}
	return state, nil
}

// Entries returns all entries of a state, sorted by key.
func (s *State) Entries() ([]object.Entry, error) {
	var all []object.Entry
	for _, name := range s.Names {
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
	return object.Compile(s.Head.Revision, s.Head.Index, objects)
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
	return slices.Contains(s.Head.Recent, id)
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

// with returns the state after a change, checked as a whole.
func (s *State) with(change Change) (*State, error) {
	byKey, err := s.byKey()
	if err != nil {
		return nil, err
	}
	d := delta{Deletes: change.Deletes}
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
		d.Puts = append(d.Puts, object.Entry{Kind: key.Kind, Revision: revision, Operator: change.Operator, Spec: spec})
	}
	for _, deleted := range change.Deletes {
		if err := checkBase(byKey, object.Key(deleted), change); err != nil {
			return nil, err
		}
	}
	next, err := s.apply(d)
	if err != nil {
		return nil, err
	}
	recent := append([]ChangeID{change.ID}, s.Head.Recent...)
	next.Head = Head{Revision: revision, Index: indexName(next.Names), Recent: recent[:min(len(recent), recentChanges)]}
	next.delta = d
	if _, err := next.Compile(); err != nil {
		return nil, &InvalidError{err}
	}
	return next, nil
}

// byKey returns the entries of a state by their keys.
func (s *State) byKey() (map[object.Key]object.Entry, error) {
	entries, err := s.Entries()
	if err != nil {
		return nil, err
	}
	byKey := make(map[object.Key]object.Entry, len(entries))
	for _, entry := range entries {
		key, err := keyOf(entry)
		if err != nil {
			return nil, err
		}
		byKey[key] = entry
	}
	return byKey, nil
}

func keyOf(entry object.Entry) (object.Key, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(entry.Spec, &named); err != nil {
		return object.Key{}, fmt.Errorf("decode name: %w", err)
	}
	return object.Key{Kind: entry.Kind, Name: named.Name}, nil
}

// apply returns the state after a delta, with only the touched chunks made anew. It does
// not set the head.
func (s *State) apply(d delta) (*State, error) {
	touched := map[int]map[object.Key]object.Entry{}
	chunk := func(key object.Key) (map[object.Key]object.Entry, error) {
		i := chunkOf(key)
		if touched[i] != nil {
			return touched[i], nil
		}
		entries, err := s.chunk(s.Names[i])
		if err != nil {
			return nil, err
		}
		touched[i] = map[object.Key]object.Entry{}
		for _, entry := range entries {
			held, err := keyOf(entry)
			if err != nil {
				return nil, err
			}
			touched[i][held] = entry
		}
		return touched[i], nil
	}
	for _, put := range d.Puts {
		key, err := keyOf(put)
		if err != nil {
			return nil, err
		}
		entries, err := chunk(key)
		if err != nil {
			return nil, err
		}
		entries[key] = put
	}
	for _, deleted := range d.Deletes {
		entries, err := chunk(object.Key(deleted))
		if err != nil {
			return nil, err
		}
		delete(entries, object.Key(deleted))
	}
	return s.replace(touched)
}

// replace returns a state in which some chunks have new entries.
func (s *State) replace(touched map[int]map[object.Key]object.Entry) (*State, error) {
	next := &State{Names: slices.Clone(s.Names), Chunks: maps.Clone(s.Chunks)}
	for i, entries := range touched {
		delete(next.Chunks, next.Names[i])
		next.Names[i] = ""
		if len(entries) == 0 {
			continue
		}
		content, err := encodeChunk(entries)
		if err != nil {
			return nil, err
		}
		next.Names[i] = digestOf(content)
		next.Chunks[next.Names[i]] = content
	}
	return next, nil
}

// encodeChunk returns the content of a chunk, the same for the same entries.
func encodeChunk(entries map[object.Key]object.Entry) (json.RawMessage, error) {
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b object.Key) int { return strings.Compare(a.String(), b.String()) })
	sorted := make([]object.Entry, 0, len(keys))
	for _, key := range keys {
		sorted = append(sorted, entries[key])
	}
	content, err := json.Marshal(sorted)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	return content, nil
}

func indexName(names []string) string { return digestOf([]byte(strings.Join(names, ","))) }

func checkBase(byKey map[object.Key]object.Entry, key object.Key, change Change) error {
	base := change.Base[key.String()]
	current := byKey[key]
	if current.Revision != base {
		return &ConflictError{Object: key, Base: base, Current: current.Revision, Operator: current.Operator}
	}
	return nil
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
