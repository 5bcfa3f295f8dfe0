package trial

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

// fault describes how a generated version is bad.
type fault struct {
	name string
	// failing and slow are the fractions of its answers that fail or are slower by factor.
	failing, slow, factor float64
	// onset is the fraction of the duration after which it is bad.
	onset float64
	// loaded versions are bad only under load. If it is not 0, 40 % of the answers are normal.
	loaded int
	// class limits the fault to one class. Empty means all classes.
	class object.TierName
}

// requestClass is one class of requests of a simulation.
type requestClass struct {
	name object.TierName
	rate float64 // Requests per second.
	// errors is the fraction of answers that fail at healthy targets.
	errors      float64
	serviceTime time.Duration
	prompt      bool
}

// shiftedClasses are the request classes of the shifted site at one of its two services.
var shiftedClasses = []requestClass{
	{"priority-0", 144, 0, 5 * time.Millisecond, true},
	{"priority-1", 287, 0, 5 * time.Millisecond, true},
	{"priority-2", 108, 0, 5 * time.Millisecond, true},
}

var ordersClasses = []requestClass{
	{"priority-2", 179, 0.004, 15 * time.Millisecond, false},
	{"priority-3", 42, 0.14, 15 * time.Millisecond, false},
}

// simulation runs one rollout against generated answers.
type simulation struct {
	random   *rand.Rand
	classes  []requestClass
	fault    fault
	targets  int
	duration time.Duration
	// arbiterLost is the fraction of the duration after which a new arbiter takes over, 0 if none
	// does. It continues from the evidence that was stored last, if there is any.
	arbiterLost float64
	// crash makes a target of the new version break all its answers for some time.
	crash bool

	total, exposed, bad float64
	detectableAt        time.Time // When the 50th bad answer arrived.
	exposedTooLate      bool      // A request went to the new version over 5 s after that.
	promotedAt          time.Time
	targetNames         [2][]object.TargetName
}

const (
	exposeShare = 0.1
	exposeSlack = 50
)

// stepInterval is the longest time between two steps of a trial: the controller of rollouts advances it
// also while no requests arrive.
const stepInterval = 100 * time.Millisecond

func (s *simulation) run() Verdict {
	now := time.Unix(1000, 0)
	begin := now
	plan := Plan{Begin: begin, Duration: s.duration, Share: exposeShare, Slack: exposeSlack}
	trial := New(now, plan, nil)
	var stored *Evidence
	storedAt := now
	rate := 0.0
	for _, c := range s.classes {
		rate += c.rate
	}
	nextRequest := func() time.Time {
		return now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	}
	next := nextRequest()
	for now.Before(begin.Add(s.duration + time.Second)) {
		isRequest := !next.After(now.Add(stepInterval))
		now = now.Add(stepInterval)
		if isRequest {
			now = next
		}
		if s.arbiterLost > 0 && now.Sub(begin) > time.Duration(s.arbiterLost*float64(s.duration)) {
			s.arbiterLost = 0
			trial = New(now, plan, stored)
		}
		if now.Sub(storedAt) > 2*time.Second {
			evidence := trial.Evidence(now)
			stored, storedAt = &evidence, now
		}
		if trial.Promoted() && s.promotedAt.IsZero() {
			s.promotedAt = now
		}
		running := 1
		if !s.promotedAt.IsZero() && now.Sub(s.promotedAt) > 300*time.Millisecond {
			running = 0
		}
		if verdict := trial.Step(now, running, true); verdict != Undecided {
			return verdict
		}
		if isRequest {
			s.request(now, trial, float64(now.Sub(begin))/float64(s.duration), rate)
			next = nextRequest()
		}
	}
	return Undecided
}

// request simulates one request.
func (s *simulation) request(now time.Time, trial *Trial, progress, rate float64) {
	pick := s.random.Float64() * rate
	c := s.classes[0]
	for _, c = range s.classes {
		if pick -= c.rate; pick < 0 {
			break
		}
	}
	side := trial.Next(now, c.name)
	trial.Grant(c.name, side)
	s.total++
	number := s.random.IntN(s.targets)
	a := Answer{Side: side, Class: c.name, Target: s.targetNames[side][number]}
	speed := 1.7
	if number%3 == 0 {
		speed = 0.6
	}
	a.ServiceTime = time.Duration(float64(c.serviceTime) / speed * (0.7 + 0.5*s.random.ExpFloat64()*s.random.Float64()))
	if c.prompt {
		a.PrefillTime = time.Duration(20 / speed * (0.8 + 0.8*s.random.ExpFloat64()) * float64(time.Microsecond))
	}
	a.Failed = s.random.Float64() < c.errors
	if side == NewVersion {
		s.exposed++
		if !s.detectableAt.IsZero() && now.Sub(s.detectableAt) > 5*time.Second {
			s.exposedTooLate = true
		}
		s.injectFault(now, &a, progress)
	}
	trial.Answer(a, s.targets)
}

// injectFault applies the fault to an answer of the new version.
func (s *simulation) injectFault(now time.Time, a *Answer, progress float64) {
	if s.crash && progress > 0.4 && progress < 0.6 && a.Target == "1-1" {
		a.Broken = true
		return
	}
	f := s.fault
	if progress < f.onset || f.class != "" && f.class != a.Class || f.loaded > 0 && s.random.Float64() < 0.4 {
		return
	}
	switch p := s.random.Float64(); {
	case p < f.failing:
		a.Failed = true
	case p < f.failing+f.slow:
		a.ServiceTime = time.Duration(float64(a.ServiceTime) * f.factor)
		a.PrefillTime = time.Duration(float64(a.PrefillTime) * f.factor)
	default:
		return
	}
	if s.bad++; s.bad == 50 {
		s.detectableAt = now
	}
}

// faults are the faults that are tested.
var faults = []fault{
	{name: "all fail", failing: 1},
	{name: "a third fails", failing: 0.33},
	{name: "one in ten fails", failing: 0.1},
	{name: "all are four times slower", slow: 1, factor: 4},
	{name: "three in ten are five times slower", slow: 0.3, factor: 5},
	{name: "a third fails later", failing: 0.33, onset: 0.5},
	{name: "a third fails under load", failing: 0.33, loaded: 4},
	{name: "half fail on one route", failing: 0.5, class: "priority-2"},
	{name: "half are four times slower on one route", slow: 0.5, factor: 4, class: "priority-2"},
}

// rolloutsPerFault is the number of rollouts that are simulated for each fault. scripts/test --long
// runs 1,000.
var rolloutsPerFault = flag.Int("rollouts", 200, "number of generated rollouts of each kind of bad version")

// goodRollouts is the number of rollouts that are simulated for each row of good versions.
const goodRollouts = 1000

// TestRolloutOfABadVersionIsRolledBack simulates rollouts of bad versions. Each must be rolled back
// within the allowed share and in time. One rollout in ten loses its arbiter.
func TestRolloutOfABadVersionIsRolledBack(t *testing.T) {
	for _, f := range faults {
		for _, classes := range [][]requestClass{shiftedClasses, ordersClasses} {
			t.Run(fmt.Sprintf("%s, %d classes", f.name, len(classes)), func(t *testing.T) {
				t.Parallel()
				completed := 0
				for seed := range uint64(*rolloutsPerFault) {
					s := newSimulation(seed, classes)
					s.fault = f
					if s.run() != RolledBack {
						completed++
					}
					require.LessOrEqual(t, s.exposed, exposeShare*s.total+exposeSlack, "seed %d", seed)
					require.False(t, s.exposedTooLate, "seed %d", seed)
				}
				require.Zero(t, completed, "of %d", *rolloutsPerFault)
			})
		}
	}
}

// TestRolloutOfAGoodVersionCompletes simulates rollouts of healthy versions. Fewer than 10 of 1,000
// may be rolled back by mistake, also when one target crashes.
func TestRolloutOfAGoodVersionCompletes(t *testing.T) {
	rows := []struct {
		name    string
		classes []requestClass
		crash   bool
	}{
		{"engines", shiftedClasses, false},
		{"a service", ordersClasses, false},
		{"engines, one of them crashes", shiftedClasses, true},
		{"a service, one target crashes", ordersClasses, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			rolledBack := 0
			for seed := range uint64(goodRollouts) {
				s := newSimulation(seed, row.classes)
				s.crash = row.crash
				if s.run() != Completed {
					rolledBack++
				}
			}
			require.Less(t, rolledBack, 10, "of %d", goodRollouts)
		})
	}
}

// shortDuration is the duration of a rollout in six seconds, less the last half second, in which a
// verdict is of no use.
const shortDuration = 5500 * time.Millisecond

// shortClasses returns the request class of a small service.
func shortClasses(rate float64) []requestClass {
	return []requestClass{{"priority-0", rate, 0, 5 * time.Millisecond, false}}
}

// TestRolloutOfAGoodVersionCompletesInAShortTime simulates small services. Their few requests for
// the new version must be enough to find it healthy and to cover the time of its promotion.
func TestRolloutOfAGoodVersionCompletesInAShortTime(t *testing.T) {
	for _, rate := range []float64{15, 40, 60, 100, 200, 340, 400, 700} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) {
			t.Parallel()
			rolledBack := 0
			for seed := range uint64(goodRollouts) {
				s := newSimulation(seed, shortClasses(rate))
				s.duration = shortDuration
				if s.run() != Completed {
					rolledBack++
				}
			}
			require.Less(t, rolledBack, 10, "of %d", goodRollouts)
		})
	}
}

func newSimulation(seed uint64, classes []requestClass) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 20261204)), classes: classes, targets: 60, duration: 12 * time.Second}
	if len(classes) <= len(ordersClasses) {
		s.targets = 3
	}
	for side := range s.targetNames {
		for number := range s.targets {
			s.targetNames[side] = append(s.targetNames[side], object.TargetName(fmt.Sprintf("%d-%d", side, number)))
		}
	}
	if seed%10 == 0 {
		s.arbiterLost = 0.2 + 0.5*s.random.Float64()
	}
	return s
}

// TestRolloutStaysWithinTheShareWhenItTurnsBadAtTheEnd simulates versions that turn bad when it is
// too late to detect that. All requests go to the new version by then, so the promotion must start
// late enough to stay within the allowed share.
func TestRolloutStaysWithinTheShareWhenItTurnsBadAtTheEnd(t *testing.T) {
	rows := []struct {
		name     string
		classes  []requestClass
		duration time.Duration
	}{
		{"engines", shiftedClasses, 12 * time.Second},
		{"a tiny service for a short time", shortClasses(15), shortDuration},
		{"a very small service for a short time", shortClasses(40), shortDuration},
		{"a small service for a short time", shortClasses(100), shortDuration},
		{"a service for a short time", shortClasses(340), shortDuration},
		{"a busy service for a short time", shortClasses(700), shortDuration},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*rolloutsPerFault) {
				s := newSimulation(seed, row.classes)
				s.duration = row.duration
				s.fault = fault{failing: 1, onset: 0.97}
				s.run()
				require.LessOrEqual(t, s.exposed, exposeShare*s.total+exposeSlack, "seed %d", seed)
			}
		})
	}
}

// TestRolloutWithoutRequestsIsRolledBack checks that a version without answers is never completed.
func TestRolloutWithoutRequestsIsRolledBack(t *testing.T) {
	now := time.Unix(1000, 0)
	trial := New(now, Plan{Begin: now, Duration: 12 * time.Second, Share: exposeShare, Slack: exposeSlack}, nil)
	require.Equal(t, Undecided, trial.Step(now.Add(11900*time.Millisecond), 0, true))
	require.Equal(t, RolledBack, trial.Step(now.Add(12*time.Second), 0, true))
}
