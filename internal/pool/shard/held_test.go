package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// newHeldBench creates a bench whose targets have memory for prompts.
func newHeldBench(t *testing.T, targets, memory int) heldBench {
	b := heldBench{newDiscoveredBench(t, targets, heldSlots)}
	b.configure(targets, memory, nil)
	return b
}

// sendParts sends a request of 3,000 tokens with parts of 1,000 tokens and returns its grant.
func (b heldBench) sendParts(parts ...wire.PrefixHash) Grant {
	_, decisions := b.send("first", func(r *wire.Register) {
		r.PromptTokens, r.Prefixes = heldPromptTokens, parts
		for range parts {
			r.PrefixTokens = append(r.PrefixTokens, 1000)
		}
		r.AnswerWithinMS = heldObjective.Milliseconds()
	})
	return decisions[0].(Grant)
}

func (b heldBench) end(g Grant, f wire.Finish) {
	f.ID, f.Pool = g.ID, testPool
	b.shard.Finish(b.now, f)
}

var completed = wire.Finish{Dispatched: true, Begun: true, Completed: true}

// heldOf returns how many tokens of a prompt with the parts a target is believed to hold.
func (b heldBench) heldOf(name object.TargetName, parts ...wire.PrefixHash) int64 {
	tokens, _ := b.shard.targets[name].held.leading(parts)
	return tokens
}

// TestHeldPartsAreForgotten guards against counting on parts of prompts that a target has never read, or
// has lost.
func TestHeldPartsAreForgotten(t *testing.T) {
	rows := []struct {
		name   string
		change func(heldBench, Grant)
		want   int64
	}{
		{"completed", func(b heldBench, g Grant) { b.end(g, completed) }, 2000},
		{"broken off after its first events", func(b heldBench, g Grant) {
			b.end(g, wire.Finish{Dispatched: true, Begun: true, Broken: true, Failed: true})
		}, 2000},
		{"suspended", func(b heldBench, g Grant) { b.end(g, wire.Finish{Dispatched: true, Suspended: true}) }, 2000},
		{"failed before its first event", func(b heldBench, g Grant) { b.end(g, wire.Finish{Dispatched: true, Broken: true, Failed: true}) }, 0},
		{"grant not used", func(b heldBench, g Grant) { b.end(g, wire.Finish{}) }, 0},
		{"rejected", func(b heldBench, g Grant) { b.end(g, wire.Finish{Dispatched: true, Rejected: true}) }, 0},
		{"withdrawn", func(b heldBench, g Grant) { b.shard.Withdraw(b.now, g.ID) }, 0},
		{"target unreachable for another request", func(b heldBench, g Grant) {
			other := b.sendParts(7)
			b.end(g, completed)
			b.end(other, wire.Finish{Unreachable: true})
		}, 0},
		{"target restarted", func(b heldBench, g Grant) {
			b.end(g, completed)
			b.configure(1, heldMemoryTokens, map[object.TargetName]int64{g.Target: 5})
		}, 0},
		{"target restarted while it ran", func(b heldBench, g Grant) {
			b.configure(1, heldMemoryTokens, map[object.TargetName]int64{g.Target: 5})
			b.end(g, completed)
		}, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newHeldBench(t, 1, heldMemoryTokens)
			g := b.sendParts(1, 2)
			row.change(b, g)
			require.Equal(t, row.want, b.heldOf(g.Target, 1, 2))
		})
	}
}

// TestLeastRecentlyUsedPartsAreEvicted guards against counting on parts that did not fit into the memory of
// the target, and on parts without those before them.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	b := newHeldBench(t, 1, 7500)
	for _, parts := range [][]wire.PrefixHash{{1, 2, 3}, {4, 5, 6}, {1}, {7}} {
		b.end(b.sendParts(parts...), completed)
	}
	require.EqualValues(t, 2000, b.heldOf("engine-1", 4, 5, 6), "the memory of a request of 3,000 tokens was needed")
	require.EqualValues(t, 1000, b.heldOf("engine-1", 1, 2, 3))
	require.EqualValues(t, 0, b.heldOf("engine-1", 2, 1), "the first part is not held")
	require.LessOrEqual(t, b.shard.targets["engine-1"].held.tokens, int64(4500))
}

// TestHeldPartsDoNotUseTheMemoryOfRunningRequests guards against placements that count on memory which the
// running requests, or the placed one, need.
func TestHeldPartsDoNotUseTheMemoryOfRunningRequests(t *testing.T) {
	b := newHeldBench(t, 1, 7000)
	b.end(b.sendParts(1, 2, 3), completed)
	first := b.sendParts()
	require.EqualValues(t, 3000, b.heldOf(first.Target, 1, 2, 3))
	b.sendParts()
	require.EqualValues(t, 1000, b.heldOf(first.Target, 1, 2, 3), "the running requests leave 1,000 tokens")
	c := b.shard.targets[first.Target]
	q := &request{Register: wire.Register{PromptTokens: 3000, Prefixes: []wire.PrefixHash{1}, PrefixTokens: []int{1000}}, estimatedTokens: 3000}
	require.Zero(t, c.heldTokens(q), "the request does not fit beside the running ones")
}

// TestRememberedPartsAreBounded guards against memory that grows with the number of prompts.
func TestRememberedPartsAreBounded(t *testing.T) {
	h := heldParts{memoryTokens: 1_000_000, maxParts: 10}
	for i := range 1000 {
		h.add([]wire.PrefixHash{wire.PrefixHash(i), wire.PrefixHash(i + 5000)}, []int{0, 0})
		h.trim(0)
	}
	require.Len(t, h.elements, 10)
	require.Equal(t, 10, h.recent.Len())
}

// TestImplausiblePartsAreIgnored guards against sizes that would evict everything from the model of a
// target, or break it: the rule without sizes applies.
func TestImplausiblePartsAreIgnored(t *testing.T) {
	rows := []struct {
		name   string
		parts  int
		tokens []int
	}{
		{"fewer sizes than parts", 2, []int{10}},
		{"more sizes than parts", 1, []int{10, 10}},
		{"negative", 2, []int{10, -1}},
		{"more than the prompt", 2, []int{2000, 1001}},
		{"overflow", 2, []int{1 << 62, 1 << 62}},
		{"too many parts", wire.MaxPrefixParts + 1, make([]int, wire.MaxPrefixParts+1)},
		{"none", 0, nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newHeldBench(t, 1, heldMemoryTokens)
			id, _ := b.send("first", func(r *wire.Register) {
				r.PromptTokens, r.Prefixes, r.PrefixTokens = heldPromptTokens, make([]wire.PrefixHash, row.parts), row.tokens
			})
			require.Nil(t, b.shard.requests[id].PrefixTokens)
			require.Empty(t, b.shard.targets["engine-1"].held.elements)
		})
	}
}

// TestHeldPromptIsWeighedAgainstTheWait guards against targets that are chosen for what they hold although
// the answer begins later there, or that may not be used.
func TestHeldPromptIsWeighedAgainstTheWait(t *testing.T) {
	const saved = 2000 * defaultPromptTokenUS * time.Microsecond
	rows := []struct {
		name   string
		change func(heldBench, *target)
		want   object.TargetName
	}{
		{"holds the prefix", func(heldBench, *target) {}, "engine-2"},
		{"waits less than it saves", func(b heldBench, c *target) { c.prefillUntil = b.now.Add(saved - minHeldGain) }, "engine-2"},
		{"waits as long as it saves", func(b heldBench, c *target) { c.prefillUntil = b.now.Add(saved) }, "engine-1"},
		{"busier", func(b heldBench, c *target) { c.inFlight = heldSlots - 1; b.shard.updateReady(c) }, "engine-2"},
		{"full", func(b heldBench, c *target) { c.inFlight = heldSlots; b.shard.updateReady(c) }, "engine-1"},
		{"leaves", func(b heldBench, c *target) { c.closed = true; b.shard.updateReady(c) }, "engine-1"},
		{"runs others with the prefix", func(_ heldBench, c *target) {
			for _, e := range c.held.elements {
				e.Value.(*heldPart).users = heldSlots / 2
			}
		}, "engine-1"},
		{"memory unknown", func(b heldBench, _ *target) { b.configure(3, 0, nil) }, "engine-1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newHeldBench(t, 3, heldMemoryTokens)
			c := b.shard.targets["engine-2"]
			c.held.add([]wire.PrefixHash{1, 2}, []int{1000, 1000})
			c.held.release([]wire.PrefixHash{1, 2})
			row.change(b, c)
			require.Equal(t, row.want, b.sendParts(1, 2).Target)
		})
	}
}

// TestHeldTokensAreCounted guards against counters that miss held tokens, and against measurements of the
// reading speed that count tokens which were not read.
func TestHeldTokensAreCounted(t *testing.T) {
	b := newHeldBench(t, 2, heldMemoryTokens)
	read := completed
	read.PromptTokens, read.FirstTokenMS, read.DecodeUS = heldPromptTokens, 60, 4000
	b.end(b.sendParts(1, 2), read)
	speed := b.shard.speeds.promptTokenUS
	require.Positive(t, speed)
	b.sendParts(9)
	b.advance(100 * time.Millisecond)
	held := b.sendParts(1, 2)
	require.Equal(t, targetName(0), held.Target)
	counts := b.shard.TakeCounts()["first"]
	require.Equal(t, 2000, counts.HeldTokens)
	require.Equal(t, 1, counts.BusierForHeld)
	read.FirstTokenMS = 20
	b.end(held, read)
	require.Equal(t, speed, b.shard.speeds.promptTokenUS)
}
