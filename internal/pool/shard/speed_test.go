package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// engine simulates a model engine. It processes prompts one after another and then generates all
// answers in parallel.
type engine struct {
	promptTokenTime, outputTokenTime time.Duration
	prefillUntil                     time.Duration
}

const (
	slowPromptTokenTime = 50 * time.Microsecond
	slowOutputTokenTime = 9 * time.Millisecond
	fastPromptTokenTime = 18 * time.Microsecond
	fastOutputTokenTime = 3 * time.Millisecond
)

// newEngines creates engines. One in three is fast.
func newEngines(count int) map[object.TargetName]*engine {
	engines := map[object.TargetName]*engine{}
	for i := range count {
		e := &engine{promptTokenTime: slowPromptTokenTime, outputTokenTime: slowOutputTokenTime}
		if i%3 == 0 {
			e.promptTokenTime, e.outputTokenTime = fastPromptTokenTime, fastOutputTokenTime
		}
		engines[targetName(i)] = e
	}
	return engines
}

// generationRequest is one request of a replayed load.
type generationRequest struct {
	prompt, output    int
	sentAt, startedAt time.Duration
	answered          bool
}

// engineReplay sends requests to simulated engines.
type engineReplay struct {
	*bench
	beganAt  time.Time
	engines  map[object.TargetName]*engine
	requests map[wire.RequestID]*generationRequest
	finishes map[time.Duration][]wire.Finish
}

const (
	startObjective = 500 * time.Millisecond
	callerDeadline = 15 * time.Second
)

func (g *engineReplay) now() time.Duration { return g.bench.now.Sub(g.beganAt) }

func (g *engineReplay) send(prompt, output int) *generationRequest {
	r := &generationRequest{prompt: prompt, output: output, sentAt: g.now()}
	id, decisions := g.bench.send("first", func(w *wire.Register) {
		w.PromptTokens, w.OutputTokens = prompt, output
		w.AnswerWithinMS = startObjective.Milliseconds()
		w.DispatchWithinMS = w.AnswerWithinMS * 7 / 10
		w.DeadlineMS = callerDeadline.Milliseconds()
	})
	g.requests[id] = r
	g.runGranted(decisions)
	return r
}

// runGranted simulates the answers to the granted requests.
func (g *engineReplay) runGranted(decisions []Decision) {
	for _, d := range decisions {
		grant, ok := d.(Grant)
		if !ok {
			continue
		}
		r, e := g.requests[grant.ID], g.engines[grant.Target]
		e.prefillUntil = max(e.prefillUntil, g.now()) + time.Duration(r.prompt)*e.promptTokenTime
		r.startedAt, r.answered = e.prefillUntil, true
		end := (r.startedAt + time.Duration(r.output)*e.outputTokenTime).Truncate(tick) + tick
		g.finishes[end] = append(g.finishes[end], wire.Finish{
			ID: grant.ID, Pool: testPool, Dispatched: true, Completed: true, PromptTokens: r.prompt, OutputTokens: r.output,
			FirstTokenMS: (r.startedAt - g.now()).Milliseconds(), DecodeUS: e.outputTokenTime.Microseconds(),
		})
	}
}

// run advances the simulation by the given time.
func (g *engineReplay) run(duration time.Duration) {
	for until := g.now() + duration; g.now() < until; {
		for _, f := range g.finishes[g.now()] {
			g.runGranted(g.shard.Finish(g.bench.now, f))
		}
		g.runGranted(g.advance(tick))
	}
}

func newEngineReplay(t *testing.T, count, slots int) *engineReplay {
	b := newDiscoveredBench(t, count, slots)
	return &engineReplay{
		bench: b, beganAt: b.now, engines: newEngines(count),
		requests: map[wire.RequestID]*generationRequest{}, finishes: map[time.Duration][]wire.Finish{},
	}
}

// TestLongPromptsStartInTime replays a light load of mixed prompt sizes. Two thirds of the
// targets need 500 ms to process a prompt of 10,000 tokens, but there is enough capacity to
// answer all requests in time.
func TestLongPromptsStartInTime(t *testing.T) {
	for _, test := range []struct {
		name         string
		longInterval int // One request in longInterval has a long prompt.
	}{
		{"one in ten is long", 10},
		{"one in five is long", 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			g := newEngineReplay(t, 12, 7)
			late, all := 0, 0
			var sent []*generationRequest
			for g.now() < 30*time.Second {
				prompt := 200 + random.IntN(2000)
				if random.IntN(test.longInterval) == 0 {
					prompt = 9000 + random.IntN(7000)
				}
				sent = append(sent, g.send(prompt, 20+random.IntN(100)))
				g.run(time.Duration(1+random.IntN(8)) * tick)
			}
			for _, r := range sent {
				if r.sentAt < 5*time.Second {
					continue // The speeds have not been measured yet.
				}
				all++
				if !r.answered || r.startedAt-r.sentAt > startObjective {
					late++
				}
			}
			require.LessOrEqual(t, float64(late), 0.02*float64(all))
		})
	}
}

// TestLongAnswersAvoidSlowTargets requests answers that only the fast targets can complete
// before the caller's deadline, while all targets are equally busy.
func TestLongAnswersAvoidSlowTargets(t *testing.T) {
	g := newEngineReplay(t, 6, 3)
	for range 300 {
		g.send(500, 50)
		g.run(4 * tick)
	}
	for range 4 {
		r := g.send(500, 1500)
		require.True(t, r.answered)
		for _, f := range g.finishes[(r.startedAt+1500*slowOutputTokenTime).Truncate(tick)+tick] {
			require.NotEqual(t, slowOutputTokenTime.Microseconds(), f.DecodeUS)
		}
		g.run(300 * time.Millisecond)
	}
}
