package soak

import (
	"sync"
	"time"

	"redwinglock/platform/standin"
)

// Bounds that the soak checks, as its site states them.
const (
	// contactTime is how long a host and the store must have been without disturbance
	// before bounds in time hold.
	contactTime = 3 * time.Second
	// drainTime is how long a target that leaves may still get requests.
	drainTime = 2 * time.Second
	// configTime is how long an older configuration may be in force.
	configTime = 2 * time.Second
	// regressTime is how long after the effect of a configuration an older one may show, on
	// a host that was disturbed eight times as long.
	regressTime = 250 * time.Millisecond
	// stopTime is how long a stopping host may run.
	stopTime = 8 * time.Second
	// recoverTime is how long after the last fault requests may fail.
	recoverTime = 12 * time.Second
	// leaveTime is how long a target may work for a caller that has left, and how long after
	// the timeout of its route a request may be unanswered.
	leaveTime = 500 * time.Millisecond

	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	repeatWindow = 10 * time.Second
	repeatShare  = 0.2
	repeatSlack  = 52
)

// span is a span of time. A span without an end lasts on.
type span struct {
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// Record is what callers, targets and the one who disturbs have seen of one run.
type Record struct {
	mu sync.Mutex
	// hosts are the disturbances of each host by its address for callers, those of its links
	// to the store and to peers included.
	hosts map[string][]span
	// stops are planned stops of hosts.
	stops map[string][]span
	// started are the times at which the processes of a host started.
	started map[string][]time.Time
	// store and targets are the disturbances of the store and of each target.
	store   []span
	targets map[string][]span
	// drained is when the store has acknowledged that a target leaves.
	drained map[string]time.Time
	// versions are the configurations in the order of their acknowledgement.
	versions []version
	// faults are violations that were seen while the site ran.
	faults []string
	// stalls is how often this machine did not run the processes in time.
	stalls int

	tokensPerEvent int
	accounts       map[string]string // Names by key.
	limits         map[string]limit  // By account.
	routes         map[string]standin.Route
	calmFrom       time.Time
	attempts       []*standin.Attempt
	runs           []standin.Run
}

// version is a configuration and its own route.
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
		hosts: map[string][]span{}, stops: map[string][]span{}, started: map[string][]time.Time{},
		targets: map[string][]span{}, drained: map[string]time.Time{},
		accounts: map[string]string{}, limits: map[string]limit{}, routes: map[string]standin.Route{},
	}
}

// disturbHost notes a disturbance of a host and returns what ends it.
func (r *Record) disturbHost(host string) (end func()) { return r.open(r.hosts, host) }

// stopHost notes a planned stop and returns what ends it.
func (r *Record) stopHost(host string) (end func()) { return r.open(r.stops, host) }

// disturbTarget notes a disturbance of a target and returns what ends it.
func (r *Record) disturbTarget(target string) (end func()) { return r.open(r.targets, target) }

func (r *Record) open(spans map[string][]span, name string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(spans[name])
	spans[name] = append(spans[name], span{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		spans[name][i].to = time.Now()
	}
}

// disturbStore notes a disturbance of the store and returns what ends it.
func (r *Record) disturbStore() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.store)
	r.store = append(r.store, span{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.store[i].to = time.Now()
	}
}

func (r *Record) noteStart(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[host] = append(r.started[host], time.Now())
}

func (r *Record) noteDrain(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained[target] = time.Now()
}

func (r *Record) noteVersion(v version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

func (r *Record) noteFault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, text)
}

// isCalm reports whether a host had no disturbance, and no stop, from contactTime before a
// span to its end.
func (r *Record) isCalm(host string, from, to time.Time) bool {
	return !overlaps(r.hosts[host], from.Add(-contactTime), to) && !overlaps(r.stops[host], from.Add(-contactTime), to)
}

// isInTouch reports whether a host was calm and the store, too.
func (r *Record) isInTouch(host string, from, to time.Time) bool {
	return r.isCalm(host, from, to) && !overlaps(r.store, from.Add(-contactTime), to)
}

// isSound reports whether a target was without disturbance.
func (r *Record) isSound(target string, from, to time.Time) bool {
	return !overlaps(r.targets[target], from, to)
}

func overlaps(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// attemptsByID returns the attempts by their ids.
func (r *Record) attemptsByID() map[string]*standin.Attempt {
	byID := make(map[string]*standin.Attempt, len(r.attempts))
	for _, a := range r.attempts {
		byID[a.ID] = a
	}
	return byID
}

// runsByID returns the runs that were not rejected, by the id of their request.
func (r *Record) runsByID() map[string][]standin.Run {
	byID := map[string][]standin.Run{}
	for _, run := range r.runs {
		if !run.Rejected {
			byID[run.RequestID] = append(byID[run.RequestID], run)
		}
	}
	return byID
}
