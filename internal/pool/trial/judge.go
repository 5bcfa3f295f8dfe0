package trial

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"redwinglock/internal/state/object"
)

// Answer is how one request has ended at a target.
type Answer struct {
	Side   Side
	Class  object.TierName
	Target object.TargetName
	// Failed answers are errors of the target itself.
	Failed bool
	// Broken answers ended early or never came.
	Broken bool
	// Expired requests had no whole answer when their time was up.
	Expired bool
	// Pace is the time between two tokens, or of the whole answer of a plain service; 0 if
	// it was not measured.
	Pace time.Duration
	// Start is the time until the first token for one token of the prompt, 0 if not measured.
	Start time.Duration
}

// sign is one way in which an answer can be worse than usual.
type sign int

const (
	failure sign = iota
	// outlier answers take much longer than others of the same target.
	outlier
	// slowPace and slowStart answers take longer than nearly all of the old version.
	slowPace
	slowStart
	signs
)

const (
	// certain is the log-likelihood ratio at which a version is found worse, and unsound that
	// from which it cannot take over.
	certain = 10.0
	unsound = 4.0
	// perTarget is the part of certain that one target can bring, so that a single target in
	// trouble does not condemn a version.
	perTarget = 0.6
	// brokenLimit is how many broken answers of one target count: a crash breaks many at once.
	brokenLimit = 2
	// priorAnswers is the weight of the rates assumed before answers of the old version came.
	priorAnswers = 20
	// outlierFactor is how much longer than usual at its target an outlier takes. What is usual
	// is the quantile of its answers, known from ownSamples on.
	outlierFactor = 2.5
	usualQuantile = 0.3
	ownSamples    = 6
	// slowQuantile and slowMargin set what is longer than nearly all answers of the old version.
	slowQuantile = 0.9
	slowMargin   = 1.25
	// recent is the number of answers from which a distribution is taken, and refresh that
	// after which it is taken anew.
	recent  = 256
	refresh = 32
)

// priorRate is the rate of a sign that is assumed before answers came, and the least one
// reckoned with; worseBy is by how much the rate of a bad version is higher at least.
var (
	priorRate = [signs]float64{failure: 0.01, outlier: 0.03, slowPace: 0.08, slowStart: 0.08}
	worseBy   = [signs]float64{failure: 0.06, outlier: 0.1, slowPace: 0.15, slowStart: 0.15}
)

// judge compares the answers of two versions, by class and sign, with a sequential likelihood
// ratio test that starts anew whenever it favours the new version, so that one that turns bad
// late is found as fast as one that is bad from the start.
type judge struct {
	classes map[object.TierName]*comparison
	targets map[object.TargetName]*targetRecord
	// answers is the number of answers of the new version.
	answers int
}

// comparison holds the tests of one class.
type comparison struct {
	usual [signs]rate
	tests [signs]test
	pace  sample
	start sample
}

// targetRecord is what was seen of one target.
type targetRecord struct {
	broken int
	paces  map[object.TierName]*sample
}

func newJudge() *judge {
	return &judge{classes: map[object.TierName]*comparison{}, targets: map[object.TargetName]*targetRecord{}}
}

// note takes an answer and reports whether the new version is found worse.
func (j *judge) note(a Answer, targets int) bool {
	c := j.classes[a.Class]
	if c == nil {
		c = &comparison{}
		j.classes[a.Class] = c
	}
	r := j.targets[a.Target]
	if r == nil {
		r = &targetRecord{paces: map[object.TierName]*sample{}}
		j.targets[a.Target] = r
	}
	if a.Broken {
		r.broken++
		if r.broken > brokenLimit {
			return false
		}
	}
	if a.Side == NewVersion {
		j.answers++
	}
	seen := c.read(a, r)
	worse := false
	for s := range signs {
		switch {
		case !seen[s].told:
		case a.Side == OldVersion:
			c.usual[s].add(seen[s].bad)
		default:
			worse = c.tests[s].add(a.Target, c.usual[s].value(s), worseBy[s], seen[s].bad, targets) || worse
		}
	}
	return worse
}

// observed is whether a sign can be told from an answer, and whether the answer shows it.
type observed [signs]struct{ told, bad bool }

func (o *observed) tell(s sign, bad bool) { o[s].told, o[s].bad = true, bad }

// read returns what an answer shows.
func (c *comparison) read(a Answer, r *targetRecord) observed {
	var seen observed
	seen.tell(failure, a.Failed || a.Broken)
	if a.Expired {
		seen.tell(slowPace, true)
		return seen
	}
	if a.Failed || a.Broken {
		return seen
	}
	if a.Pace > 0 {
		own := r.paces[a.Class]
		if own == nil {
			own = &sample{}
			r.paces[a.Class] = own
		}
		if own.count >= ownSamples {
			seen.tell(outlier, float64(a.Pace) > outlierFactor*own.quantile(usualQuantile))
		}
		own.add(float64(a.Pace))
		c.compare(&seen, slowPace, &c.pace, a.Side, float64(a.Pace))
	}
	if a.Start > 0 {
		c.compare(&seen, slowStart, &c.start, a.Side, float64(a.Start))
	}
	return seen
}

// compare tells whether a time is longer than nearly all of the old version.
func (c *comparison) compare(seen *observed, s sign, usual *sample, side Side, value float64) {
	if usual.count >= priorAnswers {
		seen.tell(s, value > slowMargin*usual.quantile(slowQuantile))
	}
	if side == OldVersion {
		usual.add(value)
	}
}

// above reports whether some test speaks against the new version as much as the limit says.
func (j *judge) above(limit float64) bool {
	for _, c := range j.classes {
		for s := range c.tests {
			if c.tests[s].ratio >= limit {
				return true
			}
		}
	}
	return false
}

// rate is how often a sign is seen.
type rate struct {
	Seen float64 `json:"seen"`
	All  float64 `json:"all"`
}

func (r *rate) add(bad bool) {
	r.All++
	if bad {
		r.Seen++
	}
}

func (r *rate) value(s sign) float64 {
	return max((r.Seen+priorRate[s]*priorAnswers)/(r.All+priorAnswers), priorRate[s])
}

// test is one sequential test.
type test struct {
	ratio float64
	// by is what each target has brought since the test started anew.
	by map[object.TargetName]float64
}

// add takes one answer and reports whether the version is found worse than one with the usual
// rate, at a rate that is higher by worse or by half.
func (t *test) add(target object.TargetName, usual, worse float64, bad bool, targets int) bool {
	higher := min(usual+max(worse, usual/2), 0.99)
	x := 0.0
	if bad {
		x = 1
	}
	step := distuv.Bernoulli{P: higher}.LogProb(x) - distuv.Bernoulli{P: usual}.LogProb(x)
	if step > 0 {
		limit := certain * perTarget
		if targets <= 1 {
			limit = certain
		}
		step = min(step, limit-t.by[target])
		if t.by == nil {
			t.by = map[object.TargetName]float64{}
		}
		t.by[target] += step
	}
	t.ratio += step
	if t.ratio <= 0 {
		t.ratio = 0
		clear(t.by)
	}
	return t.ratio >= certain
}

// sample keeps the newest values of a distribution.
type sample struct {
	values []float64
	count  int
	sorted []float64
	taken  int
}

func (s *sample) add(value float64) {
	if len(s.values) < recent {
		s.values = append(s.values, value)
	} else {
		s.values[s.count%recent] = value
	}
	s.count++
}

// quantile returns a quantile as of the last refresh.
func (s *sample) quantile(p float64) float64 {
	if s.sorted == nil || s.count-s.taken >= refresh || s.count < refresh && s.taken != s.count {
		s.sorted = append(s.sorted[:0], s.values...)
		slices.Sort(s.sorted)
		s.taken = s.count
	}
	return s.sorted[int(p*float64(len(s.sorted)-1))]
}
