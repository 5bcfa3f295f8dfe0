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
	// quiet is set while the pause is the target's own wish, which may be long.
	quiet bool
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

	decode float64 // Mean time between tokens in microseconds.
	// readingUntil is when the target has probably read the prompts that it has got.
	readingUntil time.Time
	samples      int
	speed        float64 // Speed relative to the median of the generation, at most 1.

	// order is the place of the target among those with the same load.
	order      uint64
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
	if t.inFlight == 0 {
		t.readingUntil = time.Time{}
	}
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
