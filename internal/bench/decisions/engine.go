// Package decisions measures the decisions of a shard under load: the real decision code
// is driven by a clock that jumps and by small models of engines, without a network.
package decisions

import (
	"container/heap"
	"time"

	"redwinglock/internal/state/object"
)

// The model of an engine: continuous batching in iterations. An iteration takes a fixed
// time, plus time for each prompt token and for each running answer.
const (
	iterationTime = 8 * time.Millisecond
	promptTime    = 20 * time.Microsecond  // Per prompt token.
	answerTime    = 200 * time.Microsecond // Per running answer.
	promptChunk   = 2048                   // Prompt tokens in one iteration.
	maxBatch      = 64                     // Answers in one batch; the rest queue in the engine.
	cachedPrompts = 64                     // Prompt prefixes that the engine's memory holds.
)

// job is one request on its way through the model.
type job struct {
	id       int
	account  object.AccountName
	tier     object.TierName
	kind     *kind // Of the sheets; nil in the other loads.
	prompt   int
	output   int
	prefix   int // Identifies the shared leading half of the prompt.
	arrived  time.Duration
	asked    time.Duration // When it came, or came back after a refusal.
	until    time.Duration // When its caller stops waiting; of the sheets only.
	returned bool
	deadline time.Duration // For the first token, after the arrival.

	engine     *engine
	sent       time.Duration
	prefill    int // Prompt tokens left to compute.
	computed   int // Prompt tokens computed.
	generated  int
	firstToken time.Duration
	finished   time.Duration
	ended      bool
	refused    bool
	cancelled  bool
}

// good reports whether the answer was whole and began in time.
func (j *job) good() bool {
	return j.finished > 0 && j.firstToken-j.arrived <= j.deadline
}

// engine is the model of one engine.
type engine struct {
	name     object.TargetName
	slowness float64
	queue    []*job
	batch    []*job
	cache    []int
	running  bool // An iteration is scheduled.
}

// send hands a job to the engine.
func (e *engine) send(now time.Duration, j *job) {
	j.engine = e
	j.sent = now
	j.prefill = j.prompt
	e.queue = append(e.queue, j)
}

// drop takes a job out of the engine.
func (e *engine) drop(j *job) {
	e.queue = without(e.queue, j)
	e.batch = without(e.batch, j)
}

func without(jobs []*job, j *job) []*job {
	for i, other := range jobs {
		if other == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// iterate runs one iteration and returns its length and the jobs that ended in it.
func (e *engine) iterate(now time.Duration) (time.Duration, []*job) {
	for len(e.batch) < maxBatch && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if e.cached(j.prefix) {
			j.prefill = j.prompt / 2
		}
		e.batch = append(e.batch, j)
	}
	budget := promptChunk
	prompts, answers := 0, 0
	var ended []*job
	for _, j := range e.batch {
		if j.prefill > 0 {
			n := min(j.prefill, budget)
			j.prefill -= n
			j.computed += n
			budget -= n
			prompts += n
			if j.prefill > 0 {
				continue
			}
		}
		answers++
		j.generated++
	}
	length := iterationTime + time.Duration(prompts)*promptTime + time.Duration(answers)*answerTime
	length = time.Duration(float64(length) * e.slowness)
	for _, j := range e.batch {
		if j.generated == 1 && j.firstToken == 0 {
			j.firstToken = now + length
		}
		if j.generated >= j.output {
			j.finished = now + length
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		e.batch = without(e.batch, j)
	}
	return length, ended
}

// cached reports whether the prefix is in memory, and keeps it as the latest.
func (e *engine) cached(prefix int) bool {
	for i, held := range e.cache {
		if held == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrompts {
		e.cache = e.cache[1:]
	}
	return false
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is the clock, the engines and the policy of one run.
type world struct {
	now     time.Duration
	events  eventHeap
	seq     int
	engines []*engine
	policy  policy
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{t, w.seq, do})
}

// run carries out events until the end.
func (w *world) run(end time.Duration) {
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		if next.at > end {
			return
		}
		w.now = next.at
		next.do()
	}
}

// send hands a job to an engine and starts its iterations.
func (w *world) send(j *job, e *engine) {
	e.send(w.now, j)
	if !e.running {
		e.running = true
		w.iterate(e)
	}
}

func (w *world) iterate(e *engine) {
	if len(e.queue)+len(e.batch) == 0 {
		e.running = false
		return
	}
	length, ended := e.iterate(w.now)
	w.at(w.now+length, func() {
		for _, j := range ended {
			if !j.ended {
				j.ended = true
				w.policy.finished(w, j)
			}
		}
		w.iterate(e)
	})
}

// cancel stops a running job.
func (w *world) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended, j.cancelled, j.finished = true, true, 0
	j.engine.drop(j)
	w.policy.finished(w, j)
}
