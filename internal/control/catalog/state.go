package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

// State is a complete configuration in its stored form.
type State struct {
	Head Head `json:"head"`
	// Names holds the name of each chunk by its number; an empty name stands for an empty chunk.
	Names []string `json:"names"`
	// Chunks holds the content of each chunk by name.
	Chunks map[string]json.RawMessage `json:"chunks"`

	modRevision store.Position
	// delta is the last change, if this process made it.
	delta delta
}

// delta is the difference between two revisions.
type delta struct {
	Puts    []object.Entry `json:"puts,omitempty"`
	Deletes []DeleteEntry  `json:"deletes,omitempty"`
}

// Entries returns all entries of a state, grouped by chunk and sorted by key in each chunk.
func (s *State) Entries() ([]object.Entry, error) {
	var all []object.Entry
	for _, name := range s.Names {
		entries, err := s.chunkEntries(name)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

func (s *State) chunkEntries(name string) ([]object.Entry, error) {
	if name == "" {
		return nil, nil
	}
	var entries []object.Entry
	if err := json.Unmarshal(s.Chunks[name], &entries); err != nil {
		return nil, fmt.Errorf("decode chunk %s: %w", name, err)
	}
	return entries, nil
}

// Compile validates a state and returns its snapshot.
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

// hasAccepted reports whether a change is among the latest accepted ones.
func (s *State) hasAccepted(id ChangeID) bool {
	return slices.Contains(s.Head.Recent, id)
}

// withChange returns the state after a change. It returns a *ConflictError if the change is not
// based on the current revisions, or an *InvalidError if the new state would be invalid.
func (s *State) withChange(change Change) (*State, error) {
	byKey, err := s.entriesByKey()
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
	next.Head = Head{Revision: revision, Index: indexName(next.Names), Recent: recent[:min(len(recent), maxRecentChangeIDs)]}
	next.delta = d
	if _, err := next.Compile(); err != nil {
		return nil, &InvalidError{err}
	}
	return next, nil
}

// entriesByKey returns the entries of a state by key.
func (s *State) entriesByKey() (map[object.Key]object.Entry, error) {
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

// apply returns the state after a delta. It encodes only the chunks that the delta changes and
// does not set the head.
func (s *State) apply(d delta) (*State, error) {
	changed := map[int]map[object.Key]object.Entry{}
	entriesFor := func(key object.Key) (map[object.Key]object.Entry, error) {
		i := chunkNumber(key)
		if changed[i] != nil {
			return changed[i], nil
		}
		entries, err := s.chunkEntries(s.Names[i])
		if err != nil {
			return nil, err
		}
		changed[i] = map[object.Key]object.Entry{}
		for _, entry := range entries {
			entryKey, err := keyOf(entry)
			if err != nil {
				return nil, err
			}
			changed[i][entryKey] = entry
		}
		return changed[i], nil
	}
	for _, put := range d.Puts {
		key, err := keyOf(put)
		if err != nil {
			return nil, err
		}
		entries, err := entriesFor(key)
		if err != nil {
			return nil, err
		}
		entries[key] = put
	}
	for _, deleted := range d.Deletes {
		entries, err := entriesFor(object.Key(deleted))
		if err != nil {
			return nil, err
		}
		delete(entries, object.Key(deleted))
	}
	return s.withChunks(changed)
}

// withChunks returns a copy of the state in which the given chunks have new entries.
func (s *State) withChunks(changed map[int]map[object.Key]object.Entry) (*State, error) {
	next := &State{Names: slices.Clone(s.Names), Chunks: maps.Clone(s.Chunks)}
	for i, entries := range changed {
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

// encodeChunk returns the content of a chunk. The entries are sorted so that equal entries have equal
// content, because the name of a chunk is the digest of its content.
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

// checkBase returns a *ConflictError if an object is not at the revision on which the change is
// based.
func checkBase(byKey map[object.Key]object.Entry, key object.Key, change Change) error {
	base := change.Base[key.String()]
	current := byKey[key]
	if current.Revision != base {
		return &ConflictError{Object: key, Base: base, Current: current.Revision, Operator: current.Operator}
	}
	return nil
}

// chunkNumber returns the number of the chunk that contains the key.
func chunkNumber(key object.Key) int {
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
