package shard

import (
	"math"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const (
	// serviceOvercommit is the ratio of requests in flight to slots of a plain service. Its calls
	// are so short that a slot would often be idle until the next call arrives.
	serviceOvercommit = 1.25

	minLimit = 1.0
	maxLimit = 4096.0
	// limitDecrease is the factor by which the limit of an overloaded target is reduced.
	limitDecrease = 0.9
	// limitInterval is the minimum time between two reductions.
	limitInterval = time.Second

	// firstTokenObjective and decodeObjective are the users' latency objectives at the 95th
	// percentile.
	firstTokenObjective = 510 * time.Millisecond
	decodeObjective     = 65 * time.Millisecond
	// shortPromptTokens is the largest prompt to which firstTokenObjective applies.
	shortPromptTokens = 2000

	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// discoveredMinBackoff and discoveredMaxBackoff apply to the targets of discovered pools.
	discoveredMinBackoff = 250 * time.Millisecond
	discoveredMaxBackoff = 1500 * time.Millisecond

	// speedWeight is the weight of a new sample in the moving average of a target's speed.
	speedWeight = 0.2
	// minSamples is the number of samples that a target needs before its speed is used.
	minSamples = 5
	// stragglerSpeed is the fraction of the median speed below which a target gets less work.
	stragglerSpeed = 0.5
	// ejectSpeed is the fraction of the median speed below which a target only gets probes.
	ejectSpeed = 0.25
	// maxEjected is the largest fraction of a pool that may be ejected as stragglers.
	maxEjected = 1.0 / 3
	// compareInterval is the minimum time between two comparisons of target speeds.
	compareInterval = time.Second
)

// target is the scheduler state of one target.
type target struct {
	name       object.TargetName
	generation object.Generation
	engine     bool
	// closed targets get no new requests.
	closed bool
	// fixedLimit targets keep their configured limit.
	fixedLimit bool
	zone       object.Zone
	// startedMS is the start time of the target, which distinguishes its runs.
	startedMS int64
	// pausedUntil is the end of a pause after the target rejected a request or requested a pause.
	pausedUntil time.Time
	// pauseRequested is set if the target requested the pause, which may be long.
	pauseRequested bool
	// rateLimit is the number of requests per second that the target accepts from all hosts together,
	// 0 if it names no limit. pacer applies this arbiter's share of it.
	rateLimit wire.RequestRate
	pacer     RatePacer
	// rateUsedUp is set until rateOpensAt, when the limit allows the next request.
	rateUsedUp  bool
	rateOpensAt time.Time
	// errorRate is the moving average of the fraction of failed answers.
	errorRate float64
	// excessErrorRate is the part of the error rate above the pool's mean plus the normal
	// deviation.
	excessErrorRate float64

	limit    float64
	inFlight int
	// suspects is the number of running requests with a suspect prefix.
	suspects         int
	tokens           int64
	limitDecreasedAt time.Time

	failures int
	retryAt  time.Time // End of the backoff, zero if there is none.
	probing  bool      // Set until a request completes; limits the target to one request.

	decodeUS float64 // Moving average of the time between tokens.
	// prefillUntil is the estimated time when the target has processed the prompts of its requests.
	prefillUntil time.Time
	// cache is what the target holds of earlier prompts.
	cache        promptCache
	speedSamples int
	speed        float64 // Relative to the median of the generation, at most 1.

	// tieBreak orders targets with the same load.
	tieBreak   uint64
	readyIndex int // Position in the heap of targets with free slots.
}

func newTarget(spec *object.Target, pool object.PoolType) *target {
	return &target{
		name:       spec.Name,
		generation: spec.Generation,
		engine:     pool == object.EnginePool,
		limit:      float64(max(spec.Slots, 1)),
		speed:      1,
		readyIndex: notInHeap,
	}
}

// configure applies the configuration, or the state reported by service discovery.
func (t *target) configure(spec *object.Target, view *object.PoolView) {
	t.zone = spec.Zone
	t.fixedLimit = view.FixedSlots
	if t.fixedLimit {
		t.limit = float64(spec.Slots)
		if view.Type == object.ServicePool {
			t.limit = math.Ceil(t.limit * serviceOvercommit)
		}
	}
	if t.startedMS != spec.StartedMS {
		t.startedMS = spec.StartedMS
		t.speedSamples, t.speed, t.errorRate, t.excessErrorRate = 0, 1, 0, 0
		t.cache.clear()
	}
	t.configureCache(view)
}

// slots returns how many requests the target may have in flight.
func (t *target) slots() int {
	if t.rateUsedUp {
		return 0
	}
	return t.slotsWithoutRateLimit()
}

func (t *target) slotsWithoutRateLimit() int {
	switch {
	case t.closed || !t.retryAt.IsZero() || !t.pausedUntil.IsZero():
		return 0
	case t.probing:
		return 1
	case t.fixedLimit:
		return max(int(t.limit*(1-t.excessErrorRate)), 1)
	case t.speed < stragglerSpeed:
		return max(int(t.limit*t.speed), 1)
	}
	return int(t.limit)
}

// load returns the load with one more request, as a fraction of the slots, adjusted for speed.
func (t *target) load() float64 {
	return float64(t.inFlight+1) / (float64(max(t.slots(), 1)) * t.speed)
}

func (t *target) addRequest(tokens int64) {
	t.inFlight++
	t.tokens += tokens
	t.cache.trim(t.tokens)
}

func (t *target) removeRequest(tokens int64) {
	t.inFlight--
	t.tokens -= tokens
	if t.inFlight == 0 {
		t.prefillUntil = time.Time{}
	}
}

// recordCompletion updates the limit, speed and error rate after a completed request.
func (t *target) recordCompletion(now time.Time, f wire.Finish) {
	t.failures = 0
	t.errorRate *= 1 - errorWeight
	t.excessErrorRate = min(t.excessErrorRate, t.errorRate)
	t.probing = false
	if !t.engine || f.DecodeUS == 0 {
		return // There is no speed sample.
	}
	t.speedSamples++
	if t.speedSamples == 1 {
		t.decodeUS = float64(f.DecodeUS)
	}
	t.decodeUS += speedWeight * (float64(f.DecodeUS) - t.decodeUS)
	if t.fixedLimit {
		return
	}
	slowFirstToken := f.PromptTokens <= shortPromptTokens && time.Duration(f.FirstTokenMS)*time.Millisecond > firstTokenObjective
	slowDecode := time.Duration(f.DecodeUS)*time.Microsecond > decodeObjective
	if slowFirstToken || slowDecode {
		if now.Sub(t.limitDecreasedAt) >= limitInterval {
			t.limit = max(t.limit*limitDecrease, minLimit)
			t.limitDecreasedAt = now
		}
		return
	}
	// Raise the limit only if the target was nearly full. Otherwise it was not tested under load.
	if float64(t.inFlight+1) >= t.limit*0.8 {
		t.limit = min(t.limit+1/t.limit, maxLimit)
	}
}

// detectStragglers finds targets that are slower than the median of their generation.
func (s *Shard) detectStragglers(now time.Time) {
	if now.Sub(s.speedsComparedAt) < compareInterval {
		return
	}
	s.speedsComparedAt = now
	byGeneration := map[object.Generation][]*target{}
	for _, t := range s.targets {
		if t.speedSamples >= minSamples {
			byGeneration[t.generation] = append(byGeneration[t.generation], t)
		}
	}
	ejected := 0
	limit := int(float64(len(s.targets)) * maxEjected)
	for _, peers := range byGeneration {
		slices.SortFunc(peers, func(a, b *target) int {
			if a.decodeUS < b.decodeUS {
				return -1
			}
			return 1
		})
		median := peers[len(peers)/2].decodeUS
		for i := len(peers) - 1; i >= 0; i-- {
			t := peers[i]
			t.speed = min(median/max(t.decodeUS, 1), 1)
			if t.speed < ejectSpeed && ejected < limit {
				t.probing = true
				ejected++
			}
			s.updateReady(t)
		}
	}
}
