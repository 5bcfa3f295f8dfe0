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
	w.step(now)
	sum := 0.0
	for age := range w.count(span) {
		sum += w.ago(age)
	}
	return sum
}

// count returns how many steps a span has, with a part of its oldest.
func (w *UseWindow) count(span time.Duration) int64 {
	return min(int64(span/UseStep)+1, int64(len(w.costs)), w.newest+1)
}

// ago returns the use of the step of an age, counted from the newest.
func (w *UseWindow) ago(age int64) float64 {
	return w.costs[(w.newest-age)%int64(len(w.costs))]
}

// FreeAfter returns the time after which a part of the use of the last span is older than
// the span, at most the span.
func (w *UseWindow) FreeAfter(now time.Time, span time.Duration, part float64) time.Duration {
	w.step(now)
	for age := w.count(span) - 1; age >= 0; age-- {
		part -= w.ago(age)
		if part <= 0 {
			return max(span-time.Duration(age)*UseStep, 0)
		}
	}
	return span
}

// Recent returns the steps of the last span of time, the newest first.
func (w *UseWindow) Recent(now time.Time, span time.Duration) []float64 {
	w.step(now)
	recent := make([]float64, 0, w.count(span))
	for age := range w.count(span) {
		recent = append(recent, w.ago(age))
	}
	return recent
}
