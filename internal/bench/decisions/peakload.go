package decisions

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
)

// requestKind describes the requests of one class, with the figures that the users state in the
// sheets of their deployments.
type requestKind struct {
	class             object.TierName
	priority          int
	requestsPerSecond float64
	// Prompt and output sizes, in tokens, have log-normal distributions with these means and
	// spreads.
	meanPrompt, meanOutput     float64
	promptSpread, outputSpread float64
	maxPrompt, maxOutput       int
	objective, deadline        time.Duration
	// value is what an answer earns that begins within the objective, lateValue what a later one
	// earns.
	value, lateValue float64
}

// surge multiplies the request rate of a kind, or that of one small account, for a time.
type surge struct {
	class    object.TierName // Empty: all kinds of one small account.
	factor   float64
	from, to time.Duration
}

// peakLoad is a deployment under its highest load: a burst of the least urgent kind, one account
// that sends several times its usual load, and a burst of the most urgent kind.
type peakLoad struct {
	name           string
	kinds          []*requestKind
	engines, slots int
	// rateFactor multiplies the rates of all kinds, also outside of surges.
	rateFactor float64
	surges     []surge
	// minEventWait is the minimum time that callers wait for an event. They wait
	// minWaitObjectives times their objective for the first event if that is longer.
	minEventWait time.Duration
	// minShare is the share of its value that the least urgent kind must earn. 0: no bound.
	minShare float64
	// limits are the rate limits that engines name, nil if they name none. The baselines ignore them.
	limits *engineLimits
}

const (
	peakRunTime = 30 * time.Second
	// minWaitObjectives is the minimum time that callers wait for the first token, as a multiple
	// of their objective.
	minWaitObjectives = 4
	// callerDeadlineSpread is the maximum share by which a caller's deadline is shorter than that
	// of its kind.
	callerDeadlineSpread = 0.15
	// retryDelayDivisor limits the delay of a retry: a refused caller waits for the delay that the
	// refusal states, but not longer than the time to its deadline divided by this number.
	retryDelayDivisor = 3
)

// peakKinds and peakSurges are the kinds of requests and the surges of the deployment with a dozen
// engines.
var (
	peakKinds = []*requestKind{
		{"first", 3, 32.8, 2890, 52, 1.0, 1.5, 39600, 510, 500 * time.Millisecond, 6 * time.Second, 6, 2.9},
		{"second", 2, 37.9, 1800, 23, 1.3, 1.5, 6870, 225, 400 * time.Millisecond, 4 * time.Second, 2, 0.98},
		{"third", 1, 24.6, 543, 280, 0.89, 1.5, 2310, 2790, 300 * time.Millisecond, 15 * time.Second, 0.53, 0.26},
	}
	peakSurges = []surge{
		{"third", 2.3, 4400 * time.Millisecond, 10600 * time.Millisecond},
		{"", 6, 6900 * time.Millisecond, 13400 * time.Millisecond},
		{"first", 1.8, 13 * time.Second, 16200 * time.Millisecond},
	}
)

// peakLoads are the simulated deployments, one with a dozen engines and one with hundreds.
var peakLoads = []*peakLoad{
	{
		name:    "12 engines",
		kinds:   peakKinds,
		engines: 12, slots: 7, rateFactor: 1.1,
		surges:       peakSurges,
		minEventWait: 2 * time.Second,
	},
	halfLimited,
	{
		name: "256 engines",
		kinds: []*requestKind{
			{"first", 3, 734, 2890, 52, 1.0, 1.5, 39600, 522, 500 * time.Millisecond, 5 * time.Second, 5.4, 1.6},
			{"second", 2, 818, 1800, 23, 1.3, 1.5, 6870, 225, 400 * time.Millisecond, 3 * time.Second, 1.9, 0.56},
			{"third", 1, 200, 543, 280, 0.89, 1.5, 2310, 2790, 300 * time.Millisecond, 15 * time.Second, 1.1, 0.34},
		},
		engines: 256, slots: 4, rateFactor: 1,
		surges: []surge{
			{"third", 2.1, 2500 * time.Millisecond, 8500 * time.Millisecond},
			{"", 5.8, 7200 * time.Millisecond, 12800 * time.Millisecond},
			{"first", 1.9, 12 * time.Second, 15100 * time.Millisecond},
		},
		minEventWait: 3200 * time.Millisecond,
		minShare:     0.27,
	},
}

// peakJobs generates the requests of a peak load.
func peakJobs(random *rand.Rand, pl *peakLoad) []*job {
	var all []*job
	for _, k := range pl.kinds {
		add := func(at time.Duration, account object.AccountName) {
			all = append(all, &job{
				id: len(all), kind: k, account: account, tier: k.class, arrived: at, lastAttempt: at, deadline: k.objective,
				prompt:         drawSize(random, k.meanPrompt, k.promptSpread, k.maxPrompt),
				output:         drawSize(random, k.meanOutput, k.outputSpread, k.maxOutput),
				prefix:         len(all), // Each prompt is different.
				callerDeadline: at + time.Duration(float64(k.deadline)*(1-callerDeadlineSpread*random.Float64())),
			})
		}
		rate := k.requestsPerSecond * pl.rateFactor
		arrivals(random, rate, 0, peakRunTime, func(at time.Duration) { add(at, drawAccount(random)) })
		for _, s := range pl.surges {
			switch s.class {
			case k.class:
				arrivals(random, rate*(s.factor-1), s.from, s.to, func(at time.Duration) { add(at, drawAccount(random)) })
			case "":
				extra := rate * accounts[2].share * (s.factor - 1)
				arrivals(random, extra, s.from, s.to, func(at time.Duration) { add(at, accounts[2].name) })
			}
		}
	}
	return all
}

// drawSize draws a size between 1 and limit from a log-normal distribution with the given mean
// and spread.
func drawSize(random *rand.Rand, mean, spread float64, limit int) int {
	size := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return min(max(int(size), 1), limit)
}

// peakScheduler is the policy of redwinglock for a discovered pool with fixed slots. Each refused
// caller retries once, after the delay that the refusal states.
type peakScheduler struct {
	*scheduler
	load *peakLoad
}

func newPeakScheduler(pl *peakLoad, engines []*engine) (*peakScheduler, error) {
	objects := []object.Object{&object.Pool{Name: pool, Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true}}
	for _, k := range pl.kinds {
		objects = append(objects, &object.Tier{Name: k.class, Priority: k.priority, QueueTimeout: object.Duration(k.deadline)})
	}
	for i, a := range accounts {
		objects = append(objects, &object.Account{Name: a.name, Tiers: []object.TierName{"first", "second", "third"}, KeyHashes: []string{object.HashKey(strconv.Itoa(i))}})
	}
	snapshot, err := object.Compile(1, "", objects)
	if err != nil {
		return nil, fmt.Errorf("create scheduler: %w", err)
	}
	var discovered []*object.Target
	for _, e := range engines {
		discovered = append(discovered, &object.Target{Name: e.name, Pool: pool, Zone: "z", Address: "http://h:1", Slots: pl.slots})
	}
	p := &peakScheduler{&scheduler{
		snapshot: snapshot.WithTargets(1, discovered), jobs: map[wire.RequestID]*job{}, running: map[object.TierName]int{},
		shard: shard.New(pool, shard.NewQuotas()),
	}, pl}
	p.register = p.registration
	p.onRefusal = p.retryOnce
	p.shard.Configure(epoch, p.snapshot, nil)
	return p, nil
}

// registration returns the registration that a front sends for a job.
func (p *peakScheduler) registration(sim *simulation, j *job) wire.Register {
	objectiveMS := j.kind.objective.Milliseconds()
	callerLeftMS := max((j.callerDeadline - sim.now).Milliseconds(), 1)
	return wire.Register{
		ID: wire.RequestID(strconv.Itoa(j.id)), Pool: pool, Account: j.account, Tier: "first", Class: j.tier,
		PromptTokens: j.prompt, OutputTokens: j.output, Phase: wire.Waiting,
		AnswerWithinMS: objectiveMS, DispatchWithinMS: objectiveMS * 7 / 10,
		MaxWaitMS:  (p.load.maxFirstTokenWait(j.kind) - j.kind.objective).Milliseconds(),
		DeadlineMS: callerLeftMS, CallerWaitMS: callerLeftMS, Fingerprint: wire.Fingerprint(j.id + 1), MayRetry: true,
	}
}

// maxFirstTokenWait returns the time that callers wait for the first token.
func (pl *peakLoad) maxFirstTokenWait(k *requestKind) time.Duration {
	return max(pl.minEventWait, minWaitObjectives*k.objective)
}

// retryOnce schedules the retry of a refused job. A second refusal is final, and so is a refusal
// whose retry would come after the caller's deadline.
func (p *peakScheduler) retryOnce(sim *simulation, j *job, after time.Duration) {
	retryAt := sim.now + min(after, (j.callerDeadline-sim.now)/retryDelayDivisor)
	if j.retried || retryAt >= j.callerDeadline {
		j.ended, j.refused = true, true
		return
	}
	j.retried = true
	sim.schedule(retryAt, func() {
		j.lastAttempt = sim.now
		p.arrive(sim, j)
	})
}

// earnedValue returns the value that the outcome of a job earns.
func (pl *peakLoad) earnedValue(j *job) float64 {
	switch {
	case j.finished == 0 || j.finished > j.callerDeadline || j.firstToken-j.lastAttempt > pl.maxFirstTokenWait(j.kind):
		return 0
	case j.firstToken-j.arrived > j.kind.objective:
		return j.kind.lateValue
	}
	return j.kind.value
}

// valueShares simulates the peak load with a policy. It returns the share of its value that each
// class earned, and that of all classes under the empty name.
func (pl *peakLoad) valueShares(name string, seed uint64) (map[object.TierName]float64, error) {
	jobs, err := pl.simulate(name, seed)
	if err != nil {
		return nil, err
	}
	earned, offered := map[object.TierName]float64{}, map[object.TierName]float64{}
	for _, j := range jobs {
		for _, class := range []object.TierName{j.tier, ""} {
			earned[class] += pl.earnedValue(j)
			offered[class] += j.kind.value
		}
	}
	for class := range earned {
		earned[class] /= offered[class]
	}
	return earned, nil
}

// simulate simulates the peak load with a policy and returns its jobs.
func (pl *peakLoad) simulate(name string, seed uint64) ([]*job, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{}
	for i := range pl.engines {
		e := &engine{name: object.TargetName(fmt.Sprintf("engine-%03d", i)), number: i, slowness: 1.7}
		if i%3 == 0 {
			e.slowness = 0.6
		}
		sim.engines = append(sim.engines, e)
	}
	switch name {
	case "redwinglock":
		p, err := newPeakScheduler(pl, sim.engines)
		if err != nil {
			return nil, err
		}
		sim.policy = p
		pl.limits.schedule(sim, p)
	default:
		sim.policy = &fifo{inFlight: map[*engine]int{}, slots: pl.slots}
	}
	jobs := peakJobs(random, pl)
	for _, j := range jobs {
		sim.schedule(j.arrived, func() { sim.policy.arrive(sim, j) })
	}
	sim.run(peakRunTime + drainTime)
	return jobs, nil
}

// runPeakLoads prints the shares of the value that are earned under each peak load. It returns
// the number of missed bounds.
func runPeakLoads(out io.Writer, seeds int) (int, error) {
	missed := 0
	for _, pl := range peakLoads {
		n, err := pl.run(out, seeds)
		if err != nil {
			return 0, err
		}
		missed += n
	}
	return missed, nil
}

func (pl *peakLoad) run(out io.Writer, seeds int) (int, error) {
	fmt.Fprintf(out, "\n# peak load: %d engines of unequal speed, shares of the value earned\n\n", pl.engines)
	fmt.Fprintf(out, "  %-24s %8s %8s %8s %8s\n", "", "first", "second", "third", "all")
	means := map[string]map[object.TierName]float64{}
	for _, name := range []string{"redwinglock", "first come"} {
		mean := map[object.TierName]float64{}
		for seed := range seeds {
			shares, err := pl.valueShares(name, uint64(seed+1))
			if err != nil {
				return 0, err
			}
			for class, share := range shares {
				mean[class] += share / float64(seeds)
			}
		}
		means[name] = mean
		fmt.Fprintf(out, "  %-24s %8.3f %8.3f %8.3f %8.3f\n", name, mean["first"], mean["second"], mean["third"], mean[""])
	}
	schedulerMean := means["redwinglock"]
	prefix := "peak load of " + pl.name + ": "
	bounds := []bound{
		{prefix + "share of its value earned by the most urgent kind", schedulerMean["first"], true, 0.85},
	}
	if pl.limits == nil {
		bounds = append(bounds, bound{prefix + "value earned by all kinds, relative to first come", schedulerMean[""] / means["first come"][""], true, 1})
	} else {
		excess, err := pl.limitExcess(seeds)
		if err != nil {
			return 0, err
		}
		bounds = append(bounds, bound{prefix + "requests to an engine with a rate limit, relative to those allowed", excess, false, 1})
	}
	if pl.minShare > 0 {
		bounds = append(bounds, bound{prefix + "share of its value earned by the least urgent kind", schedulerMean["third"], true, pl.minShare})
	}
	return printBounds(out, bounds), nil
}
