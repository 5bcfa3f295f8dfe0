package capacity

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"time"

	"redwinglock/internal/control/catalog"
	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/peer/body"
	"redwinglock/internal/platform/store"
	standinengine "redwinglock/internal/standin/engine"
	standinstore "redwinglock/internal/standin/store"
	"redwinglock/internal/state/object"
)

func accountMemory(size int) (float64, error) { return snapshotMemory(1, size) }
func targetMemory(size int) (float64, error)  { return snapshotMemory(size, 1) }

// snapshotMemory returns the memory of a compiled configuration.
func snapshotMemory(targetCount, accountCount int) (float64, error) {
	var failed error
	value := heapGrowth(func() any {
		snapshot, err := newSnapshot(targetCount, accountCount)
		failed = err
		return snapshot
	})
	return value, failed
}

func compileCPU(size int) (float64, error) {
	state, _, err := publish(size)
	if err != nil {
		return 0, err
	}
	before := cpuTime()
	if _, err := state.Compile(); err != nil {
		return 0, err
	}
	return float64((cpuTime() - before).Microseconds()), nil
}

// changeBytes returns the bytes that a follower reads from the store for a change of one
// object.
func changeBytes(size int) (float64, error) {
	_, bytes, err := publish(size)
	return float64(bytes.change), err
}

// pollBytes returns the bytes that a follower reads from the store if nothing has changed.
func pollBytes(size int) (float64, error) {
	_, bytes, err := publish(size)
	return float64(bytes.poll), err
}

// readBytes are the bytes that a follower reads for a change and for a poll without a change.
type readBytes struct {
	change int
	poll   int
}

// countingKV counts the bytes of the values that are read.
type countingKV struct {
	store.KV
	bytes int
}

// Get implements store.KV.
func (c *countingKV) Get(ctx context.Context, key string) (store.Value, error) {
	value, err := c.KV.Get(ctx, key)
	c.bytes += len(value.Data)
	return value, err
}

// GetAll implements store.KV.
func (c *countingKV) GetAll(ctx context.Context, keys []string) ([]store.Value, error) {
	values, err := c.KV.GetAll(ctx, keys)
	for _, value := range values {
		c.bytes += len(value.Data)
	}
	return values, err
}

// publish stores a configuration of the given number of objects and changes one of them. It
// returns the state and the bytes that a follower reads.
func publish(size int) (*catalog.State, readBytes, error) {
	var read readBytes
	server := httptest.NewServer(standinstore.New())
	defer server.Close()
	kv := &countingKV{KV: store.NewEtcd([]string{server.URL}, 10*time.Second)}
	c := catalog.New(kv, "/bench/")
	objects, err := newObjects(size*targets/(targets+accounts), size*accounts/(targets+accounts))
	if err != nil {
		return nil, read, err
	}
	ctx := context.Background()
	change := catalog.Change{ID: "first", Operator: "bench"}
	for _, o := range objects {
		spec, err := object.Encode(o)
		if err != nil {
			return nil, read, err
		}
		change.Puts = append(change.Puts, object.Entry{Kind: object.KeyOf(o).Kind, Spec: spec})
	}
	if _, err := c.Publish(ctx, change); err != nil {
		return nil, read, err
	}
	if err := fillHead(ctx, c); err != nil {
		return nil, read, err
	}
	previous, err := c.Read(ctx, nil)
	if err != nil {
		return nil, read, err
	}
	changed := &object.Target{Name: "engine-0", Pool: poolName, Zone: "zone-0", Address: "http://10.9.9.9:8000", Slots: 1}
	spec, err := object.Encode(changed)
	if err != nil {
		return nil, read, err
	}
	_, err = c.Publish(ctx, catalog.Change{
		ID: "second", Operator: "bench", Puts: []object.Entry{{Kind: object.KindTarget, Spec: spec}},
		Base: map[string]object.Revision{"target/engine-0": 1},
	})
	if err != nil {
		return nil, read, err
	}
	kv.bytes = 0
	state, err := c.Read(ctx, previous)
	if err != nil {
		return nil, read, err
	}
	read.change = kv.bytes
	kv.bytes = 0
	_, err = c.Read(ctx, state)
	read.poll = kv.bytes
	return state, read, err
}

// fillerChanges is more than the number of change ids that the head stores.
const fillerChanges = 20

// fillHead publishes changes until the head has its maximum size. The change ids have the
// same length as those of the command line.
func fillHead(ctx context.Context, c *catalog.Catalog) error {
	for i := range fillerChanges {
		account := &object.Account{
			Name: object.AccountName(fmt.Sprint("filler-", i)), Tiers: []object.TierName{"urgent"},
			KeyHashes: []string{object.HashKey(fmt.Sprint("filler", i))},
		}
		spec, err := object.Encode(account)
		if err != nil {
			return err
		}
		change := catalog.Change{ID: catalog.ChangeID(rand.Text()), Puts: []object.Entry{{Kind: object.KindAccount, Spec: spec}}}
		if _, err := c.Publish(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// streamCPU returns the processor time to read the tokens of one stream. This is an upper
// bound, because the engine stand-in that sends them runs in the same process.
func streamCPU(tokens int) (float64, error) {
	server := httptest.NewServer(standinengine.New(standinengine.Settings{}))
	defer server.Close()
	client := engine.New(body.NewBudget(0, 1), func() {})
	before := cpuTime()
	body := fmt.Appendf(nil, `{"model":"m","max_tokens":%d,"prompt":"x"}`, tokens)
	stream, err := client.Open(context.Background(), engine.Call{
		ID: "bench", Address: server.URL, Path: "/v1/completions", Body: body, IdleTimeout: 10 * time.Second, SilenceTimeout: 10 * time.Second,
	}, func() bool { return true })
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	assembler := engine.NewAssembler(false)
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, err
		}
		if err := assembler.Count(event); err != nil {
			return 0, err
		}
	}
	if assembler.Tokens != tokens {
		return 0, fmt.Errorf("stream has %d tokens, expected %d", assembler.Tokens, tokens)
	}
	return float64((cpuTime() - before).Microseconds()), client.Close()
}
