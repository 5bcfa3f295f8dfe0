// Package decisions benchmarks the decisions of a shard under load. It runs the real
// decision code with a simulated clock and simple models of engines, without a network.
package decisions

import (
	"container/heap"
	"time"

	"redwinglock/internal/state/object"
)

// The engine model uses continuous batching. Each iteration takes a fixed time, plus a time
// for each prompt token and for each running answer.
const (
	iterationTime   = 8 * time.Millisecond
	promptTokenTime = 20 * time.Microsecond  // Per prompt token.
	answerTime      = 200 * time.Microsecond // Per running answer.
	prefillChunk    = 2048                   // Maximum prompt tokens in one iteration.
	maxBatch        = 64                     // Maximum requests in one batch; the others wait in the engine's queue.
	prefixCacheSize = 64                     // Prompt prefixes that the engine caches.
)

// job is a simulated request.
type job struct {
	id             int
	account        object.AccountName
	tier           object.TierName
	kind           *requestKind // Set for peak loads only.
	prompt         int
	output         int
	prefix         int // Identifies the first half of the prompt, which requests can share.
	arrived        time.Duration
	lastAttempt    time.Duration // Time of arrival, or of the retry after a refusal.
	callerDeadline time.Duration // When the caller stops waiting; set for peak loads only.
	retried        bool
	deadline       time.Duration // For the first token, relative to the arrival.

	engine     *engine
	sent       time.Duration
	prefill    int // Prompt tokens left to compute.
	computed   int // Prompt tokens already computed.
	generated  int
	firstToken time.Duration
	finished   time.Duration
	ended      bool
	refused    bool
	canceled   bool
}

// good reports whether the job finished and its first token met the deadline.
func (j *job) good() bool {
	return j.finished > 0 && j.firstToken-j.arrived <= j.deadline
}

// engine is a simulated engine.
type engine struct {
	name     object.TargetName
	number   int // Its place among the engines; set for peak loads only.
	slowness float64
	queue    []*job
	batch    []*job
	cache    []int
	running  bool // An iteration is scheduled.
}

// send adds a job to the engine's queue.
func (e *engine) send(now time.Duration, j *job) {
	j.engine = e
	j.sent = now
	j.prefill = j.prompt
	e.queue = append(e.queue, j)
}

// remove removes a job from the queue and the batch of the engine.
func (e *engine) remove(j *job) {
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

// iterate runs one iteration and returns its duration and the jobs that finished in it.
func (e *engine) iterate(now time.Duration) (time.Duration, []*job) {
	for len(e.batch) < maxBatch && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if e.usePrefix(j.prefix) {
			j.prefill = j.prompt / 2
		}
		e.batch = append(e.batch, j)
	}
	budget := prefillChunk
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
	length := iterationTime + time.Duration(prompts)*promptTokenTime + time.Duration(answers)*answerTime
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

// usePrefix reports whether the prefix is cached and makes it the most recently used one.
func (e *engine) usePrefix(prefix int) bool {
	for i, cached := range e.cache {
		if cached == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > prefixCacheSize {
		e.cache = e.cache[1:]
	}
	return false
}

// event is a function that is called at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
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

// simulation has the clock, the pending events, the engines and the policy of one run.
type simulation struct {
	now     time.Duration
	events  eventHeap
	seq     int
	engines []*engine
	policy  policy
}

func (s *simulation) schedule(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{t, s.seq, run})
}

// run calls the events in order until the given end time.
func (s *simulation) run(end time.Duration) {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		if next.at > end {
			return
		}
		s.now = next.at
		next.run()
	}
}

// send sends a job to an engine and starts its iterations if it is idle.
func (s *simulation) send(j *job, e *engine) {
	e.send(s.now, j)
	if !e.running {
		e.running = true
		s.iterate(e)
	}
}

func (s *simulation) iterate(e *engine) {
	if len(e.queue)+len(e.batch) == 0 {
		e.running = false
		return
	}
	length, ended := e.iterate(s.now)
	s.schedule(s.now+length, func() {
		for _, j := range ended {
			if !j.ended {
				j.ended = true
				s.policy.finished(s, j)
			}
		}
		s.iterate(e)
	})
}

// cancel removes an unfinished job from its engine.
func (s *simulation) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended, j.canceled, j.finished = true, true, 0
	j.engine.remove(j)
	s.policy.finished(s, j)
}
