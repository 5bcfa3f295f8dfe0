package member

import (
	"context"
	"time"
)

const (
	// sampleInterval is the time between two measurements of timer lateness.
	sampleInterval = 100 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving average of the lateness.
	sampleWeight = 0.3
	// maxLateness bounds each sample, so that a single pause does not mark the host as slow.
	maxLateness = 200 * time.Millisecond
	// A host becomes slow when the mean lateness of its timers is at least slowLateness, and
	// normal again when it is at most normalLateness.
	slowLateness   = 25 * time.Millisecond
	normalLateness = 8 * time.Millisecond
	// slowDuration and normalDuration are how long the mean must stay past the threshold before the
	// host becomes slow or normal.
	slowDuration   = 300 * time.Millisecond
	normalDuration = 3 * time.Second
	// slowCapacity is the fraction of its capacity that a slow host announces.
	slowCapacity = 0.2
)

// slownessDetector detects a slow host by the lateness of its timers. Timers are late if the
// processor runs slower than usual or is overloaded.
type slownessDetector struct {
	meanLateness time.Duration
	slow         bool
	crossedAt    time.Time // When the mean crossed the threshold of the other state; zero if it has not.
}

// addSample adds one sample and reports whether the host has become slow, or normal again.
func (d *slownessDetector) addSample(now time.Time, lateness time.Duration) bool {
	lateness = min(max(lateness, 0), maxLateness)
	d.meanLateness += time.Duration(sampleWeight * float64(lateness-d.meanLateness))
	crossed, required := d.meanLateness >= slowLateness, slowDuration
	if d.slow {
		crossed, required = d.meanLateness <= normalLateness, normalDuration
	}
	switch {
	case !crossed:
		d.crossedAt = time.Time{}
	case d.crossedAt.IsZero():
		d.crossedAt = now
	case now.Sub(d.crossedAt) >= required:
		d.slow = !d.slow
		d.crossedAt = time.Time{}
		return true
	}
	return false
}

// detectSlowness announces a lower capacity while this host is slow. The host then gets fewer
// callers and arbitrates no pool, before other hosts suspect it.
func (m *Controller) detectSlowness(ctx context.Context) {
	capacity := m.board.Members().Self.Capacity
	var detector slownessDetector
	for ctx.Err() == nil {
		start := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(sampleInterval):
		}
		now := time.Now()
		if !detector.addSample(now, now.Sub(start)-sampleInterval) {
			continue
		}
		announced := capacity
		if detector.slow {
			announced *= slowCapacity
		}
		m.log.WithField("slow", detector.slow).WithField("lateness", detector.meanLateness.String()).WithField("capacity", announced).Warn("Slowness of this host changed.")
		m.mu.Lock()
		m.table.SetCapacity(announced)
		m.mu.Unlock()
		m.publish()
	}
}
