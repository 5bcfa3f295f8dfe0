package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
)

// formerUsage compares what former arbiters knew about the usage of an account with what this arbiter
// knows. Fronts do not use equal parts of a quota, so those that stayed at another arbiter may have used
// more than their share. The work for one admission does not depend on the number of fronts.
type formerUsage struct {
	// known is the usage of all fronts that this arbiter has granted or that fronts have reported to it.
	// Reported usage is recorded at the earliest time at which it may have occurred.
	known *UsageWindow
	// totals is the highest usage in one window of the quota that a former arbiter has reported, by the
	// step in which that window ended. It has the steps of known.
	totals *UsageWindow
	// newestTotal is the step of the newest value in totals.
	newestTotal int64
	// since is what this arbiter has granted since the first of those values.
	since *UsageWindow
	// pending are reports that are not part of totals yet, because they do not contain the window.
	pending []frontReport
}

// frontReport is the usage of an account that a front reported when it moved here from another arbiter.
type frontReport struct {
	at   time.Time
	step time.Duration
	// costs is the usage of the front by step, newest first.
	costs []float64
	// others is the usage by all other fronts in the window that ended at othersAt, as the former
	// arbiter knew it.
	others   float64
	othersAt time.Time
}

func newFormerUsage(now time.Time) formerUsage {
	return formerUsage{known: NewUsageWindow(now), totals: NewUsageWindow(now), newestTotal: -1, since: NewUsageWindow(now)}
}

// recordGrant records usage that this arbiter has granted.
func (f *formerUsage) recordGrant(now time.Time, cost float64) {
	f.known.Add(now, cost)
	f.since.Add(now, cost)
}

// quotaShare is the part of all quotas that an arbiter may use.
type quotaShare struct {
	fraction float64
	// oneHostMissing is set if the rest belongs to a single host.
	oneHostMissing bool
}

// limit returns the part of the whole limit that this arbiter may grant. Other arbiters may serve the other fronts, and
// know the same: of what was left when the fronts moved, each may use its share. granted is the usage in the last window
// that this arbiter knows.
func (f *formerUsage) limit(now time.Time, window time.Duration, whole, granted float64, share quotaShare) float64 {
	elsewhere := f.usedElsewhere(now, window)
	if elsewhere == 0 {
		return share.fraction * whole
	}
	before := granted - f.since.Sum(now, window)
	left := max(whole-before-elsewhere, 0)
	leftToOthers := (1 - share.fraction) * left
	if share.oneHostMissing {
		// A single host may use no more than its share, whatever is left.
		leftToOthers = min(leftToOthers, max((1-share.fraction)*whole-elsewhere, 0))
	}
	return min(share.fraction*whole, before+left-leftToOthers)
}

// earliestUse returns the earliest time of usage that a front reports in the step of the given age.
func earliestUse(reportedAt time.Time, age int, step time.Duration) time.Time {
	return reportedAt.Add(-time.Duration(age+1) * step)
}

// addReport adds the report of a front if its former arbiter knew the usage of others.
func (f *formerUsage) addReport(now time.Time, used wire.AccountUsed, step time.Duration) {
	if used.Others > 0 {
		othersAt := now.Add(-time.Duration(used.OthersAgeMS) * time.Millisecond)
		f.pending = append(f.pending, frontReport{now, step, used.Costs, used.Others, othersAt})
	}
}

// prune removes reports that no request of the account has needed.
func (f *formerUsage) prune(now time.Time) {
	f.pending = slices.DeleteFunc(f.pending, func(r frontReport) bool { return now.Sub(r.at) > MaxUsageWindow })
}

// addPending adds the pending reports to the totals.
func (f *formerUsage) addPending(now time.Time, window time.Duration) {
	if len(f.pending) > 0 && f.newestTotal < f.known.stepNumber(now.Add(-window)) {
		f.since = NewUsageWindow(now)
	}
	for _, report := range f.pending {
		end := f.known.stepNumber(report.othersAt)
		f.newestTotal = max(f.newestTotal, end)
		f.totals.Raise(report.othersAt, report.others+f.ownUsage(report, end, window))
	}
	f.pending = nil
}

// ownUsage returns what a front reported of its own usage in the window that ended in a step.
func (f *formerUsage) ownUsage(report frontReport, end int64, window time.Duration) float64 {
	sum := 0.0
	for age, cost := range report.costs {
		if cost == 0 {
			continue
		}
		number := f.known.stepNumber(earliestUse(report.at, age, report.step))
		if number >= end-int64(window/UsageStep) && number <= end {
			sum += cost
		}
	}
	return sum
}

// usedElsewhere returns the usage in the last window by fronts of which this arbiter has no record:
// they have not moved here from the former arbiter.
func (f *formerUsage) usedElsewhere(now time.Time, window time.Duration) float64 {
	f.addPending(now, window)
	most := 0.0
	newest := f.totals.advance(now)
	steps := int64(window / UsageStep)
	for number := max(newest-steps+1, 0); number <= newest; number++ {
		if total := f.totals.at(number); total > 0 {
			most = max(most, total-f.known.sumSteps(number-steps, number))
		}
	}
	return most
}
