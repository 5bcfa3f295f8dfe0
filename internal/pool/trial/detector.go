package trial

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"redwinglock/internal/state/object"
)

// Answer is the result of one request at a target.
type Answer struct {
	Side   Side
	Class  object.TierName
	Target object.TargetName
	// Failed is true if the target itself returned an error.
	Failed bool
	// Broken is true if the answer ended early or never arrived.
	Broken bool
	// Expired is true if the answer was not complete at the deadline of the request.
	Expired bool
	// ServiceTime is the time between two tokens of an engine, or the time of the whole answer
	// of a plain service. It is 0 if it was not measured.
	ServiceTime time.Duration
	// PrefillTime is the time to the first token, divided by the size of the prompt in tokens. It is
	// 0 if it was not measured.
	PrefillTime time.Duration
}

// indicator is one way in which an answer of a bad version differs from a normal answer.
type indicator int

const (
	failure indicator = iota
	// outlier is an answer that takes much longer than other answers of the same target.
	outlier
	// slowService and slowPrefill are answers that take longer than nearly all answers of the
	// old version.
	slowService
	slowPrefill
	indicatorCount
)

const (
	// rejectThreshold is the log-likelihood ratio at which the new version is rolled back, and
	// blockThreshold the ratio at which it cannot be promoted.
	rejectThreshold = 10.0
	blockThreshold  = 4.0
	// maxTargetFraction limits what one target can contribute, as a fraction of rejectThreshold.
	// A single failing target therefore does not reject a version.
	maxTargetFraction = 0.6
	// maxBrokenPerTarget is the number of broken answers of one target that are counted. A crash
	// breaks many answers at once.
	maxBrokenPerTarget = 2
	// priorWeight is the weight of priorRate, as a number of answers of the old version.
	priorWeight = 20
	// An outlier takes longer than outlierFactor times the targetQuantile of the answers of its
	// target. The quantile is used once minTargetSamples answers are counted.
	outlierFactor    = 2.5
	targetQuantile   = 0.3
	minTargetSamples = 6
	// A slow answer takes longer than slowMargin times the slowQuantile of the answers of the old
	// version.
	slowQuantile = 0.9
	slowMargin   = 1.25
	// windowSize is the number of values in a sliding window, and refreshInterval the number of
	// new values after which its quantiles are computed again.
	windowSize      = 256
	refreshInterval = 32
)

// priorRate is the rate of an indicator that is assumed before answers arrive, and the lowest
// rate that the tests use. minRateIncrease is the minimum by which the rate of a bad version is
// higher.
var (
	priorRate       = [indicatorCount]float64{failure: 0.01, outlier: 0.03, slowService: 0.08, slowPrefill: 0.08}
	minRateIncrease = [indicatorCount]float64{failure: 0.06, outlier: 0.1, slowService: 0.15, slowPrefill: 0.15}
)

// detector compares the answers of two versions by class and indicator, with a sequential
// likelihood ratio test. The test restarts whenever it favors the new version, so a version
// that turns bad late is detected as fast as one that is bad from the start.
type detector struct {
	classes map[object.TierName]*classTests
	targets map[object.TargetName]*targetRecord
	// answers counts the answers of the new version.
	answers int
}

// classTests holds the tests of one class.
type classTests struct {
	baseline     [indicatorCount]indicatorRate
	tests        [indicatorCount]sequentialTest
	serviceTimes slidingWindow
	prefillTimes slidingWindow
}

// targetRecord holds the measurements of one target.
type targetRecord struct {
	broken       int
	serviceTimes map[object.TierName]*slidingWindow
}

func newDetector() *detector {
	return &detector{classes: map[object.TierName]*classTests{}, targets: map[object.TargetName]*targetRecord{}}
}

// record adds an answer and reports whether the new version is to be rolled back. targets is the
// number of targets of the new version.
func (d *detector) record(a Answer, targets int) bool {
	c := d.classes[a.Class]
	if c == nil {
		c = &classTests{}
		d.classes[a.Class] = c
	}
	r := d.targets[a.Target]
	if r == nil {
		r = &targetRecord{serviceTimes: map[object.TierName]*slidingWindow{}}
		d.targets[a.Target] = r
	}
	if a.Broken {
		r.broken++
		if r.broken > maxBrokenPerTarget {
			return false
		}
	}
	if a.Side == NewVersion {
		d.answers++
	}
	seen := c.observe(a, r)
	rejected := false
	for s := range indicatorCount {
		switch {
		case !seen[s].known:
		case a.Side == OldVersion:
			c.baseline[s].add(seen[s].bad)
		default:
			rejected = c.tests[s].add(a.Target, c.baseline[s].value(s), minRateIncrease[s], seen[s].bad, targets) || rejected
		}
	}
	return rejected
}

// observation holds the indicators of one answer: known if the indicator could be evaluated, bad
// if the answer shows it.
type observation [indicatorCount]struct{ known, bad bool }

func (o *observation) set(s indicator, bad bool) { o[s].known, o[s].bad = true, bad }

// observe evaluates the indicators of an answer.
func (c *classTests) observe(a Answer, r *targetRecord) observation {
	var seen observation
	seen.set(failure, a.Failed || a.Broken)
	if a.Expired {
		seen.set(slowService, true)
		return seen
	}
	if a.Failed || a.Broken {
		return seen
	}
	if a.ServiceTime > 0 {
		own := r.serviceTimes[a.Class]
		if own == nil {
			own = &slidingWindow{}
			r.serviceTimes[a.Class] = own
		}
		if own.count >= minTargetSamples {
			seen.set(outlier, float64(a.ServiceTime) > outlierFactor*own.quantile(targetQuantile))
		}
		own.add(float64(a.ServiceTime))
		c.compareTime(&seen, slowService, &c.serviceTimes, a.Side, float64(a.ServiceTime))
	}
	if a.PrefillTime > 0 {
		c.compareTime(&seen, slowPrefill, &c.prefillTimes, a.Side, float64(a.PrefillTime))
	}
	return seen
}

// compareTime evaluates whether a time is longer than nearly all times of the old version.
func (c *classTests) compareTime(seen *observation, s indicator, baseline *slidingWindow, side Side, value float64) {
	if baseline.count >= priorWeight {
		seen.set(s, value > slowMargin*baseline.quantile(slowQuantile))
	}
	if side == OldVersion {
		baseline.add(value)
	}
}

// exceeds reports whether the log-likelihood ratio of any test has reached the limit.
func (d *detector) exceeds(limit float64) bool {
	for _, c := range d.classes {
		for s := range c.tests {
			if c.tests[s].logRatio >= limit {
				return true
			}
		}
	}
	return false
}

// indicatorRate counts how many of all answers show an indicator.
type indicatorRate struct {
	Seen float64 `json:"seen"`
	All  float64 `json:"all"`
}

func (r *indicatorRate) add(bad bool) {
	r.All++
	if bad {
		r.Seen++
	}
}

func (r *indicatorRate) value(s indicator) float64 {
	return max((r.Seen+priorRate[s]*priorWeight)/(r.All+priorWeight), priorRate[s])
}

// sequentialTest is the sequential likelihood ratio test of one class and indicator.
type sequentialTest struct {
	logRatio float64
	// byTarget is the contribution of each target since the last restart of the test.
	byTarget map[object.TargetName]float64
}

// add adds one answer and reports whether the version is rejected. The test compares the baseline
// rate with a rate that is higher by minIncrease or by half, whichever is more.
func (t *sequentialTest) add(target object.TargetName, baseline, minIncrease float64, bad bool, targets int) bool {
	higher := min(baseline+max(minIncrease, baseline/2), 0.99)
	x := 0.0
	if bad {
		x = 1
	}
	step := distuv.Bernoulli{P: higher}.LogProb(x) - distuv.Bernoulli{P: baseline}.LogProb(x)
	if step > 0 {
		limit := rejectThreshold * maxTargetFraction
		if targets <= 1 {
			limit = rejectThreshold
		}
		step = min(step, limit-t.byTarget[target])
		if t.byTarget == nil {
			t.byTarget = map[object.TargetName]float64{}
		}
		t.byTarget[target] += step
	}
	t.logRatio += step
	if t.logRatio <= 0 {
		t.logRatio = 0
		clear(t.byTarget)
	}
	return t.logRatio >= rejectThreshold
}

// slidingWindow keeps the newest values of a distribution. sortedCount is the value of count when
// sorted was computed.
type slidingWindow struct {
	values      []float64
	count       int
	sorted      []float64
	sortedCount int
}

func (s *slidingWindow) add(value float64) {
	if len(s.values) < windowSize {
		s.values = append(s.values, value)
	} else {
		s.values[s.count%windowSize] = value
	}
	s.count++
}

// quantile returns a quantile of the values at the last refresh.
func (s *slidingWindow) quantile(p float64) float64 {
	if s.sorted == nil || s.count-s.sortedCount >= refreshInterval || s.count < refreshInterval && s.sortedCount != s.count {
		s.sorted = append(s.sorted[:0], s.values...)
		slices.Sort(s.sorted)
		s.sortedCount = s.count
	}
	return s.sorted[int(p*float64(len(s.sorted)-1))]
}
