package decisions

import (
	"fmt"
	"math/rand/v2"
	"time"

	"redwinglock/internal/state/object"
)

const (
	runTime    = 60 * time.Second
	floodStart = 15 * time.Second
	floodEnd   = 45 * time.Second
	drainTime  = 60 * time.Second
	// longRequestShare is the share of requests whose output is longRequestFactor times longer.
	longRequestShare  = 0.002
	longRequestFactor = 100
	prefixCount       = 200 // Number of distinct prompt prefixes.
)

// tiers are the tiers of the scenarios. The deadline is for the first token.
var tiers = []struct {
	name     object.TierName
	priority int
	share    float64
	deadline time.Duration
}{
	{"urgent", 3, 0.3, 2 * time.Second},
	{"normal", 2, 0.4, 10 * time.Second},
	{"night", 1, 0.3, 60 * time.Second},
}

func priorityOf(name object.TierName) int {
	for _, t := range tiers {
		if t.name == name {
			return t.priority
		}
	}
	return 0
}

// accounts are the client accounts of the scenarios with their shares of the load.
var accounts = []struct {
	name  object.AccountName
	share float64
}{{"large-1", 0.4}, {"large-2", 0.3}, {"small-1", 0.1}, {"small-2", 0.1}, {"small-3", 0.1}}

// scenario describes a load and the faults during it.
type scenario struct {
	name string
	// loadShare is the steady load as a share of capacity.
	loadShare float64
	// flood is additional load of the first account, by tier, as a share of capacity.
	flood map[object.TierName]float64
	// burst is additional load for one second in every ten, as a share of capacity.
	burst       float64
	straggler   bool
	arbiterLost bool
	reportAge   time.Duration
}

var scenarios = []scenario{
	{name: "steady", loadShare: 0.7},
	{name: "flood of the least urgent", loadShare: 0.7, flood: map[object.TierName]float64{"night": 2}},
	{name: "flood of the most urgent", loadShare: 0.7, flood: map[object.TierName]float64{"urgent": 2}},
	{name: "both floods", loadShare: 0.7, flood: map[object.TierName]float64{"night": 2, "urgent": 2}},
	{name: "straggler at a fifth", loadShare: 0.7, straggler: true},
	{name: "bursts", loadShare: 0.5, burst: 5},
	{name: "arbiter lost in a flood", loadShare: 0.7, flood: map[object.TierName]float64{"night": 2}, arbiterLost: true},
	{name: "reports 5 s stale", loadShare: 0.7, reportAge: 5 * time.Second},
	{name: "at capacity", loadShare: 1},
	{name: "twice capacity", loadShare: 2},
}

// site is one of the users' deployments.
type site struct {
	name    string
	engines int
}

var sites = []site{{"toplopod", 20}, {"tile-works", 12}}

// jobs generates the requests of a scenario. capacity is in requests per second.
func (s scenario) jobs(capacity float64, random *rand.Rand) []*job {
	var all []*job
	add := func(at time.Duration, account object.AccountName, tier object.TierName) {
		j := &job{
			id: len(all), account: account, tier: tier, arrived: at,
			prompt: 100 + random.IntN(1000), output: 20 + random.IntN(160), prefix: random.IntN(prefixCount),
		}
		if random.Float64() < longRequestShare {
			j.output *= longRequestFactor
		}
		for _, t := range tiers {
			if t.name == tier {
				j.deadline = t.deadline
			}
		}
		all = append(all, j)
	}
	arrivals(random, capacity*s.loadShare, 0, runTime, func(at time.Duration) { add(at, drawAccount(random), drawTier(random)) })
	if s.burst > 0 {
		for start := 5 * time.Second; start < runTime; start += 10 * time.Second {
			arrivals(random, capacity*s.burst, start, start+time.Second, func(at time.Duration) { add(at, drawAccount(random), drawTier(random)) })
		}
	}
	for _, t := range tiers {
		if rate := s.flood[t.name]; rate > 0 {
			arrivals(random, capacity*rate, floodStart, floodEnd, func(at time.Duration) { add(at, accounts[0].name, t.name) })
		}
	}
	return all
}

// arrivals calls add with the arrival times of a Poisson process.
func arrivals(random *rand.Rand, perSecond float64, from, to time.Duration, add func(time.Duration)) {
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		add(at)
	}
}

func drawAccount(random *rand.Rand) object.AccountName {
	x := random.Float64()
	for _, a := range accounts {
		if x -= a.share; x < 0 {
			return a.name
		}
	}
	return accounts[0].name
}

func drawTier(random *rand.Rand) object.TierName {
	x := random.Float64()
	for _, t := range tiers {
		if x -= t.share; x < 0 {
			return t.name
		}
	}
	return tiers[0].name
}

// policyNames has the name of the scheduler, followed by those of the baselines.
var policyNames = []string{"redwinglock", "round robin", "least reported", "two choices", "first come"}

func newPolicy(name string, s scenario, engines []*engine, random *rand.Rand) (policy, error) {
	age := max(s.reportAge, reportInterval)
	switch name {
	case "redwinglock":
		return newScheduler(engines)
	case "round robin":
		return &direct{pick: roundRobin, maxReportAge: age}, nil
	case "least reported":
		return &direct{pick: leastReported, maxReportAge: age}, nil
	case "two choices":
		return &direct{pick: twoChoices, maxReportAge: age, random: random}, nil
	case "first come":
		return &fifo{inFlight: map[*engine]int{}, slots: initialSlots}, nil
	}
	return nil, fmt.Errorf("unknown policy %q", name)
}

// simulate runs a scenario and returns its jobs and the number of priority inversions.
func simulate(st site, s scenario, policyName string, capacity float64, seed uint64) ([]*job, int, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{}
	for i := range st.engines {
		e := &engine{name: object.TargetName(fmt.Sprintf("engine-%02d", i)), slowness: 1}
		if s.straggler && i == 0 {
			e.slowness = 5
		}
		sim.engines = append(sim.engines, e)
	}
	jobs := s.jobs(capacity, random)
	p, err := newPolicy(policyName, s, sim.engines, random)
	if err != nil {
		return nil, 0, err
	}
	sim.policy = p
	for _, j := range jobs {
		sim.schedule(j.arrived, func() { p.arrive(sim, j) })
	}
	sched, isScheduler := p.(*scheduler)
	if isScheduler && s.arbiterLost {
		sim.schedule(runTime/2, func() { sched.failOver(sim) })
	}
	sim.run(runTime + drainTime)
	if isScheduler {
		return jobs, sched.inversions, nil
	}
	return jobs, 0, nil
}

// measureCapacity returns the requests per second that the engines of a site complete under
// saturation.
func measureCapacity(st site) (float64, error) {
	jobs, _, err := simulate(st, scenario{loadShare: 1}, "first come", float64(st.engines)*60, 1)
	if err != nil {
		return 0, err
	}
	from, to, n := 20*time.Second, 50*time.Second, 0
	for _, j := range jobs {
		if j.finished >= from && j.finished < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds(), nil
}
