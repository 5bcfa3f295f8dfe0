package shard

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// Prompts and memory resemble those of deployment B.
const (
	cacheSlots        = 4
	cachePromptTokens = 3000
	cacheOutputTokens = 54
	cacheMemoryTokens = 217_594
	cacheObjective    = 800 * time.Millisecond
)

// cachingEngine simulates an engine that holds prompts. Its order of eviction is its own, not that of the
// model under test.
type cachingEngine struct {
	engine
	memory, running int
	parts           []cachedPart // Least recently used first.
}

// read returns how many tokens of a prompt the engine has to process, and holds the prompt from then on.
func (e *cachingEngine) read(p prompt) int {
	left, leading := p.size(), true
	for i, hash := range p.parts {
		at := slices.IndexFunc(e.parts, func(h cachedPart) bool { return h.hash == hash })
		leading = leading && at >= 0
		if leading {
			left -= p.tokens[i]
		}
		if at >= 0 {
			e.parts = slices.Delete(e.parts, at, at+1)
		}
	}
	for i := len(p.parts) - 1; i >= 0; i-- {
		e.parts = append(e.parts, cachedPart{hash: p.parts[i], tokens: int64(p.tokens[i])})
	}
	e.running += p.size() + p.output
	e.evict()
	return left
}

func (e *cachingEngine) evict() {
	held := 0
	for i := len(e.parts) - 1; i >= 0; i-- {
		held += int(e.parts[i].tokens)
		if held > e.memory-e.running {
			e.parts = slices.Delete(e.parts, 0, i+1)
			return
		}
	}
}

// prompt lists the parts of a prompt.
type prompt struct {
	parts  []wire.PrefixHash
	tokens []int
	hot    bool
	output int
}

func (p prompt) size() int {
	sum := 0
	for _, n := range p.tokens {
		sum += n
	}
	return sum
}

// cacheFleet is a set of engines, which differ in speed by factors of 0.6 to 1.7.
type cacheFleet struct {
	engines                     int
	promptTokenTime, decodeTime time.Duration
}

// cacheLoad is a pattern of prompts.
type cacheLoad struct {
	name    string
	fleet   cacheFleet
	memory  int
	restart time.Duration // Time between restarts of engines, 0 for none.
	next    func(*rand.Rand) prompt
}

// newPart returns the hash of a part that no other prompt has.
func newPart(r *rand.Rand) wire.PrefixHash { return wire.PrefixHash(r.Uint64() | 1<<63) }

// sessionPrompt returns a prompt of one of the sessions, each of which returns every few seconds.
func sessionPrompt(r *rand.Rand) prompt {
	id := wire.PrefixHash(1+r.IntN(1000)) * 10
	return prompt{parts: []wire.PrefixHash{id, id + 1, id + 2}, tokens: []int{1000, 1000, 1000}, output: cacheOutputTokens}
}

func shortSharedPrompt(r *rand.Rand) prompt {
	return prompt{parts: []wire.PrefixHash{1, newPart(r)}, tokens: []int{60, 2940}, output: cacheOutputTokens}
}

func hotPrompt(r *rand.Rand) prompt {
	if r.IntN(2) == 0 {
		return prompt{parts: []wire.PrefixHash{newPart(r)}, tokens: []int{3000}, output: cacheOutputTokens}
	}
	return prompt{parts: []wire.PrefixHash{1, newPart(r)}, tokens: []int{2000, 1000}, hot: true, output: cacheOutputTokens}
}

// cacheRule is what a front sends of the parts of prompts, and thereby the rule of placement.
type cacheRule int

const (
	ignoreParts cacheRule = iota // Nothing.
	matchParts                   // Hashes only, as older fronts.
	weighTokens                  // Hashes and sizes.
)

// deploymentPrompt returns the prompts of the classes of a deployment, which share 60 tokens.
func deploymentPrompt(perSecond, outputs [3]int) func(*rand.Rand) prompt {
	return func(r *rand.Rand) prompt {
		class, n := 0, r.IntN(perSecond[0]+perSecond[1]+perSecond[2])
		for ; n >= perSecond[class]; class++ {
			n -= perSecond[class]
		}
		size := [3]int{2950, 1860, 603}[class]
		return prompt{parts: []wire.PrefixHash{1, newPart(r)}, tokens: []int{60, size - 60}, output: outputs[class]}
	}
}

// cacheReplay replays a load on engines that hold prompts.
type cacheReplay struct {
	*bench
	load    cacheLoad
	rule    cacheRule
	random  *rand.Rand
	began   time.Time
	engines map[object.TargetName]*cachingEngine
	started map[object.TargetName]int64
	prompts map[wire.RequestID]prompt
	sentAt  map[wire.RequestID]time.Time
	ends    map[time.Time][]wire.Finish
	ranAt   map[wire.RequestID]*cachingEngine

	firstTokens []time.Duration
	late, sent  int
	hotAt       map[object.TargetName]int
}

func newCacheReplay(t *testing.T, load cacheLoad, seed uint64, rule cacheRule) *cacheReplay {
	r := &cacheReplay{
		bench: newDiscoveredBench(t, load.fleet.engines, cacheSlots), load: load, rule: rule, random: rand.New(rand.NewPCG(seed, 5)),
		engines: map[object.TargetName]*cachingEngine{}, started: map[object.TargetName]int64{},
		prompts: map[wire.RequestID]prompt{}, sentAt: map[wire.RequestID]time.Time{}, ends: map[time.Time][]wire.Finish{},
		ranAt: map[wire.RequestID]*cachingEngine{}, hotAt: map[object.TargetName]int{},
	}
	r.began = r.now
	for i := range load.fleet.engines {
		slowness := 1 / (0.6 + 1.1*r.random.Float64())
		r.engines[targetName(i)] = &cachingEngine{memory: load.memory, engine: engine{
			promptTokenTime: time.Duration(float64(load.fleet.promptTokenTime) * slowness),
			outputTokenTime: time.Duration(float64(load.fleet.decodeTime) * slowness),
		}}
		r.started[targetName(i)] = 1
	}
	r.configure()
	return r
}

// configure applies the start times of the engines.
func (r *cacheReplay) configure() {
	cacheBench{r.bench}.configure(r.load.fleet.engines, r.load.memory, r.started)
}

// cacheBench configures a bench with the memory of its targets.
type cacheBench struct{ *bench }

func (b cacheBench) configure(count, memory int, started map[object.TargetName]int64) []Decision {
	snapshot, err := object.Compile(1, "", []object.Object{
		&object.Tier{Name: "first", Priority: 1},
		&object.Account{Name: "big", Tiers: []object.TierName{"first"}, KeyHashes: []string{object.HashKey("1")}},
		&object.Pool{Name: testPool, Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true, MemoryTokens: memory},
	})
	require.NoError(b.t, err)
	var found []*object.Target
	for i := range count {
		name := targetName(i)
		found = append(found, &object.Target{Name: name, Pool: testPool, Zone: "a", Address: "http://t", Slots: cacheSlots, StartedMS: started[name]})
	}
	return b.shard.Configure(b.now, snapshot.WithTargets(1, found), nil)
}

func (r *cacheReplay) isMeasured() bool { return r.now.Sub(r.began) >= 3*time.Second }

func (r *cacheReplay) sendNext() {
	p := r.load.next(r.random)
	id, decisions := r.send("first", func(w *wire.Register) {
		w.PromptTokens, w.OutputTokens, w.Prefixes = p.size(), p.output, p.parts
		switch r.rule {
		case ignoreParts:
			w.Prefixes = nil
		case weighTokens:
			w.PrefixTokens = p.tokens
		}
		w.AnswerWithinMS = cacheObjective.Milliseconds()
		w.DispatchWithinMS = w.AnswerWithinMS * 7 / 10
		w.MaxWaitMS = 2400
	})
	r.prompts[id], r.sentAt[id] = p, r.now
	if r.isMeasured() {
		r.sent++
	}
	r.run(decisions)
}

// run simulates the answers to the granted requests.
func (r *cacheReplay) run(decisions []Decision) {
	for _, d := range decisions {
		grant, ok := d.(Grant)
		if !ok {
			continue
		}
		e, p := r.engines[grant.Target], r.prompts[grant.ID]
		at := r.now.Sub(r.began)
		e.prefillUntil = max(e.prefillUntil, at) + time.Duration(e.read(p))*e.promptTokenTime
		startedAt := r.began.Add(e.prefillUntil)
		end := startedAt.Add(time.Duration(p.output) * e.outputTokenTime).Truncate(replayTick).Add(replayTick)
		r.ranAt[grant.ID] = e
		r.ends[end] = append(r.ends[end], wire.Finish{
			ID: grant.ID, Pool: testPool, Dispatched: true, Begun: true, Completed: true, PromptTokens: p.size(), OutputTokens: p.output,
			FirstTokenMS: startedAt.Sub(r.now).Milliseconds(), DecodeUS: e.outputTokenTime.Microseconds(),
		})
		r.recordFirstToken(grant, startedAt.Sub(r.sentAt[grant.ID]))
	}
}

func (r *cacheReplay) recordFirstToken(g Grant, after time.Duration) {
	if !r.isMeasured() {
		return
	}
	r.firstTokens = append(r.firstTokens, after)
	if after > cacheObjective {
		r.late++
	}
	if r.prompts[g.ID].hot {
		r.hotAt[g.Target]++
	}
}

// restartNext restarts one engine, which ends no request in this replay but loses all prompts.
func (r *cacheReplay) restartNext() {
	name := targetName(r.random.IntN(r.load.fleet.engines))
	r.engines[name].parts = nil
	r.started[name]++
	r.configure()
}

func (r *cacheReplay) replay(perSecond float64, length time.Duration) {
	for until := r.now.Add(length); r.now.Before(until); {
		for _, f := range r.ends[r.now] {
			r.ranAt[f.ID].running -= f.PromptTokens + f.OutputTokens
			r.run(r.shard.Finish(r.now, f))
		}
		delete(r.ends, r.now)
		if r.load.restart > 0 && r.now.Sub(r.began)%r.load.restart == 0 {
			r.restartNext()
		}
		expected := perSecond * replayTick.Seconds()
		for next := r.random.ExpFloat64(); next < expected; next += r.random.ExpFloat64() {
			r.sendNext()
		}
		r.run(r.advance(replayTick))
	}
}
