package shard

import (
	"math"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// serviceOvercommit is how many times its slots a plain service may have in flight: its
	// calls are so short that a slot would often be idle while the next one is on its way.
	serviceOvercommit = 1.25

	minLimit = 1.0
	maxLimit = 4096.0
	// limitDecrease is the factor applied to the limit of an overloaded target.
	limitDecrease = 0.9
	// limitInterval is the shortest time between two decreases.
	limitInterval = time.Second

	// firstTokenGoal and decodeGoal are the users' goals at the 95th percentile.
	firstTokenGoal = 510 * time.Millisecond
	decodeGoal     = 65 * time.Millisecond
	// shortPrompt is the size in tokens up to which firstTokenGoal applies.
	shortPrompt = 2000

	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// discoveredMinBackoff and discoveredMaxBackoff are for targets of discovered pools.
	discoveredMinBackoff = 250 * time.Millisecond
	discoveredMaxBackoff = 1500 * time.Millisecond

	// speedWeight is the weight of a new sample in the mean speed of a target.
	speedWeight = 0.2
	// minSamples is the number of samples before a target is compared with others.
	minSamples = 5
	// stragglerSpeed is the share of the median speed below which a target gets less work.
	stragglerSpeed = 0.5
	// ejectSpeed is the share of the median speed below which a target is only probed.
	ejectSpeed = 0.25
	// maxEjected is the largest share of a pool that may be ejected as stragglers.
	maxEjected = 1.0 / 3
	// compareInterval is the time between two comparisons of target speeds.
	compareInterval = time.Second
)

// target is what the shard knows about one target.
type target struct {
	name       object.TargetName
	generation object.Generation
	engine     bool
	// closed targets get no new work.
	closed bool
	// fixed targets keep the limit that they were configured with.
	fixed bool
	zone  object.Zone
	// startedMS tells one run of the target from the next.
	startedMS int64
	// pausedUntil is set while the target refuses requests.
	pausedUntil time.Time
	// errorRate is the recent share of failed answers.
	errorRate float64
	// excess is how far the error rate is above that of the pool, beyond what is usual.
	excess float64

	limit     float64
	inFlight  int
	tokens    int64
	decreased time.Time

	failures int
	retryAt  time.Time // Zero unless the last attempt to connect failed.
	probing  bool      // One request at a time until one completes.

	decode  float64 // Mean time between tokens in microseconds.
	samples int
	speed   float64 // Speed relative to the median of the generation, at most 1.

	readyIndex int // Position in the heap of targets with free slots.
}

func newTarget(spec *object.Target, pool object.PoolType) *target {
	return &target{
		name:       spec.Name,
		generation: spec.Generation,
		engine:     pool == object.EnginePool,
		limit:      float64(max(spec.Slots, 1)),
		speed:      1,
		readyIndex: notQueued,
	}
}

// configure takes what the configuration or service discovery says about the target.
func (t *target) configure(spec *object.Target, view *object.PoolView) {
	t.zone = spec.Zone
	t.fixed = view.FixedSlots
	if t.fixed {
		t.limit = float64(spec.Slots)
		if view.Type == object.ServicePool {
			t.limit = math.Ceil(t.limit * serviceOvercommit)
		}
	}
	if t.startedMS != spec.StartedMS {
		t.startedMS = spec.StartedMS
		t.samples, t.speed, t.errorRate, t.excess = 0, 1, 0, 0
	}
}

// slots returns how many requests the target may have in flight.
func (t *target) slots() int {
	switch {
	case t.closed || !t.retryAt.IsZero() || !t.pausedUntil.IsZero():
		return 0
	case t.probing:
		return 1
	case t.fixed:
		return max(int(t.limit*(1-t.excess)), 1)
	case t.speed < stragglerSpeed:
		return max(int(t.limit*t.speed), 1)
	}
	return int(t.limit)
}

// load returns the share of the slots that one more request would fill.
func (t *target) load() float64 {
	return float64(t.inFlight+1) / (float64(max(t.slots(), 1)) * t.speed)
}

func (t *target) start(cost int64) {
	t.inFlight++
	t.tokens += cost
}

func (t *target) stop(cost int64) {
	t.inFlight--
	t.tokens -= cost
}

// observe adapts the limit and the speed to a completed request.
func (t *target) observe(now time.Time, f wire.Finish) {
	t.failures = 0
	t.errorRate *= 1 - errorWeight
	t.excess = min(t.excess, t.errorRate)
	t.probing = false
	if !t.engine || f.DecodeUS == 0 {
		return // Nothing was learned about the speed.
	}
	t.samples++
	if t.samples == 1 {
		t.decode = float64(f.DecodeUS)
	}
	t.decode += speedWeight * (float64(f.DecodeUS) - t.decode)
	if t.fixed {
		return
	}
	slowStart := f.PromptTokens <= shortPrompt && time.Duration(f.FirstTokenMS)*time.Millisecond > firstTokenGoal
	slowDecode := time.Duration(f.DecodeUS)*time.Microsecond > decodeGoal
	if slowStart || slowDecode {
		if now.Sub(t.decreased) >= limitInterval {
			t.limit = max(t.limit*limitDecrease, minLimit)
			t.decreased = now
		}
		return
	}
	// Only a target that was nearly full has shown that it can carry more.
	if float64(t.inFlight+1) >= t.limit*0.8 {
		t.limit = min(t.limit+1/t.limit, maxLimit)
	}
}

// fail takes a target out until its next attempt, with exponential backoff.
func (s *Shard) fail(now time.Time, t *target) {
	backoff := min(minBackoff<<min(t.failures, 5), maxBackoff)
	if s.discovered {
		// Targets that are gone for good leave the list, so the others are tried again soon.
		backoff = min(discoveredMinBackoff<<min(t.failures, 5), discoveredMaxBackoff)
	}
	t.failures++
	t.probing = true
	if t.retryAt.IsZero() {
		s.failed = append(s.failed, t)
	}
	t.retryAt = now.Add(backoff)
	s.fixReady(t)
}

const (
	// rejectPause is how long a target that refused a request gets no new one.
	rejectPause = 50 * time.Millisecond
	// errorWeight is the weight of one answer in the error rate of a target.
	errorWeight = 0.15
	// usualDeviation is how far the error rate of a sound target may be above the mean.
	usualDeviation = 0.15
	// maxErrorRate is the error rate above that of the whole pool at which a target is taken
	// out and probed. One that answers each request with an error gets there after four.
	maxErrorRate = 0.45
)

// rejected pauses a target that has refused a request as full.
func (s *Shard) rejected(now time.Time, t *target) {
	if t.pausedUntil.IsZero() {
		s.paused = append(s.paused, t)
	}
	t.pausedUntil = now.Add(rejectPause)
	s.fixReady(t)
}

// failedAnswer counts an answer that was broken off or an error of the target. A target that
// fails much more often than the others gets less work and is taken out in the end like one
// that cannot be reached, whatever it says of its health: errors come fast, so it would draw
// ever more work.
func (s *Shard) failedAnswer(now time.Time, t *target) {
	t.errorRate += (1 - t.errorRate) * errorWeight
	mean := s.meanErrorRate()
	t.excess = max(t.errorRate-mean-usualDeviation, 0)
	if t.probing || t.errorRate > mean+maxErrorRate {
		s.fail(now, t)
	}
	s.fixReady(t)
}

func (s *Shard) meanErrorRate() float64 {
	sum := 0.0
	for _, t := range s.targets {
		sum += t.errorRate
	}
	return sum / float64(max(len(s.targets), 1))
}

// reopen lets targets be tried again whose backoff has passed.
func (s *Shard) reopen(now time.Time) {
	s.failed = slices.DeleteFunc(s.failed, func(t *target) bool {
		if now.Before(t.retryAt) {
			return false
		}
		t.retryAt = time.Time{}
		s.fixReady(t)
		return true
	})
	s.paused = slices.DeleteFunc(s.paused, func(t *target) bool {
		if now.Before(t.pausedUntil) {
			return false
		}
		t.pausedUntil = time.Time{}
		s.fixReady(t)
		return true
	})
}

// anyOpen reports whether some target may get work now or after a backoff.
func (s *Shard) anyOpen() bool {
	if s.ready.len() > 0 {
		return true
	}
	for _, t := range s.targets {
		if !t.closed {
			return true
		}
	}
	return false
}

// allUnreachable reports whether the last attempt to connect has failed at every open
// target, and when the first of them is tried again.
func (s *Shard) allUnreachable() (time.Time, bool) {
	if s.ready.len() > 0 || len(s.failed) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, t := range s.targets {
		if t.closed {
			continue
		}
		if t.retryAt.IsZero() {
			return time.Time{}, false
		}
		if first.IsZero() || t.retryAt.Before(first) {
			first = t.retryAt
		}
	}
	return first, !first.IsZero()
}

// compareTargets finds stragglers: targets slower than the median of their generation.
func (s *Shard) compareTargets(now time.Time) {
	if now.Sub(s.comparedAt) < compareInterval {
		return
	}
	s.comparedAt = now
	byGeneration := map[object.Generation][]*target{}
	for _, t := range s.targets {
		if t.samples >= minSamples {
			byGeneration[t.generation] = append(byGeneration[t.generation], t)
		}
	}
	ejected := 0
	limit := int(float64(len(s.targets)) * maxEjected)
	for _, peers := range byGeneration {
		slices.SortFunc(peers, func(a, b *target) int {
			if a.decode < b.decode {
				return -1
			}
			return 1
		})
		median := peers[len(peers)/2].decode
		for i := len(peers) - 1; i >= 0; i-- {
			t := peers[i]
			t.speed = min(median/max(t.decode, 1), 1)
			if t.speed < ejectSpeed && ejected < limit {
				t.probing = true
				ejected++
			}
			s.fixReady(t)
		}
	}
}

// place picks the target for a request: one that holds a prefix of its prompt unless
// it is much more loaded, else the least loaded. It returns nil if no slot is free.
func (s *Shard) place(now time.Time, q *request) *target {
	if s.ready.len() == 0 {
		return nil
	}
	least := s.leastLoaded(now, q)
	if least == nil {
		return nil
	}
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		saved := float64(i+1) / float64(len(q.Prefixes))
		var best *target
		for _, holder := range s.prefixes.holders(q.Prefixes[i]) {
			if slices.Contains(q.Avoid, holder.name) || holder.tooSlow(now, q) {
				continue
			}
			if holder.readyIndex != notQueued && (best == nil || holder.load() < best.load()) {
				best = holder
			}
		}
		if best != nil && best.load() <= least.load()+prefixBias*saved {
			return best
		}
	}
	return least
}

// leastLoaded returns the least loaded target that the request may be sent to and that can
// answer in time, else the fastest one, or nil. One in the zone of the front is preferred
// unless it is much more loaded.
func (s *Shard) leastLoaded(now time.Time, q *request) *target {
	var best, near, fastest *target
	for _, t := range s.ready.all() {
		if slices.Contains(q.Avoid, t.name) {
			continue
		}
		if fastest == nil || t.decode < fastest.decode {
			fastest = t
		}
		if t.tooSlow(now, q) {
			continue
		}
		if best == nil || leastLoaded(t, best) {
			best = t
		}
		if t.zone == q.Zone && (near == nil || leastLoaded(t, near)) {
			near = t
		}
	}
	switch {
	case best == nil:
		return fastest
	case near != nil && near.load() <= best.load()+zoneBias:
		return near
	}
	return best
}

// zoneBias is how much more loaded a target in the zone of the front may be.
const zoneBias = 0.3

// decodeShare is the part of the time left that the tokens of an answer may take.
const decodeShare = 0.6

// tooSlow reports whether the target would take too long for the tokens of the answer.
func (t *target) tooSlow(now time.Time, q *request) bool {
	if q.deadline.IsZero() || t.samples < minSamples {
		return false
	}
	expected := time.Duration(float64(q.OutputTokens)*t.decode) * time.Microsecond
	return float64(expected) > decodeShare*float64(q.deadline.Sub(now))
}

// prefixBias is how much more loaded a target that holds the whole prefix may be.
const prefixBias = 0.5

// position implements positioned.
func (t *target) position() *int { return &t.readyIndex }

// leastLoaded orders targets by load.
func leastLoaded(a, b *target) bool {
	x, y := a.load(), b.load()
	if x != y {
		return x < y
	}
	return a.name < b.name
}

// fixReady adds, moves or removes a target among those with free slots, after a change of
// its slots or load.
func (s *Shard) fixReady(t *target) {
	free := t.inFlight < t.slots()
	switch {
	case free && t.readyIndex == notQueued:
		s.ready.push(t)
	case free:
		s.ready.fix(t)
	case t.readyIndex != notQueued:
		s.ready.remove(t)
	}
}
