package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// newCacheBench creates a bench whose targets have memory for prompts.
func newCacheBench(t *testing.T, targets, memory int) cacheBench {
	b := cacheBench{newDiscoveredBench(t, targets, cacheSlots)}
	b.configure(targets, memory, nil)
	return b
}

// sendParts sends a request of 3,000 tokens with parts of 1,000 tokens and returns its grant.
func (b cacheBench) sendParts(parts ...wire.PrefixHash) Grant {
	_, decisions := b.send("first", func(r *wire.Register) {
		r.PromptTokens, r.Prefixes = cachePromptTokens, parts
		for range parts {
			r.PrefixTokens = append(r.PrefixTokens, 1000)
		}
		r.AnswerWithinMS = cacheObjective.Milliseconds()
	})
	return decisions[0].(Grant)
}

func (b cacheBench) end(g Grant, f wire.Finish) {
	f.ID, f.Pool = g.ID, testPool
	b.shard.Finish(b.now, f)
}

var completed = wire.Finish{Dispatched: true, Begun: true, Completed: true}

// cachedAt returns how many tokens of a prompt with the parts a target is believed to hold.
func (b cacheBench) cachedAt(name object.TargetName, parts ...wire.PrefixHash) int64 {
	tokens, _ := b.shard.targets[name].cache.leading(parts)
	return tokens
}

// TestCachedPartsAreForgotten guards against counting on parts of prompts that a target has never read, or
// has lost.
func TestCachedPartsAreForgotten(t *testing.T) {
	rows := []struct {
		name   string
		change func(cacheBench, Grant)
		want   int64
	}{
		{"completed", func(b cacheBench, g Grant) { b.end(g, completed) }, 2000},
		{"broken off after its first events", func(b cacheBench, g Grant) {
			b.end(g, wire.Finish{Dispatched: true, Begun: true, Broken: true, Failed: true})
		}, 2000},
		{"failed before its first event", func(b cacheBench, g Grant) { b.end(g, wire.Finish{Dispatched: true, Broken: true, Failed: true}) }, 0},
		{"grant not used", func(b cacheBench, g Grant) { b.end(g, wire.Finish{}) }, 0},
		{"rejected", func(b cacheBench, g Grant) { b.end(g, wire.Finish{Dispatched: true, Rejected: true}) }, 0},
		{"withdrawn", func(b cacheBench, g Grant) { b.shard.Withdraw(b.now, g.ID) }, 0},
		{"target unreachable for another request", func(b cacheBench, g Grant) {
			other := b.sendParts(7)
			b.end(g, completed)
			b.end(other, wire.Finish{Unreachable: true})
		}, 0},
		{"target restarted", func(b cacheBench, g Grant) {
			b.end(g, completed)
			b.configure(1, cacheMemoryTokens, map[object.TargetName]int64{g.Target: 5})
		}, 0},
		{"target restarted while it ran", func(b cacheBench, g Grant) {
			b.configure(1, cacheMemoryTokens, map[object.TargetName]int64{g.Target: 5})
			b.end(g, completed)
		}, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newCacheBench(t, 1, cacheMemoryTokens)
			g := b.sendParts(1, 2)
			row.change(b, g)
			require.Equal(t, row.want, b.cachedAt(g.Target, 1, 2))
		})
	}
}

// TestLeastRecentlyUsedPartsAreEvicted guards against counting on parts that did not fit into the memory of
// the target, and on parts without those before them.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	b := newCacheBench(t, 1, 7500)
	for _, parts := range [][]wire.PrefixHash{{1, 2, 3}, {4, 5, 6}, {1}, {7}} {
		b.end(b.sendParts(parts...), completed)
	}
	require.EqualValues(t, 2000, b.cachedAt("engine-1", 4, 5, 6), "the memory of a request of 3,000 tokens was needed")
	require.EqualValues(t, 1000, b.cachedAt("engine-1", 1, 2, 3))
	require.EqualValues(t, 0, b.cachedAt("engine-1", 2, 1), "the first part is not held")
	require.LessOrEqual(t, b.shard.targets["engine-1"].cache.tokens, int64(4500))
}

// TestCachedPartsDoNotUseTheMemoryOfRunningRequests guards against placements that count on memory which the
// running requests, or the placed one, need.
func TestCachedPartsDoNotUseTheMemoryOfRunningRequests(t *testing.T) {
	b := newCacheBench(t, 1, 7000)
	b.end(b.sendParts(1, 2, 3), completed)
	first := b.sendParts()
	require.EqualValues(t, 3000, b.cachedAt(first.Target, 1, 2, 3))
	b.sendParts()
	require.EqualValues(t, 1000, b.cachedAt(first.Target, 1, 2, 3), "the running requests leave 1,000 tokens")
	c := b.shard.targets[first.Target]
	q := &request{Register: wire.Register{PromptTokens: 3000, Prefixes: []wire.PrefixHash{1}, PrefixTokens: []int{1000}}, estimatedTokens: 3000}
	require.Zero(t, c.cachedTokens(q), "the request does not fit beside the running ones")
}

// TestRememberedPartsAreBounded guards against memory that grows with the number of prompts.
func TestRememberedPartsAreBounded(t *testing.T) {
	c := promptCache{memoryTokens: 1_000_000, maxParts: 10}
	for i := range 1000 {
		c.add([]wire.PrefixHash{wire.PrefixHash(i), wire.PrefixHash(i + 5000)}, []int{0, 0})
		c.trim(0)
	}
	require.Len(t, c.elements, 10)
	require.Equal(t, 10, c.recent.Len())
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
			b := newCacheBench(t, 1, cacheMemoryTokens)
			id, _ := b.send("first", func(r *wire.Register) {
				r.PromptTokens, r.Prefixes, r.PrefixTokens = cachePromptTokens, make([]wire.PrefixHash, row.parts), row.tokens
			})
			require.Nil(t, b.shard.requests[id].PrefixTokens)
			require.Empty(t, b.shard.targets["engine-1"].cache.elements)
		})
	}
}

// TestCachedPromptIsWeighedAgainstTheWait guards against targets that are chosen for what they hold although
// the answer begins later there, or that may not be used.
func TestCachedPromptIsWeighedAgainstTheWait(t *testing.T) {
	const saved = 2000 * defaultPromptTokenUS * time.Microsecond
	rows := []struct {
		name   string
		change func(cacheBench, *target)
		want   object.TargetName
	}{
		{"holds the prefix", func(cacheBench, *target) {}, "engine-2"},
		{"waits less than it saves", func(b cacheBench, c *target) { c.prefillUntil = b.now.Add(saved - minCacheGain) }, "engine-2"},
		{"waits as long as it saves", func(b cacheBench, c *target) { c.prefillUntil = b.now.Add(saved) }, "engine-1"},
		{"busier", func(b cacheBench, c *target) { c.inFlight = cacheSlots - 1; b.shard.updateReady(c) }, "engine-2"},
		{"full", func(b cacheBench, c *target) { c.inFlight = cacheSlots; b.shard.updateReady(c) }, "engine-1"},
		{"leaves", func(b cacheBench, c *target) { c.closed = true; b.shard.updateReady(c) }, "engine-1"},
		{"runs others with the prefix", func(_ cacheBench, c *target) {
			for _, e := range c.cache.elements {
				e.Value.(*cachedPart).users = cacheSlots / 2
			}
		}, "engine-1"},
		{"memory unknown", func(b cacheBench, _ *target) { b.configure(3, 0, nil) }, "engine-1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newCacheBench(t, 3, cacheMemoryTokens)
			c := b.shard.targets["engine-2"]
			c.cache.add([]wire.PrefixHash{1, 2}, []int{1000, 1000})
			c.cache.release([]wire.PrefixHash{1, 2})
			row.change(b, c)
			require.Equal(t, row.want, b.sendParts(1, 2).Target)
		})
	}
}

// TestCachedTokensAreCounted guards against counters that miss held tokens, and against measurements of the
// reading speed that count tokens which were not read.
func TestCachedTokensAreCounted(t *testing.T) {
	b := newCacheBench(t, 2, cacheMemoryTokens)
	read := completed
	read.PromptTokens, read.FirstTokenMS, read.DecodeUS = cachePromptTokens, 60, 4000
	b.end(b.sendParts(1, 2), read)
	speed := b.shard.speeds.promptTokenUS
	require.Positive(t, speed)
	b.sendParts(9)
	b.advance(100 * time.Millisecond)
	held := b.sendParts(1, 2)
	require.Equal(t, targetName(0), held.Target)
	counts := b.shard.TakeCounts()["first"]
	require.Equal(t, 2000, counts.CachedTokens)
	require.Equal(t, 1, counts.BusierForCache)
	read.FirstTokenMS = 20
	b.end(held, read)
	require.Equal(t, speed, b.shard.speeds.promptTokenUS)
}
