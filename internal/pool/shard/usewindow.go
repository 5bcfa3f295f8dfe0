package shard

import (
	"time"
)

const (
	// UseStep is the resolution with which use is remembered.
	UseStep  = 500 * time.Millisecond
	useSteps = 40
	// UseSpan is for how long it is remembered, the longest window that can be judged.
	UseSpan = useSteps * UseStep
)

// UseWindow remembers what was used lately, in steps.
type UseWindow struct {
	// epoch is the time of step 0. It lies before all uses.
	epoch time.Time
	// costs are the last steps, each at its number modulo their count.
	costs  [useSteps + 1]float64
	newest int64 // Number of the newest step.
}

// NewUseWindow creates an empty window.
func NewUseWindow(now time.Time) *UseWindow { return &UseWindow{epoch: now.Add(-UseSpan)} }

// step brings the window to a time and returns the number of its step.
func (w *UseWindow) step(at time.Time) int64 {
	number := int64(at.Sub(w.epoch) / UseStep)
	for number > w.newest {
		w.newest++
		w.costs[w.newest%int64(len(w.costs))] = 0
	}
	return number
}

// Add notes a use. One that is too long ago is ignored.
func (w *UseWindow) Add(at time.Time, cost float64) {
	number := w.step(at)
	if number > w.newest-int64(len(w.costs)) && number >= 0 {
		w.costs[number%int64(len(w.costs))] += cost
	}
}

// Sum returns what was used in the last span of time, and in the rest of its oldest step.
func (w *UseWindow) Sum(now time.Time, span time.Duration) float64 {
	sum := 0.0
	for _, cost := range w.Recent(now, span) {
		sum += cost
	}
	return sum
}

// FreeAfter returns the time after which a part of the use of the last span is older than
// the span, at most the span.
func (w *UseWindow) FreeAfter(now time.Time, span time.Duration, part float64) time.Duration {
	costs := w.Recent(now, span)
	for age := len(costs) - 1; age >= 0; age-- {
		part -= costs[age]
		if part <= 0 {
			return max(span-time.Duration(age)*UseStep, 0)
		}
	}
	return span
}

// Recent returns the steps of the last span of time, the newest first.
func (w *UseWindow) Recent(now time.Time, span time.Duration) []float64 {
	w.step(now)
	count := min(int64(span/UseStep)+1, int64(len(w.costs)), w.newest+1)
	recent := make([]float64, 0, count)
	for age := range count {
		recent = append(recent, w.costs[(w.newest-age)%int64(len(w.costs))])
	}
	return recent
}
