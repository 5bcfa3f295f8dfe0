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

// fault is how a generated version is bad.
type fault struct {
	name string
	// failing and slow are the shares of its answers that fail or come slower by factor.
	failing, slow, factor float64
	// from is the part of the time from which it is bad.
	from float64
	// loaded versions are bad only while their target has at least this many requests.
	loaded int
	// class is the only one concerned, empty for all.
	class object.TierName
}

// class is one kind of request of a generated day.
type class struct {
	name object.TierName
	rate float64 // A second.
	// errors is the share of answers that fail at sound targets.
	errors float64
	pace   time.Duration
	prompt bool
}

// shiftedClasses are the kinds of request of the shifted site at one of its two services.
var shiftedClasses = []class{
	{"priority-0", 144, 0, 5 * time.Millisecond, true},
	{"priority-1", 287, 0, 5 * time.Millisecond, true},
	{"priority-2", 108, 0, 5 * time.Millisecond, true},
}

var ordersClasses = []class{
	{"priority-2", 179, 0.004, 15 * time.Millisecond, false},
	{"priority-3", 42, 0.14, 15 * time.Millisecond, false},
}

// day plays one rollout against generated answers.
type day struct {
	random  *rand.Rand
	classes []class
	fault   fault
	targets int
	span    time.Duration
	// arbiterLost lets a new arbiter, which knows nothing, take over at this part of the time.
	arbiterLost float64
	// crash lets a target of the new version break all its answers for a while.
	crash bool

	total, exposed, bad float64
	afterBad            time.Time // When the 50th bad answer came.
	late                bool      // A request went to the new version too long after it.
	promotedAt          time.Time
	names               [2][]object.TargetName
}

const (
	exposeShare = 0.1
	exposeSlack = 50
)

func (d *day) play() Verdict {
	now := time.Unix(1000, 0)
	begin := now
	plan := Plan{Begin: begin, Duration: d.span, Share: exposeShare, Slack: exposeSlack}
	trial := New(now, plan, nil)
	var kept *Evidence
	keptAt := now
	rate := 0.0
	for _, c := range d.classes {
		rate += c.rate
	}
	for now.Before(begin.Add(d.span + time.Second)) {
		now = now.Add(time.Duration(d.random.ExpFloat64() / rate * float64(time.Second)))
		if d.arbiterLost > 0 && now.Sub(begin) > time.Duration(d.arbiterLost*float64(d.span)) {
			d.arbiterLost = 0
			trial = New(now, plan, kept)
		}
		if now.Sub(keptAt) > 2*time.Second {
			seen := trial.Evidence(now)
			kept, keptAt = &seen, now
		}
		if trial.Promoted() && d.promotedAt.IsZero() {
			d.promotedAt = now
		}
		running := 1
		if !d.promotedAt.IsZero() && now.Sub(d.promotedAt) > 300*time.Millisecond {
			running = 0
		}
		if verdict := trial.Step(now, running, true); verdict != Undecided {
			return verdict
		}
		d.request(now, trial, float64(now.Sub(begin))/float64(d.span), rate)
	}
	return Undecided
}

// request plays one request.
func (d *day) request(now time.Time, trial *Trial, part, rate float64) {
	pick := d.random.Float64() * rate
	c := d.classes[0]
	for _, c = range d.classes {
		if pick -= c.rate; pick < 0 {
			break
		}
	}
	side := trial.Next(now, c.name)
	trial.Grant(c.name, side)
	d.total++
	number := d.random.IntN(d.targets)
	a := Answer{Side: side, Class: c.name, Target: d.names[side][number]}
	speed := 1.7
	if number%3 == 0 {
		speed = 0.6
	}
	a.Pace = time.Duration(float64(c.pace) / speed * (0.7 + 0.5*d.random.ExpFloat64()*d.random.Float64()))
	if c.prompt {
		a.Start = time.Duration(20 / speed * (0.8 + 0.8*d.random.ExpFloat64()) * float64(time.Microsecond))
	}
	a.Failed = d.random.Float64() < c.errors
	if side == NewVersion {
		d.exposed++
		if !d.afterBad.IsZero() && now.Sub(d.afterBad) > 5*time.Second {
			d.late = true
		}
		d.spoil(now, &a, part)
	}
	trial.Answer(a, d.targets)
}

// spoil makes an answer of the new version as bad as the fault says.
func (d *day) spoil(now time.Time, a *Answer, part float64) {
	if d.crash && part > 0.4 && part < 0.6 && a.Target == "1-1" {
		a.Broken = true
		return
	}
	f := d.fault
	if part < f.from || f.class != "" && f.class != a.Class || f.loaded > 0 && d.random.Float64() < 0.4 {
		return
	}
	switch p := d.random.Float64(); {
	case p < f.failing:
		a.Failed = true
	case p < f.failing+f.slow:
		a.Pace = time.Duration(float64(a.Pace) * f.factor)
		a.Start = time.Duration(float64(a.Start) * f.factor)
	default:
		return
	}
	if d.bad++; d.bad == 50 {
		d.afterBad = now
	}
}

// faults are the ways in which a generated version is bad.
var faults = []fault{
	{name: "all fail", failing: 1},
	{name: "a third fails", failing: 0.33},
	{name: "one in ten fails", failing: 0.1},
	{name: "all are four times slower", slow: 1, factor: 4},
	{name: "three in ten are five times slower", slow: 0.3, factor: 5},
	{name: "a third fails later", failing: 0.33, from: 0.5},
	{name: "a third fails under load", failing: 0.33, loaded: 4},
	{name: "half fail on one route", failing: 0.5, class: "priority-2"},
	{name: "half are four times slower on one route", slow: 0.5, factor: 4, class: "priority-2"},
}

// rolloutsEach is the number of rollouts played of each kind of bad version; scripts/test --long
// plays 1,000.
var rolloutsEach = flag.Int("rollouts", 200, "number of generated rollouts of each kind of bad version")

// goodRollouts is the number of rollouts played of each kind of good version.
const goodRollouts = 1000

// TestRolloutOfABadVersionIsRolledBack plays generated rollouts of bad versions, with an
// arbiter that is lost in each tenth.
func TestRolloutOfABadVersionIsRolledBack(t *testing.T) {
	for _, f := range faults {
		for _, classes := range [][]class{shiftedClasses, ordersClasses} {
			t.Run(fmt.Sprintf("%s, %d classes", f.name, len(classes)), func(t *testing.T) {
				t.Parallel()
				completed := 0
				for seed := range uint64(*rolloutsEach) {
					d := newDay(seed, classes)
					d.fault = f
					if d.play() != RolledBack {
						completed++
					}
					require.LessOrEqual(t, d.exposed, exposeShare*d.total+exposeSlack, "seed %d", seed)
					require.False(t, d.late, "seed %d", seed)
				}
				require.Zero(t, completed, "of %d", *rolloutsEach)
			})
		}
	}
}

// TestRolloutOfAGoodVersionCompletes plays generated rollouts of sound versions.
func TestRolloutOfAGoodVersionCompletes(t *testing.T) {
	rows := []struct {
		name    string
		classes []class
		crash   bool
	}{
		{"engines", shiftedClasses, false},
		{"a service", ordersClasses, false},
		{"engines, of which one crashes", shiftedClasses, true},
		{"a service, of which one target crashes", ordersClasses, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			rolledBack := 0
			for seed := range uint64(goodRollouts) {
				d := newDay(seed, row.classes)
				d.crash = row.crash
				if d.play() != Completed {
					rolledBack++
				}
			}
			require.Less(t, rolledBack, 10, "of %d", goodRollouts)
		})
	}
}

// shortTime is that of a rollout in six seconds, less the half second after which a verdict is of no
// use.
const shortTime = 5500 * time.Millisecond

// shortClasses is one kind of request of a small service.
func shortClasses(rate float64) []class {
	return []class{{"priority-0", rate, 0, 5 * time.Millisecond, false}}
}

// TestRolloutOfAGoodVersionCompletesInAShortTime plays small services. What they may
// give to a new version has to do for a judgement and for the moment in which that one takes over.
func TestRolloutOfAGoodVersionCompletesInAShortTime(t *testing.T) {
	for _, rate := range []float64{100, 200, 340, 400, 700} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) {
			t.Parallel()
			rolledBack := 0
			for seed := range uint64(goodRollouts) {
				d := newDay(seed, shortClasses(rate))
				d.span = shortTime
				if d.play() != Completed {
					rolledBack++
				}
			}
			require.Less(t, rolledBack, 10, "of %d", goodRollouts)
		})
	}
}

func newDay(seed uint64, classes []class) *day {
	d := &day{random: rand.New(rand.NewPCG(seed, 20261204)), classes: classes, targets: 60, span: 12 * time.Second}
	if len(classes) <= len(ordersClasses) {
		d.targets = 3
	}
	for side := range d.names {
		for number := range d.targets {
			d.names[side] = append(d.names[side], object.TargetName(fmt.Sprintf("%d-%d", side, number)))
		}
	}
	if seed%10 == 0 {
		d.arbiterLost = 0.2 + 0.5*d.random.Float64()
	}
	return d
}

// TestRolloutStaysInsideTheShareThoughItTurnsBadAtTheEnd plays versions that turn bad when it
// is too late to find out.
func TestRolloutStaysInsideTheShareThoughItTurnsBadAtTheEnd(t *testing.T) {
	rows := []struct {
		name    string
		classes []class
		span    time.Duration
	}{
		{"engines", shiftedClasses, 12 * time.Second},
		{"a small service for a short time", shortClasses(100), shortTime},
		{"a service for a short time", shortClasses(340), shortTime},
		{"a busy service for a short time", shortClasses(700), shortTime},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*rolloutsEach) {
				d := newDay(seed, row.classes)
				d.span = row.span
				d.fault = fault{failing: 1, from: 0.97}
				d.play()
				require.LessOrEqual(t, d.exposed, exposeShare*d.total+exposeSlack, "seed %d", seed)
			}
		})
	}
}

// TestRolloutOfWhichNothingIsKnownIsRolledBack: nobody asks for the service.
func TestRolloutOfWhichNothingIsKnownIsRolledBack(t *testing.T) {
	now := time.Unix(1000, 0)
	trial := New(now, Plan{Begin: now, Duration: 12 * time.Second, Share: exposeShare, Slack: exposeSlack}, nil)
	require.Equal(t, Undecided, trial.Step(now.Add(11900*time.Millisecond), 0, true))
	require.Equal(t, RolledBack, trial.Step(now.Add(12*time.Second), 0, true))
}
