// Package trial decides how the requests of a pool move from targets of one version to those
// of another: which share goes to the new version, whether it is worse than the old one, and
// when it takes over. It does no I/O: requests, answers and the time go in.
package trial

import (
	"math"
	"time"

	"redwinglock/internal/state/object"
)

// Side is one of the two versions.
type Side int

// The sides of a rollout.
const (
	OldVersion Side = iota
	NewVersion
)

// Verdict is what a trial has come to.
type Verdict int

// The verdicts.
const (
	// Undecided trials go on.
	Undecided Verdict = iota
	// Completed says that the new version is as good as the old one and serves all requests.
	Completed
	// RolledBack says that the new version is worse, or that nothing is known of it.
	RolledBack
)

const (
	// firstShare and lastShare are the least and the largest share of a trial, as parts of the
	// one allowed. The largest is reached after rampPart of the time.
	firstShare = 0.1
	lastShare  = 0.8
	rampPart   = 0.2
	// slackPart is the part of the slack that is used for a trial.
	slackPart = 0.6
	// minLead and maxLead bound how long before its end a trial moves all requests to a sound
	// new version, so that the old one has none left when it is stopped.
	minLead = 600 * time.Millisecond
	maxLead = 2500 * time.Millisecond
	// writeLead is left for the verdict to be written.
	writeLead = 250 * time.Millisecond
	// minAnswers is the number of answers of the new version from which it can be judged sound.
	minAnswers = 20
	// enoughAnswers is the number of requests that the new version gets at least, so that there are
	// minAnswers in time.
	enoughAnswers = 1.6 * minAnswers
)

// Plan is what was ordered.
type Plan struct {
	Begin    time.Time
	Duration time.Duration
	// Share is the share of all requests that a bad version may get, and Slack how many more.
	Share, Slack float64
}

// Trial is one rollout as one arbiter sees it. Each arbiter keeps the share of the requests
// that it grants itself, so the bound holds for the sum over all arbiters, and for one that
// begins anew, without any of them knowing of the others. It is not safe for concurrent use.
type Trial struct {
	plan     Plan
	seenAt   time.Time
	judge    *judge
	classes  map[object.TierName]*granted
	verdict  Verdict
	promoted bool
}

// granted counts requests by side.
type granted [2]float64

// Evidence is what a trial has seen. An arbiter that takes over goes on from it.
type Evidence struct {
	// SeenMS is for how long the trial has seen requests.
	SeenMS  int64                              `json:"seen-ms"`
	Answers int                                `json:"answers"`
	Classes map[object.TierName]*ClassEvidence `json:"classes,omitempty"`
}

// ClassEvidence is what was seen of one class.
type ClassEvidence struct {
	// Granted counts the requests by side.
	Granted granted `json:"granted"`
	// Ratios are the log-likelihood ratios of the tests, and Usual the rates of the old version.
	Ratios [signs]float64 `json:"ratios"`
	Usual  [signs]rate    `json:"usual"`
}

// Evidence returns what the trial has seen.
func (t *Trial) Evidence(now time.Time) Evidence {
	e := Evidence{SeenMS: now.Sub(t.seenAt).Milliseconds(), Answers: t.judge.answers, Classes: map[object.TierName]*ClassEvidence{}}
	for class, g := range t.classes {
		e.Classes[class] = &ClassEvidence{Granted: *g}
	}
	for class, c := range t.judge.classes {
		if e.Classes[class] == nil {
			e.Classes[class] = &ClassEvidence{}
		}
		e.Classes[class].Usual = c.usual
		for s := range c.tests {
			e.Classes[class].Ratios[s] = c.tests[s].ratio
		}
	}
	return e
}

// resume takes over what another trial of the same rollout has seen.
func (t *Trial) resume(e *Evidence) {
	t.seenAt = t.seenAt.Add(-time.Duration(e.SeenMS) * time.Millisecond)
	t.judge.answers = e.Answers
	for class, seen := range e.Classes {
		*t.counts(class) = seen.Granted
		c := &comparison{usual: seen.Usual}
		for s, ratio := range seen.Ratios {
			c.tests[s].ratio = ratio
		}
		t.judge.classes[class] = c
	}
}

// New starts a trial, or goes on with one that another arbiter has begun. Evidence may be
// nil.
func New(now time.Time, p Plan, e *Evidence) *Trial {
	t := &Trial{plan: p, seenAt: now, judge: newJudge(), classes: map[object.TierName]*granted{}}
	if e != nil {
		t.resume(e)
	}
	return t
}

// Next returns the side to which the next request of a class goes. If no target of the new
// version is free, the old one may serve it; the other way round it may not.
func (t *Trial) Next(now time.Time, class object.TierName) Side {
	switch {
	case t.verdict == RolledBack:
		return OldVersion
	case t.promoted:
		return NewVersion
	}
	g := t.counts(class)
	if g[NewVersion]+1 <= t.share(now)*(g[OldVersion]+g[NewVersion]+1) {
		return NewVersion
	}
	return OldVersion
}

// Grant counts a request that was granted.
func (t *Trial) Grant(class object.TierName, side Side) { t.counts(class)[side]++ }

// Promoted reports whether all requests go to the new version.
func (t *Trial) Promoted() bool { return t.promoted }

// Answer takes how a request has ended. targets is how many targets of the new version there
// are.
func (t *Trial) Answer(a Answer, targets int) {
	if t.verdict != Undecided {
		return
	}
	if t.judge.note(a, targets) {
		t.verdict = RolledBack
		t.promoted = false
	}
}

// Step moves the trial on and returns its verdict. oldRunning is the number of requests that
// targets of the old version still run, and ready says whether those of the new version can
// carry all requests.
func (t *Trial) Step(now time.Time, oldRunning int, ready bool) Verdict {
	end := t.plan.Begin.Add(t.plan.Duration)
	switch {
	case t.verdict != Undecided:
	case !now.Before(end):
		t.verdict = RolledBack // It was not found sound in time.
		t.promoted = false
	case t.promoted && (oldRunning == 0 || !now.Before(end.Add(-writeLead))):
		t.verdict = Completed
	case !t.promoted && ready && t.sound() && !now.Before(end.Add(-t.lead(now))):
		t.promoted = true
	}
	return t.verdict
}

// sound reports whether enough is known of the new version and nothing speaks against it.
func (t *Trial) sound() bool { return t.judge.answers >= minAnswers && !t.judge.above(unsound) }

// lead returns how long before the end all requests go to the new version: for as long as they
// stay inside the share that even a version that turns bad in that time may get.
func (t *Trial) lead(now time.Time) time.Duration {
	perSecond, exposed := t.rate(now)
	if perSecond == 0 {
		return minLead
	}
	left := t.plan.Share*perSecond*t.plan.Duration.Seconds() + slackPart*t.plan.Slack - exposed
	return min(max(time.Duration(left/perSecond*float64(time.Second)), minLead), maxLead)
}

// rate returns how many requests came a second, and how many the new version got of them.
func (t *Trial) rate(now time.Time) (perSecond, exposed float64) {
	total := 0.0
	for _, g := range t.classes {
		total += g[OldVersion] + g[NewVersion]
		exposed += g[NewVersion]
	}
	elapsed := now.Sub(t.seenAt).Seconds()
	if elapsed <= 0 {
		return 0, exposed
	}
	return total / elapsed, exposed
}

// share returns the share of the requests that goes to the new version.
func (t *Trial) share(now time.Time) float64 {
	part := float64(now.Sub(t.plan.Begin)) / float64(max(t.plan.Duration, 1)) / rampPart
	least := t.plan.Share * firstShare
	return least + (t.largest(now)-least)*math.Min(math.Max(part, 0), 1)
}

// largest returns the share that leaves enough of the one allowed for the time in which all
// requests go to the new version.
func (t *Trial) largest(now time.Time) float64 {
	span := t.plan.Duration.Seconds()
	share := t.plan.Share - minLead.Seconds()/max(span, minLead.Seconds())
	if perSecond, _ := t.rate(now); perSecond > 0 {
		requests := perSecond * span
		share = max(share+slackPart*t.plan.Slack/requests, min(enoughAnswers, t.plan.Slack)/requests)
	}
	return math.Min(math.Max(share, t.plan.Share*firstShare), t.plan.Share*lastShare)
}

func (t *Trial) counts(class object.TierName) *granted {
	g := t.classes[class]
	if g == nil {
		g = &granted{}
		t.classes[class] = g
	}
	return g
}
