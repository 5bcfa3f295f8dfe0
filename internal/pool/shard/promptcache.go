package shard

import (
	"container/list"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/object"
)

const (
	// maxCachedParts bounds the parts of prompts that are remembered for all targets of a pool together.
	maxCachedParts = 32768
	// minCachedPartsOfTarget is the number of parts that are remembered for each target in large pools.
	minCachedPartsOfTarget = 16
	// minCacheGain is the least time by which held tokens must make an answer begin earlier to change the
	// target of a request. A smaller gain is not worth a new connection.
	minCacheGain = newConnectionCost
)

// cachedPart is a part of a prompt in the memory of a target.
type cachedPart struct {
	hash   wire.PrefixHash
	tokens int64
	// users is the number of running requests whose prompts have the part.
	users int
}

// promptCache models which parts of prompts a target holds. It evicts the least recently used ones.
type promptCache struct {
	elements map[wire.PrefixHash]*list.Element
	recent   *list.List // Values are *cachedPart, most recent first.
	tokens   int64
	// memoryTokens is the memory of the target, 0 if unknown. maxParts bounds the number of parts.
	memoryTokens int64
	maxParts     int
}

// clear forgets all parts.
func (c *promptCache) clear() { c.elements, c.recent, c.tokens = nil, nil, 0 }

// leading returns the sizes of the given parts up to the first that is not held, and the users of the last
// of them.
func (c *promptCache) leading(hashes []wire.PrefixHash) (tokens int64, users int) {
	for _, hash := range hashes {
		element := c.elements[hash]
		if element == nil {
			break
		}
		part := element.Value.(*cachedPart)
		tokens += part.tokens
		users = part.users
	}
	return tokens, users
}

// add records the parts of a prompt as just used and returns those that are new. The first part becomes
// the most recent one, because later parts are useless without it.
func (c *promptCache) add(hashes []wire.PrefixHash, tokens []int) []wire.PrefixHash {
	if c.elements == nil {
		c.elements, c.recent = map[wire.PrefixHash]*list.Element{}, list.New()
	}
	var added []wire.PrefixHash
	for i := len(hashes) - 1; i >= 0; i-- {
		if element := c.elements[hashes[i]]; element != nil {
			element.Value.(*cachedPart).users++
			c.recent.MoveToFront(element)
			continue
		}
		part := &cachedPart{hash: hashes[i], tokens: int64(tokens[i]), users: 1}
		c.elements[part.hash] = c.recent.PushFront(part)
		c.tokens += part.tokens
		added = append(added, part.hash)
	}
	return added
}

// release records that a running request has ended. Parts that were forgotten meanwhile have no users.
func (c *promptCache) release(hashes []wire.PrefixHash) {
	for _, hash := range hashes {
		if element := c.elements[hash]; element != nil {
			part := element.Value.(*cachedPart)
			part.users = max(part.users-1, 0)
		}
	}
}

// remove forgets a part.
func (c *promptCache) remove(hash wire.PrefixHash) {
	element := c.elements[hash]
	if element == nil {
		return
	}
	c.tokens -= c.recent.Remove(element).(*cachedPart).tokens
	delete(c.elements, hash)
}

// trim evicts parts until the others fit into the memory that running requests leave.
func (c *promptCache) trim(runningTokens int64) {
	for len(c.elements) > 0 && (c.tokens > c.memoryTokens-runningTokens || len(c.elements) > c.maxParts) {
		c.remove(c.recent.Back().Value.(*cachedPart).hash)
	}
}

// configureCache sets the bounds of what the target is believed to hold.
func (t *target) configureCache(view *object.PoolView) {
	t.cache.memoryTokens = int64(view.MemoryTokens)
	t.cache.maxParts = max(maxCachedParts/max(len(view.Targets), 1), minCachedPartsOfTarget)
	t.cache.trim(t.tokens)
}

// hasPrefixTokens reports whether the sizes of the parts of a prompt are known and plausible. Parts that
// exceed the prompt would evict from the model what the target really holds.
func hasPrefixTokens(r *wire.Register) bool {
	if len(r.PrefixTokens) != len(r.Prefixes) || len(r.Prefixes) > wire.MaxPrefixParts {
		return false
	}
	left := r.PromptTokens
	for _, n := range r.PrefixTokens {
		if n < 0 || n > left {
			return false
		}
		left -= n
	}
	return len(r.PrefixTokens) > 0
}

// tracksCache reports whether what the target holds of the prompt can be known.
func (t *target) tracksCache(q *request) bool {
	return t.engine && t.cache.memoryTokens > 0 && len(q.PrefixTokens) > 0
}

// cachedTokens returns how many tokens of the prompt the target need not read again. Nothing counts as
// held if the request and the running ones need the whole memory.
func (t *target) cachedTokens(q *request) int {
	if !t.tracksCache(q) || t.tokens+q.estimatedTokens > t.cache.memoryTokens {
		return 0
	}
	tokens, _ := t.cache.leading(q.Prefixes)
	return int(min(tokens, int64(q.PromptTokens)))
}

// holdPrompt records that the target is about to read the prompt of a request.
func (t *target) holdPrompt(q *request) {
	if t.tracksCache(q) {
		q.newParts = t.cache.add(q.Prefixes, q.PrefixTokens)
	}
}

// recordRead corrects what the target holds after a request has ended. A target that cannot be reached
// may have restarted, so all of its parts are forgotten. A request without an answer may not have been
// read.
func (t *target) recordRead(q *request, f wire.Finish) {
	switch {
	case f.Unreachable:
		t.cache.clear()
	case !f.HasBegun() && !f.Completed:
		t.forgetNewParts(q)
	}
}

// forgetNewParts forgets the parts of a prompt that were recorded at its grant.
func (t *target) forgetNewParts(q *request) {
	for _, hash := range q.newParts {
		t.cache.remove(hash)
	}
	q.newParts = nil
}

// countCached counts the prompt tokens that the granted target is expected to hold.
func (s *Shard) countCached(q *request, t *target) {
	q.cachedTokens = t.cachedTokens(q)
	c := s.countsOf(q.tier.class)
	c.CachedTokens += q.cachedTokens
	if q.busierForCache {
		c.BusierForCache++
	}
}

// isShared reports whether half of the target's slots run requests with the same held parts. A prefix
// that is so frequent is worth reading at other targets, too: otherwise requests with it fill one target
// after another.
func (t *target) isShared(q *request) bool {
	_, users := t.cache.leading(q.Prefixes)
	return 2*users >= max(t.slots(), 2)
}

// preferCached returns the target at which held prompt tokens make the answer begin earliest, compared with
// the given target, or the given one if none gains at least minCacheGain.
func (s *Shard) preferCached(now time.Time, q *request, side trial.Side, otherwise *target) *target {
	q.busierForCache = false
	if !s.startsInTime(now, q, otherwise) || otherwise.tooSlow(now, q) {
		return otherwise
	}
	cachedAnyway := otherwise.cachedTokens(q)
	best, bestGain := otherwise, minCacheGain
	for _, t := range s.ready.all() {
		if t.cachedTokens(q) <= cachedAnyway || t.isShared(q) || !s.mayServe(t, side) || q.avoids(t) {
			continue
		}
		gain := s.cacheGain(now, q, t, otherwise)
		if gain < bestGain || gain == bestGain && best != otherwise && !lessLoaded(t, best) {
			continue
		}
		if t.tooSlow(now, q) || !s.startsInTime(now, q, t) || s.answerStart(now, q, t).After(s.answerStart(now, q, otherwise)) {
			continue
		}
		best, bestGain = t, gain
	}
	q.busierForCache = best.load() > otherwise.load()
	return best
}

// cacheGain returns the time saved by what a target holds, less the time waited there, compared with
// another target. The speed of the targets alone is no gain: otherwise the fastest of all holders of a
// frequent prefix would get all requests with it.
func (s *Shard) cacheGain(now time.Time, q *request, t, other *target) time.Duration {
	saved := s.speeds.readTime(t, t.cachedTokens(q)) - s.speeds.readTime(other, other.cachedTokens(q))
	return saved - (t.readingWait(now) - other.readingWait(now))
}

// readingWait returns how long the target still reads the prompts of earlier requests.
func (t *target) readingWait(now time.Time) time.Duration { return max(t.prefillUntil.Sub(now), 0) }
