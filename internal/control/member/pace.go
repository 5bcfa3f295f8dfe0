package member

import (
	"context"
	"time"
)

const (
	// paceInterval is the time between two looks at the clock.
	paceInterval = 100 * time.Millisecond
	// paceWeight is the weight of a new sample in the mean lateness.
	paceWeight = 0.3
	// maxLateness bounds one sample, so that one pause does not make a host slow.
	maxLateness = 200 * time.Millisecond
	// slowLateness is the mean lateness of timers from which a host is slow, and calmLateness
	// that up to which a slow one is as fast as before.
	slowLateness = 25 * time.Millisecond
	calmLateness = 8 * time.Millisecond
	// slowAfter and calmAfter are how long it must last.
	slowAfter = 300 * time.Millisecond
	calmAfter = 3 * time.Second
	// slowCapacity is the part of its capacity that a slow host announces.
	slowCapacity = 0.2
)

// pace judges by the lateness of timers whether a host is slow: its processor is slower than
// usual or has more to do than it can.
type pace struct {
	mean  time.Duration
	slow  bool
	since time.Time // When the mean passed the bound of the other state; zero if it has not.
}

// note takes one sample and reports whether the host has turned slow, or fast again.
func (p *pace) note(now time.Time, lateness time.Duration) bool {
	lateness = min(max(lateness, 0), maxLateness)
	p.mean += time.Duration(paceWeight * float64(lateness-p.mean))
	turns, after := p.mean >= slowLateness, slowAfter
	if p.slow {
		turns, after = p.mean <= calmLateness, calmAfter
	}
	switch {
	case !turns:
		p.since = time.Time{}
	case p.since.IsZero():
		p.since = now
	case now.Sub(p.since) >= after:
		p.slow = !p.slow
		p.since = time.Time{}
		return true
	}
	return false
}

// watchPace tells the other hosts when this one turns slow, so that it gets fewer callers and
// arbitrates no pool, before anybody suspects it.
func (m *Controller) watchPace(ctx context.Context) {
	capacity := m.board.Members().Self.Capacity
	var p pace
	for ctx.Err() == nil {
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(paceInterval):
		}
		now := time.Now()
		if !p.note(now, now.Sub(began)-paceInterval) {
			continue
		}
		announced := capacity
		if p.slow {
			announced *= slowCapacity
		}
		m.log.WithField("slow", p.slow).WithField("lateness", p.mean.String()).WithField("capacity", announced).Warn("Pace of this host changed.")
		m.mu.Lock()
		m.table.SetCapacity(announced)
		m.mu.Unlock()
		m.publish()
	}
}
