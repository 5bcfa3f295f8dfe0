package shard

import (
	"math"
	"time"
)

const (
	// UsageStep is the resolution of recorded usage.
	UsageStep      = 500 * time.Millisecond
	usageStepCount = 40
	// MaxUsageWindow is how long usage is remembered, which is also the longest window that can be
	// limited.
	MaxUsageWindow = usageStepCount * UsageStep
)

// UsageWindow records recent usage in steps of UsageStep.
type UsageWindow struct {
	// epoch is the start of step 0, before all recorded usage.
	epoch time.Time
	// costs is a ring buffer of the latest steps, indexed by step number modulo its length.
	costs  [usageStepCount + 1]float64
	newest int64 // Number of the newest step.
}

// NewUsageWindow creates an empty window.
func NewUsageWindow(now time.Time) *UsageWindow { return &UsageWindow{epoch: now.Add(-MaxUsageWindow)} }

// advance moves the window to the given time and returns the step number of that time.
func (w *UsageWindow) advance(at time.Time) int64 {
	number := int64(at.Sub(w.epoch) / UsageStep)
	for number > w.newest {
		w.newest++
		w.costs[w.newest%int64(len(w.costs))] = 0
	}
	return number
}

// Add records usage. It ignores usage that is older than the window.
func (w *UsageWindow) Add(at time.Time, cost float64) {
	number := w.advance(at)
	if number > w.newest-int64(len(w.costs)) && number >= 0 {
		w.costs[number%int64(len(w.costs))] += cost
	}
}

// Sum returns the usage in the window that ends now. It includes all of the oldest step, which may
// begin before the window.
func (w *UsageWindow) Sum(now time.Time, window time.Duration) float64 {
	w.advance(now)
	sum := 0.0
	for age := range w.stepCount(window) {
		sum += w.costAt(age)
	}
	return sum
}

// Raise records a value for the step of the given time, unless a higher one is recorded. It ignores a
// time that is older than the window.
func (w *UsageWindow) Raise(at time.Time, value float64) {
	number := w.advance(at)
	if number > w.newest-int64(len(w.costs)) && number >= 0 {
		w.costs[number%int64(len(w.costs))] = max(w.costs[number%int64(len(w.costs))], value)
	}
}

// stepNumber returns the number of the step of a time, which is negative before the first step.
func (w *UsageWindow) stepNumber(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(w.epoch)) / float64(UsageStep)))
}

// at returns the value of a step, 0 if it is too old or in the future.
func (w *UsageWindow) at(number int64) float64 {
	if number < 0 || number > w.newest || number <= w.newest-int64(len(w.costs)) {
		return 0
	}
	return w.costs[number%int64(len(w.costs))]
}

// sumSteps adds up the steps from one number to another, both included.
func (w *UsageWindow) sumSteps(from, to int64) float64 {
	sum := 0.0
	for number := from; number <= to; number++ {
		sum += w.at(number)
	}
	return sum
}

// stepCount returns the number of steps that overlap with a window that ends now.
func (w *UsageWindow) stepCount(window time.Duration) int64 {
	return min(int64(window/UsageStep)+1, int64(len(w.costs)), w.newest+1)
}

// costAt returns the usage of the step with the given age in steps.
func (w *UsageWindow) costAt(age int64) float64 {
	return w.costs[(w.newest-age)%int64(len(w.costs))]
}

// TimeUntilFree returns the time until usage of the given cost has left the window. The result is
// at most the length of the window.
func (w *UsageWindow) TimeUntilFree(now time.Time, window time.Duration, cost float64) time.Duration {
	w.advance(now)
	for age := w.stepCount(window) - 1; age >= 0; age-- {
		cost -= w.costAt(age)
		if cost <= 0 {
			return max(window-time.Duration(age)*UsageStep, 0)
		}
	}
	return window
}

// Recent returns the usage per step in the window that ends now, newest first.
func (w *UsageWindow) Recent(now time.Time, window time.Duration) []float64 {
	w.advance(now)
	recent := make([]float64, 0, w.stepCount(window))
	for age := range w.stepCount(window) {
		recent = append(recent, w.costAt(age))
	}
	return recent
}
