package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// engine is an engine of a replayed load. It reads prompts one after the other and then
// generates all answers side by side.
type engine struct {
	perPrompt, perToken time.Duration // For one token.
	readingUntil        time.Duration
}

const (
	slowPrompt = 50 * time.Microsecond
	slowToken  = 9 * time.Millisecond
	fastPrompt = 18 * time.Microsecond
	fastToken  = 3 * time.Millisecond
)

// newEngines returns engines of which each third is fast.
func newEngines(count int) map[object.TargetName]*engine {
	engines := map[object.TargetName]*engine{}
	for i := range count {
		m := &engine{perPrompt: slowPrompt, perToken: slowToken}
		if i%3 == 0 {
			m.perPrompt, m.perToken = fastPrompt, fastToken
		}
		engines[target1(i)] = m
	}
	return engines
}

// generation is one request of a replayed load of generations.
type generation struct {
	prompt, output int
	asked, begun   time.Duration
	answered       bool
}

// generations plays requests for generations against engines.
type generations struct {
	*bench
	began   time.Time
	engines map[object.TargetName]*engine
	open    map[wire.RequestID]*generation
	ends    map[time.Duration][]wire.Finish
}

const (
	beginWithin = 500 * time.Millisecond
	endWithin   = 15 * time.Second
)

func (g *generations) now() time.Duration { return g.bench.now.Sub(g.began) }

func (g *generations) ask(prompt, output int) *generation {
	r := &generation{prompt: prompt, output: output, asked: g.now()}
	id, decisions := g.bench.ask("first", func(w *wire.Register) {
		w.PromptTokens, w.OutputTokens = prompt, output
		w.BeginMS = beginWithin.Milliseconds()
		w.ObjectiveMS = w.BeginMS * 7 / 10
		w.DeadlineMS = endWithin.Milliseconds()
	})
	g.open[id] = r
	g.start(decisions)
	return r
}

// start lets engines answer the requests that were granted.
func (g *generations) start(decisions []Decision) {
	for _, d := range decisions {
		grant, ok := d.(Grant)
		if !ok {
			continue
		}
		r, m := g.open[grant.ID], g.engines[grant.Target]
		m.readingUntil = max(m.readingUntil, g.now()) + time.Duration(r.prompt)*m.perPrompt
		r.begun, r.answered = m.readingUntil, true
		end := (r.begun + time.Duration(r.output)*m.perToken).Truncate(tick) + tick
		g.ends[end] = append(g.ends[end], wire.Finish{
			ID: grant.ID, Pool: testPool, Dispatched: true, Completed: true, PromptTokens: r.prompt, OutputTokens: r.output,
			FirstTokenMS: (r.begun - g.now()).Milliseconds(), DecodeUS: m.perToken.Microseconds(),
		})
	}
}

// pass lets time pass.
func (g *generations) pass(span time.Duration) {
	for until := g.now() + span; g.now() < until; {
		for _, f := range g.ends[g.now()] {
			g.start(g.shard.Finish(g.bench.now, f))
		}
		g.start(g.advance(tick))
	}
}

func newGenerations(t *testing.T, count, slots int) *generations {
	b := newDiscoveredBench(t, count, slots)
	return &generations{
		bench: b, began: b.now, engines: newEngines(count),
		open: map[wire.RequestID]*generation{}, ends: map[time.Duration][]wire.Finish{},
	}
}

// TestLongPromptsAreReadInTime plays a quiet load of mixed sizes on targets of which two
// thirds need 500 ms for a prompt of 10,000 tokens. All could be answered in time.
func TestLongPromptsAreReadInTime(t *testing.T) {
	for _, test := range []struct {
		name     string
		longEach int // One request in so many has a long prompt.
	}{
		{"one in ten is long", 10},
		{"one in five is long", 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			g := newGenerations(t, 12, 7)
			late, all := 0, 0
			var asked []*generation
			for g.now() < 30*time.Second {
				prompt := 200 + random.IntN(2000)
				if random.IntN(test.longEach) == 0 {
					prompt = 9000 + random.IntN(7000)
				}
				asked = append(asked, g.ask(prompt, 20+random.IntN(100)))
				g.pass(time.Duration(1+random.IntN(8)) * tick)
			}
			for _, r := range asked {
				if r.asked < 5*time.Second {
					continue // The speeds are not known yet.
				}
				all++
				if !r.answered || r.begun-r.asked > beginWithin {
					late++
				}
			}
			require.LessOrEqual(t, float64(late), 0.02*float64(all))
		})
	}
}

// TestLongAnswersGoWhereTheyEndInTime asks for answers that only the fast targets complete
// before the caller has left, while all targets are equally busy.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	g := newGenerations(t, 6, 3)
	for range 300 {
		g.ask(500, 50)
		g.pass(4 * tick)
	}
	for range 4 {
		r := g.ask(500, 1500)
		require.True(t, r.answered)
		for _, f := range g.ends[(r.begun+1500*slowToken).Truncate(tick)+tick] {
			require.NotEqual(t, slowToken.Microseconds(), f.DecodeUS)
		}
		g.pass(300 * time.Millisecond)
	}
}
