package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Read returns the current state. What known holds is not read again.
func (c *Catalog) Read(ctx context.Context, known *State) (*State, error) {
	var err error
	for range readAttempts {
		var state *State
		state, err = c.readOnce(ctx, known)
		if !errors.Is(err, errMoved) {
			return state, err
		}
	}
	return nil, fmt.Errorf("read configuration: %w", err)
}

// readAttempts bounds the tries to read while the configuration is being changed.
const readAttempts = 10

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
