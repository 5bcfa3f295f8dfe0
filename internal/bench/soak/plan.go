package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwinglock/platform/standin"
)

// disturbance is a kind of fault that the soak injects.
type disturbance string

// The disturbances.
const (
	killHost     disturbance = "kill-host"
	killAll      disturbance = "kill-all-hosts"
	pauseHost    disturbance = "pause-host"
	stopHost     disturbance = "stop-host"
	stopAll      disturbance = "stop-all-hosts"
	reloadHost   disturbance = "reload-host"
	cutStore     disturbance = "cut-store-link"
	resetStore   disturbance = "reset-store-link"
	delayStore   disturbance = "delay-store-link"
	cutPeers     disturbance = "cut-peer-link"
	resetPeers   disturbance = "reset-peer-link"
	delayPeers   disturbance = "delay-peer-link"
	cutCallers   disturbance = "cut-caller-link"
	resetCallers disturbance = "reset-caller-link"
	delayCallers disturbance = "delay-caller-link"
	failStore    disturbance = "fail-store"
	compactStore disturbance = "compact-store"
	endLeases    disturbance = "end-leases"
	failTarget   disturbance = "fail-target"
	crashTarget  disturbance = "crash-target"
	drainTarget  disturbance = "drain-target"
	cutTarget    disturbance = "cut-target-link"
	resetTarget  disturbance = "reset-target-link"
	delayTarget  disturbance = "delay-target-link"
	changeConfig disturbance = "change-config"
	stormConfig  disturbance = "storm-config"
	burstLoad    disturbance = "burst-load"
)

// disturbances are all kinds. Those that come more often stand more than once.
var disturbances = []disturbance{
	killHost, killHost, killAll, pauseHost, pauseHost, stopHost, stopHost, stopAll, reloadHost,
	cutStore, cutStore, resetStore, delayStore, cutPeers, cutPeers, resetPeers, delayPeers,
	cutCallers, resetCallers, delayCallers, failStore, failStore, compactStore, endLeases,
	failTarget, failTarget, crashTarget, drainTarget, drainTarget, cutTarget, resetTarget, delayTarget,
	changeConfig, changeConfig, stormConfig, burstLoad,
}

// fault is one planned fault.
type fault struct {
	kind disturbance
	// at is counted from the start of the load.
	at      time.Duration
	lasting time.Duration
	// number picks the host or target, variant the way.
	number  int
	variant int
}

// String describes a fault for the log of a run.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s for %.2fs, number %d, variant %d", f.at.Seconds(), f.kind, f.lasting.Seconds(), f.number, f.variant)
}

const (
	// quietStart is the time before the first fault, so that bounds in time begin to hold.
	quietStart = 3 * time.Second
	shortFault = 300 * time.Millisecond
	longFault  = 5 * time.Second
	// echoShare is the part of faults, one in this many, that is followed by another at the
	// same place while it lasts.
	echoShare = 3
	// variants is from how many numbers a place or a way is drawn.
	variants = 72
)

// drawPlan draws the faults of one run.
func drawPlan(seed uint64, faults int, lasting time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var plan []fault
	for range faults {
		f := fault{
			kind:    disturbances[random.IntN(len(disturbances))],
			at:      between(quietStart, lasting),
			lasting: between(shortFault, longFault),
			number:  random.IntN(variants),
			variant: random.IntN(variants),
		}
		plan = append(plan, f)
		if random.IntN(echoShare) == 0 {
			next := f
			next.kind = disturbances[random.IntN(len(disturbances))]
			next.at += between(0, f.lasting)
			next.variant = random.IntN(variants)
			plan = append(plan, next)
		}
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
	return plan
}

// Kinds of requests with a part of their own in the checks.
const (
	probeKind = "probe"
	floodKind = "flood"
	slowKind  = "slow"
)

// Names of the site.
const (
	engines     = "engines"
	services    = "orders"
	slowService = "reports"
	callersHost = "soak.example"
	mainAccount = "account-main"
	mainKey     = "key-main"
	tightKey    = "key-tight"
	tight       = "account-tight"
	answerBytes = 800
	eventTokens = 4
)

// tightLimit is the quota of the account that sends more than it may.
var tightLimit = limit{perSecond: 6, burst: 6}

// kinds are the requests that callers send all the time.
var kinds = []*standin.Kind{
	{Name: "plan", Execution: "stream", Service: engines, PerSecond: 12, PromptTokens: 900, OutputTokens: 24, Objective: 500 * time.Millisecond, Gap: 200 * time.Millisecond, Deadline: 6 * time.Second},
	{Name: "chat", Execution: "stream", Service: engines, PerSecond: 5, PromptTokens: 300, OutputTokens: 120, Objective: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Deadline: 10 * time.Second, Priority: 2},
	{Name: "once", Execution: "stream", Service: engines, PerSecond: 4, PromptTokens: 300, OutputTokens: 40, Objective: 500 * time.Millisecond, Gap: 200 * time.Millisecond, Deadline: 6 * time.Second, Priority: 1},
	{Name: "book", Execution: "non_idempotent", Service: services, PerSecond: 15, Objective: 100 * time.Millisecond, Deadline: 1500 * time.Millisecond, Priority: 1},
	{Name: "look", Execution: "idempotent", Service: services, PerSecond: 12, Objective: 100 * time.Millisecond, Deadline: 1500 * time.Millisecond, Priority: 1},
	{Name: floodKind, Execution: "idempotent", Service: services, PerSecond: 14, Objective: 100 * time.Millisecond, Deadline: 1500 * time.Millisecond, Priority: 2, Key: tightKey},
	{Name: slowKind, Execution: "idempotent", Service: slowService, PerSecond: 2, Objective: 500 * time.Millisecond, Deadline: 4 * time.Second, Priority: 1},
}

// slowTimeout is the timeout of the route whose service is slower than that.
const slowTimeout = time.Second

// fillIn completes the kinds with the paths and keys of the site.
func fillIn(kinds []*standin.Kind) []*standin.Kind {
	filled := make([]*standin.Kind, 0, len(kinds))
	for _, k := range kinds {
		own := *k
		own.Host, own.Path = callersHost, "/"+k.Name+"/x"
		if own.Key == "" {
			own.Key = mainKey
		}
		filled = append(filled, &own)
	}
	return filled
}

// probePath is the path of the route that only one version of the configuration has.
func probePath(number int64) string { return fmt.Sprintf("/probe-%d/x", number) }

// configuration returns the operator's configuration of one version.
func configuration(number int64) standin.Config {
	c := standin.Config{
		Version:  number,
		Services: []standin.Service{{Name: engines, Engine: &standin.ServiceEngine{Slots: engineSlots}}, {Name: services}, {Name: slowService}},
		Tenants: []standin.Tenant{
			{Name: mainAccount, APIKeys: []string{mainKey}},
			{Name: tight, APIKeys: []string{tightKey}, RatePerS: tightLimit.perSecond, Burst: tightLimit.burst},
		},
	}
	for _, k := range kinds {
		route := standin.Route{
			Name: "route-" + k.Name, Host: callersHost, PathPrefix: "/" + k.Name + "/", Kind: k.Execution, TimeoutMS: k.Deadline.Milliseconds(),
			TargetLatencyMS: k.Objective.Milliseconds(), GapTargetMS: k.Gap.Milliseconds(), Priority: k.Priority, Service: k.Service,
			MaxAttempts: 3, StreamResume: k.IsStream() && k.Name != "once",
		}
		if k.Name == slowKind {
			route.TimeoutMS = slowTimeout.Milliseconds()
		}
		c.Routes = append(c.Routes, route)
	}
	c.Routes = append(c.Routes, standin.Route{
		Name: fmt.Sprint("route-probe-", number), Host: callersHost, PathPrefix: fmt.Sprintf("/probe-%d/", number), Kind: "idempotent",
		TimeoutMS: 1500, TargetLatencyMS: 200, Priority: 1, Service: services, MaxAttempts: 2,
	})
	return c
}

const (
	engineCount  = 4
	engineSlots  = 4
	serviceCount = 3
	serviceSlots = 6
	slowWork     = 3 * time.Second
	serviceWork  = 15 * time.Millisecond
)

// targetSpecs are the targets of the site.
func targetSpecs() []standin.TargetSpec {
	var specs []standin.TargetSpec
	for range engineCount {
		specs = append(specs, standin.TargetSpec{
			Service: engines, Slots: engineSlots, Queue: 2 * engineSlots,
			Engine: &standin.EngineSpec{Step: 5 * time.Millisecond, PromptTokensPerMS: 50, TokensPerEvent: eventTokens}, AnswerBytes: answerBytes,
		})
	}
	for range serviceCount {
		specs = append(specs, standin.TargetSpec{Service: services, Slots: serviceSlots, Queue: serviceSlots, Work: serviceWork, AnswerBytes: answerBytes})
	}
	specs = append(specs, standin.TargetSpec{Service: slowService, Slots: 40, Queue: 40, Work: slowWork, AnswerBytes: answerBytes})
	return specs
}
