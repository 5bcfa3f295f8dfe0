package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
)

// frontReport is the usage of an account that a front reported when it moved here from another arbiter.
type frontReport struct {
	at time.Time
	// costs is the usage of the front by step, newest first.
	costs []float64
	// others is the usage by all other fronts in the window that ended at othersAt, as the former
	// arbiter knew it. It is 0 if unknown.
	others   float64
	othersAt time.Time
}

func newFrontReport(now time.Time, used wire.AccountUsed) frontReport {
	return frontReport{now, used.Costs, used.Others, now.Add(-time.Duration(used.OthersAgeMS) * time.Millisecond)}
}

// ownUsage returns the usage of the front in one window before its report.
func (r frontReport) ownUsage(window time.Duration) float64 {
	sum := 0.0
	for _, cost := range r.costs[:min(len(r.costs), int(window/UsageStep)+1)] {
		sum += cost
	}
	return sum
}

// usedElsewhere returns the usage in the last window by fronts of which this arbiter has no record:
// they have not moved here from the former arbiter. Fronts do not use equal parts of a quota, so those
// that stayed may have used more than their share.
func (u *accountUsage) usedElsewhere(now time.Time, window time.Duration) float64 {
	most := 0.0
	for front, report := range u.reports {
		if report.others > 0 && now.Sub(report.othersAt) < window {
			most = max(most, report.others-u.knownUsage(front, report.othersAt, now, window))
		}
	}
	return most
}

// knownUsage returns the usage of all fronts but one in the window that ended at the given time, as far
// as it was granted here or reported by these fronts.
func (u *accountUsage) knownUsage(except wire.HostID, at, now time.Time, window time.Duration) float64 {
	sum := 0.0
	for front, granted := range u.fronts {
		if front == except {
			continue
		}
		known := granted.SumBefore(at, window)
		// Reported usage is recorded at the latest possible time, which may be after the window.
		if report, found := u.reports[front]; found && now.Sub(report.at) < window {
			known = max(known, report.ownUsage(window))
		}
		sum += known
	}
	return sum
}
