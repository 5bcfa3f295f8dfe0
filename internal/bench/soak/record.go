package soak

import (
	"sync"
	"time"

	"redwinglock/platform/standin"
)

// Bounds that the soak test checks. The site passes the quota bounds and the retry slack to
// the hosts.
const (
	// settleTime is the time that a host and the store must be without a fault before the
	// time bounds apply.
	settleTime = 3 * time.Second
	// drainTime is the maximum time in which a draining target still gets new requests.
	drainTime = 2 * time.Second
	// configTime is the maximum time until a new configuration is active everywhere.
	configTime = 2 * time.Second
	// configRegressTime is the time in which a host may still answer by an older
	// configuration after it answered by a newer one. It is eight times as long for a host
	// that had a fault or a planned stop.
	configRegressTime = 250 * time.Millisecond
	// stopTime is the maximum time that a host takes to stop.
	stopTime = 8 * time.Second
	// recoveryTime is the maximum time from the end of the last fault until the hosts are
	// ready again. Requests may fail during this time.
	recoveryTime = 12 * time.Second
	// cancelTime is the maximum time that a target works for a caller that has disconnected,
	// and that a request stays unanswered after the timeout of its route.
	cancelTime = 500 * time.Millisecond

	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	retryWindow  = 10 * time.Second
	retryShare   = 0.2
	retrySlack   = 52
)

// interval is a period of time. It is still open if its end is zero.
type interval struct {
	from, to time.Time
}

func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

// Record holds what callers, targets and the fault injection observed in one run.
type Record struct {
	mu sync.Mutex
	// hostFaults are the faults of each host, by its address for callers. They include the
	// faults of its links to the store, to peers and from callers.
	hostFaults map[string][]interval
	// hostStops are the planned stops of each host, by its address for callers.
	hostStops map[string][]interval
	// processStarts are the times at which the processes of each host started.
	processStarts map[string][]time.Time
	// storeFaults and targetFaults are the faults of the store and of each target.
	storeFaults  []interval
	targetFaults map[string][]interval
	// drainedAt is the time at which the store acknowledged that a target drains.
	drainedAt map[string]time.Time
	// poisonCrashes are the times at which requests with the poison part crashed targets, requestCrashes those at which the
	// request that returns did.
	poisonCrashes, requestCrashes []time.Time
	// olderHosts is set if some hosts run an older build.
	olderHosts bool
	// versions are the configurations in the order in which the store acknowledged them.
	versions []version
	// violations are the violations that were seen while the site ran.
	violations []string
	// stalls counts how often this machine did not schedule the processes in time.
	stalls int

	tokensPerEvent int
	accounts       map[string]string // Names by key.
	limits         map[string]limit  // By account.
	routes         map[string]standin.Route
	// faultFreeSince is the time after which all requests count for the check of recovery.
	faultFreeSince time.Time
	attempts       []*standin.Attempt
	runs           []standin.Run
}

// version is a version of the configuration, with the path of its probe route.
type version struct {
	number int64
	path   string
	acked  time.Time
}

// limit is the quota of an account.
type limit struct {
	perSecond, burst float64
}

func newRecord() *Record {
	return &Record{
		hostFaults: map[string][]interval{}, hostStops: map[string][]interval{}, processStarts: map[string][]time.Time{},
		targetFaults: map[string][]interval{}, drainedAt: map[string]time.Time{},
		accounts: map[string]string{}, limits: map[string]limit{}, routes: map[string]standin.Route{},
	}
}

// beginHostFault records the start of a host fault. The returned function records its end.
func (r *Record) beginHostFault(host string) (end func()) { return r.beginInterval(r.hostFaults, host) }

// beginHostStop records the start of a planned stop. The returned function records its end.
func (r *Record) beginHostStop(host string) (end func()) { return r.beginInterval(r.hostStops, host) }

// beginTargetFault records the start of a target fault. The returned function records its
// end.
func (r *Record) beginTargetFault(target string) (end func()) {
	return r.beginInterval(r.targetFaults, target)
}

func (r *Record) beginInterval(intervals map[string][]interval, name string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(intervals[name])
	intervals[name] = append(intervals[name], interval{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		intervals[name][i].to = time.Now()
	}
}

// beginStoreFault records the start of a store fault. The returned function records its end.
func (r *Record) beginStoreFault() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.storeFaults)
	r.storeFaults = append(r.storeFaults, interval{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.storeFaults[i].to = time.Now()
	}
}

func (r *Record) recordStart(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processStarts[host] = append(r.processStarts[host], time.Now())
}

func (r *Record) recordDrain(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedAt[target] = time.Now()
}

// recordCrash records that a run has crashed its target.
func (r *Record) recordCrash(at time.Time, run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Crashes {
		r.requestCrashes = append(r.requestCrashes, at)
		return
	}
	r.poisonCrashes = append(r.poisonCrashes, at)
}

func (r *Record) recordVersion(v version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

func (r *Record) recordViolation(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// isHostFaultFree reports whether a host had no fault and no planned stop from settleTime
// before the given interval to its end.
func (r *Record) isHostFaultFree(host string, from, to time.Time) bool {
	return !overlaps(r.hostFaults[host], from.Add(-settleTime), to) && !overlaps(r.hostStops[host], from.Add(-settleTime), to)
}

// areHostAndStoreFaultFree reports whether the host had no fault and no planned stop, and the
// store no fault, from settleTime before the given interval to its end.
func (r *Record) areHostAndStoreFaultFree(host string, from, to time.Time) bool {
	return r.isHostFaultFree(host, from, to) && !overlaps(r.storeFaults, from.Add(-settleTime), to)
}

// isTargetFaultFree reports whether a target had no fault in the given interval.
func (r *Record) isTargetFaultFree(target string, from, to time.Time) bool {
	return !overlaps(r.targetFaults[target], from, to)
}

func overlaps(intervals []interval, from, to time.Time) bool {
	for _, i := range intervals {
		if i.overlaps(from, to) {
			return true
		}
	}
	return false
}

func (r *Record) attemptsByID() map[string]*standin.Attempt {
	byID := make(map[string]*standin.Attempt, len(r.attempts))
	for _, a := range r.attempts {
		byID[a.ID] = a
	}
	return byID
}

// runsByID returns the runs that their target did not reject, by request id.
func (r *Record) runsByID() map[string][]standin.Run {
	byID := map[string][]standin.Run{}
	for _, run := range r.runs {
		if !run.Rejected {
			byID[run.RequestID] = append(byID[run.RequestID], run)
		}
	}
	return byID
}
