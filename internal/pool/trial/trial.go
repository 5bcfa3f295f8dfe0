// Package trial decides how the requests of a pool move from the targets of one version to the
// targets of another: which share the new version gets, whether it is worse than the old version,
// and when it is promoted. It does no I/O; callers pass in requests, answers and the time.
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

// Verdict is the result of a trial.
type Verdict int

// The verdicts.
const (
	// Undecided means that the trial continues.
	Undecided Verdict = iota
	// Completed means that the new version is as good as the old one and serves all requests.
	Completed
	// RolledBack means that the new version is worse, or was not found healthy in time.
	RolledBack
)

const (
	// initialShareFraction and maxShareFraction are the first and the largest share of a trial, as
	// fractions of Plan.Share. The largest is reached after rampFraction of the duration.
	initialShareFraction = 0.1
	maxShareFraction     = 0.8
	rampFraction         = 0.2
	// maxTinyServiceShare is the largest share of a trial of a service with few requests.
	maxTinyServiceShare = 0.6
	// slackFraction is the fraction of Plan.Slack that a trial uses.
	slackFraction = 0.6
	// minPromotionLead and maxPromotionLead bound how long before its end a trial moves all
	// requests to a healthy new version, so that the old version runs none when it is stopped.
	minPromotionLead = 600 * time.Millisecond
	maxPromotionLead = 2500 * time.Millisecond
	// verdictLead is the time reserved for storing the verdict.
	verdictLead = 250 * time.Millisecond
	// minAnswers is the number of answers that a new version needs to be found healthy.
	minAnswers = 20
	// plannedAnswers is the minimum number of requests that the new version gets, so that
	// minAnswers of them end in time.
	plannedAnswers = 1.6 * minAnswers
)

// Plan holds the parameters of a rollout.
type Plan struct {
	Begin    time.Time
	Duration time.Duration
	// Share is the fraction of all requests that a bad version may get, and Slack the number of
	// requests that it may get in addition.
	Share, Slack float64
}

// Trial is the part of a rollout that one arbiter runs. Each arbiter applies the share to the
// requests that it grants itself. The bound therefore holds for the sum over all arbiters and
// after a restart of an arbiter, without coordination. It is not safe for concurrent use.
type Trial struct {
	plan      Plan
	startedAt time.Time
	detector  *detector
	classes   map[object.TierName]*sideCounts
	verdict   Verdict
	promoted  bool
}

// sideCounts holds the number of requests by side.
type sideCounts [2]float64

// Evidence is the state of a trial from which a new arbiter continues it.
type Evidence struct {
	// ElapsedMS is the time for which the trial has counted requests.
	ElapsedMS int64                              `json:"seen-ms"`
	Answers   int                                `json:"answers"`
	Classes   map[object.TierName]*ClassEvidence `json:"classes,omitempty"`
}

// ClassEvidence is the part of the evidence about one class.
type ClassEvidence struct {
	// Granted counts the requests by side.
	Granted sideCounts `json:"granted"`
	// Ratios are the log-likelihood ratios of the tests, and Baseline the indicator rates of the
	// old version.
	Ratios   [indicatorCount]float64       `json:"ratios"`
	Baseline [indicatorCount]indicatorRate `json:"usual"`
}

// Evidence returns the state of the trial.
func (t *Trial) Evidence(now time.Time) Evidence {
	e := Evidence{ElapsedMS: now.Sub(t.startedAt).Milliseconds(), Answers: t.detector.answers, Classes: map[object.TierName]*ClassEvidence{}}
	for class, g := range t.classes {
		e.Classes[class] = &ClassEvidence{Granted: *g}
	}
	for class, c := range t.detector.classes {
		if e.Classes[class] == nil {
			e.Classes[class] = &ClassEvidence{}
		}
		e.Classes[class].Baseline = c.baseline
		for s := range c.tests {
			e.Classes[class].Ratios[s] = c.tests[s].logRatio
		}
	}
	return e
}

// restore loads the evidence of an earlier trial of the same rollout.
func (t *Trial) restore(e *Evidence) {
	t.startedAt = t.startedAt.Add(-time.Duration(e.ElapsedMS) * time.Millisecond)
	t.detector.answers = e.Answers
	for class, seen := range e.Classes {
		*t.classCounts(class) = seen.Granted
		c := &classTests{baseline: seen.Baseline}
		for s, ratio := range seen.Ratios {
			c.tests[s].logRatio = ratio
		}
		t.detector.classes[class] = c
	}
}

// New starts a trial, or continues the trial of another arbiter from its evidence. The evidence
// may be nil.
func New(now time.Time, p Plan, e *Evidence) *Trial {
	t := &Trial{plan: p, startedAt: now, detector: newDetector(), classes: map[object.TierName]*sideCounts{}}
	if e != nil {
		t.restore(e)
	}
	return t
}

// Next returns the side for the next request of a class. If no target of the new version is free,
// the old version may serve the request. A request for the old version never goes to the new one.
func (t *Trial) Next(now time.Time, class object.TierName) Side {
	switch {
	case t.verdict == RolledBack:
		return OldVersion
	case t.promoted:
		return NewVersion
	}
	g := t.classCounts(class)
	if g[NewVersion]+1 <= t.newVersionShare(now)*(g[OldVersion]+g[NewVersion]+1) {
		return NewVersion
	}
	return OldVersion
}

// Grant counts a request that was granted.
func (t *Trial) Grant(class object.TierName, side Side) { t.classCounts(class)[side]++ }

// Promoted reports whether all requests go to the new version.
func (t *Trial) Promoted() bool { return t.promoted }

// Answer records the result of a request. targets is the number of targets of the new version.
func (t *Trial) Answer(a Answer, targets int) {
	if t.verdict != Undecided {
		return
	}
	if t.detector.record(a, targets) {
		t.verdict = RolledBack
		t.promoted = false
	}
}

// Step advances the trial and returns its verdict. oldRunning is the number of requests that
// targets of the old version still run. ready reports whether the targets of the new version have
// the capacity for all requests.
func (t *Trial) Step(now time.Time, oldRunning int, ready bool) Verdict {
	end := t.plan.Begin.Add(t.plan.Duration)
	switch {
	case t.verdict != Undecided:
	case !now.Before(end):
		t.verdict = RolledBack // It was not found healthy in time.
		t.promoted = false
	case t.promoted && (oldRunning == 0 || !now.Before(end.Add(-verdictLead))):
		t.verdict = Completed
	case !t.promoted && ready && t.healthy() && !now.Before(end.Add(-t.promotionLead(now))):
		t.promoted = true
	}
	return t.verdict
}

// healthy reports whether the new version has enough answers and no test reaches blockThreshold.
func (t *Trial) healthy() bool {
	return t.detector.answers >= minAnswers && !t.detector.exceeds(blockThreshold)
}

// promotionLead returns how long before the end all requests go to the new version: for as long as
// even a version that turns bad in that time stays within its share, between minPromotionLead and
// maxPromotionLead.
func (t *Trial) promotionLead(now time.Time) time.Duration {
	perSecond, exposed := t.requestRate(now)
	if perSecond == 0 {
		return minPromotionLead
	}
	left := t.plan.Share*perSecond*t.plan.Duration.Seconds() + slackFraction*t.plan.Slack - exposed
	return min(max(time.Duration(left/perSecond*float64(time.Second)), minPromotionLead), maxPromotionLead)
}

// requestRate returns the number of requests per second, and the number of requests that the new
// version got so far.
func (t *Trial) requestRate(now time.Time) (perSecond, exposed float64) {
	total := 0.0
	for _, g := range t.classes {
		total += g[OldVersion] + g[NewVersion]
		exposed += g[NewVersion]
	}
	elapsed := now.Sub(t.startedAt).Seconds()
	if elapsed <= 0 {
		return 0, exposed
	}
	return total / elapsed, exposed
}

// newVersionShare returns the current share of the requests for the new version.
func (t *Trial) newVersionShare(now time.Time) float64 {
	progress := float64(now.Sub(t.plan.Begin)) / float64(max(t.plan.Duration, 1)) / rampFraction
	initial := t.plan.Share * initialShareFraction
	return initial + (t.maxShare(now)-initial)*math.Min(math.Max(progress, 0), 1)
}

// maxShare returns the largest share before the promotion. It leaves enough of the allowed share
// for the time in which all requests go to the new version.
func (t *Trial) maxShare(now time.Time) float64 {
	seconds := t.plan.Duration.Seconds()
	share := t.plan.Share - minPromotionLead.Seconds()/max(seconds, minPromotionLead.Seconds())
	lowest := t.plan.Share * initialShareFraction
	if perSecond, exposed := t.requestRate(now); perSecond > 0 {
		share += slackFraction * t.plan.Slack / (perSecond * seconds)
		lowest = max(lowest, t.shareForAnswers(now, perSecond, exposed))
	}
	share = min(share, t.plan.Share*maxShareFraction)
	return max(share, lowest)
}

// shareForAnswers returns the share with which the new version gets plannedAnswers requests before the
// promotion. The slack allows it also at a service with so few requests that it exceeds the usual share.
func (t *Trial) shareForAnswers(now time.Time, perSecond, exposed float64) float64 {
	missing := min(plannedAnswers, t.plan.Slack) - exposed
	left := t.plan.Begin.Add(t.plan.Duration - minPromotionLead).Sub(now)
	if missing <= 0 || left <= 0 {
		return 0
	}
	return min(missing/(perSecond*left.Seconds()), maxTinyServiceShare)
}

func (t *Trial) classCounts(class object.TierName) *sideCounts {
	g := t.classes[class]
	if g == nil {
		g = &sideCounts{}
		t.classes[class] = g
	}
	return g
}
