package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Read returns the current state. Chunks that cached contains are not read again; cached may be
// nil.
func (c *Catalog) Read(ctx context.Context, cached *State) (*State, error) {
	var err error
	for range readAttempts {
		var state *State
		state, err = c.readOnce(ctx, cached)
		if !errors.Is(err, errConcurrentChange) {
			return state, err
		}
	}
	return nil, fmt.Errorf("read configuration: %w", err)
}

// readAttempts bounds the attempts to read while the configuration is being changed.
const readAttempts = 10

func (c *Catalog) readOnce(ctx context.Context, cached *State) (*State, error) {
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
	state, err := c.readChanges(ctx, cached, head)
	if err != nil {
		return nil, err
	}
	if state == nil {
		state, err = c.readChunks(ctx, cached, head)
		if err != nil {
			return nil, err
		}
	}
	state.Head = head
	state.modRevision = value.ModRevision
	return state, nil
}

// readChanges applies the changes since the cached state. It returns nil if some of them are not
// stored or if they do not result in the index of the head.
func (c *Catalog) readChanges(ctx context.Context, cached *State, head Head) (*State, error) {
	if cached == nil || cached.Head.Revision == 0 {
		return nil, nil
	}
	if cached.Head.Index == head.Index {
		return &State{Names: cached.Names, Chunks: cached.Chunks}, nil
	}
	missing := head.Revision - cached.Head.Revision
	if missing < 1 || missing > retainedChanges {
		return nil, nil
	}
	var keys []string
	for revision := cached.Head.Revision + 1; revision <= head.Revision; revision++ {
		keys = append(keys, c.changeKey(revision))
	}
	values, err := c.kv.GetAll(ctx, keys)
	if err != nil {
		return nil, fmt.Errorf("read changes: %w", err)
	}
	state := cached
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

// readChunks reads the index and the chunks that are not cached.
func (c *Catalog) readChunks(ctx context.Context, cached *State, head Head) (*State, error) {
	index, err := c.kv.Get(ctx, c.indexKey(head.Index))
	if err != nil {
		return nil, fmt.Errorf("read index: %w", err)
	}
	if index.ModRevision == 0 {
		return nil, errConcurrentChange // A newer head has replaced the index.
	}
	state := &State{Chunks: map[string]json.RawMessage{}}
	if err := json.Unmarshal(index.Data, &state.Names); err != nil {
		return nil, fmt.Errorf("decode index: %w", err)
	}
	var missing, keys []string
	for _, name := range state.Names {
		switch {
		case name == "":
		case cached != nil && cached.Chunks[name] != nil:
			state.Chunks[name] = cached.Chunks[name]
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
			return nil, errConcurrentChange
		}
		state.Chunks[name] = values[i].Data
	}
	return state, nil
}
