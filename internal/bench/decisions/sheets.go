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

// kind is one kind of request of the users' sheets.
type kind struct {
	class     object.TierName
	priority  int
	perSecond float64
	// prompt and output are mean sizes in tokens, and their spreads those of a log-normal
	// distribution.
	prompt, output             float64
	promptSpread, outputSpread float64
	maxPrompt, maxOutput       int
	objective, deadline        time.Duration
	worth, lateWorth           float64
}

// surge multiplies the rate of a kind, or of all kinds of the first account, for a while.
type surge struct {
	class    object.TierName // Empty: the first account.
	factor   float64
	from, to time.Duration
}

// sheet is a deployment at its worst load: a burst of the least urgent kind, one account that
// sends many times as much, and a burst of the most urgent kind.
type sheet struct {
	name           string
	kinds          []*kind
	engines, slots int
	// load is the factor on the rates of the kinds, outside of surges.
	load   float64
	surges []surge
	// pause is how long callers wait for an event at least; they wait four times their
	// objective for the first one if that is longer.
	pause time.Duration
	// floor is the part of its worth that each kind has to earn.
	floor float64
}

const (
	sheetTime = 30 * time.Second
	// streamObjectives is how long callers wait for the first token at least, in objectives.
	streamObjectives = 4
	// deadlineSpread is the part of its deadline by which that of a caller may be shorter.
	deadlineSpread = 0.15
	// returnShare is the part of the time left, as a divisor, for which callers stay away at most
	// when they are told to come back.
	returnShare = 3
)

// sheets are the deployments that are played: a dozen engines, and hundreds.
var sheets = []*sheet{
	{
		name: "12 engines",
		kinds: []*kind{
			{"first", 3, 32.8, 2890, 52, 1.0, 1.5, 39600, 510, 500 * time.Millisecond, 6 * time.Second, 6, 2.9},
			{"second", 2, 37.9, 1800, 23, 1.3, 1.5, 6870, 225, 400 * time.Millisecond, 4 * time.Second, 2, 0.98},
			{"third", 1, 24.6, 543, 280, 0.89, 1.5, 2310, 2790, 300 * time.Millisecond, 15 * time.Second, 0.53, 0.26},
		},
		engines: 12, slots: 7, load: 1.1,
		surges: []surge{
			{"third", 2.3, 4400 * time.Millisecond, 10600 * time.Millisecond},
			{"", 6, 6900 * time.Millisecond, 13400 * time.Millisecond},
			{"first", 1.8, 13 * time.Second, 16200 * time.Millisecond},
		},
		pause: 2 * time.Second,
	},
	{
		name: "256 engines",
		kinds: []*kind{
			{"first", 3, 734, 2890, 52, 1.0, 1.5, 39600, 522, 500 * time.Millisecond, 5 * time.Second, 5.4, 1.6},
			{"second", 2, 818, 1800, 23, 1.3, 1.5, 6870, 225, 400 * time.Millisecond, 3 * time.Second, 1.9, 0.56},
			{"third", 1, 200, 543, 280, 0.89, 1.5, 2310, 2790, 300 * time.Millisecond, 15 * time.Second, 1.1, 0.34},
		},
		engines: 256, slots: 4, load: 1,
		surges: []surge{
			{"third", 2.1, 2500 * time.Millisecond, 8500 * time.Millisecond},
			{"", 5.8, 7200 * time.Millisecond, 12800 * time.Millisecond},
			{"first", 1.9, 12 * time.Second, 15100 * time.Millisecond},
		},
		pause: 3200 * time.Millisecond,
		floor: 0.27,
	},
}

// sheetJobs draws the requests of the worst load.
func sheetJobs(random *rand.Rand, sh *sheet) []*job {
	var all []*job
	for _, k := range sh.kinds {
		add := func(at time.Duration, account object.AccountName) {
			all = append(all, &job{
				id: len(all), kind: k, account: account, tier: k.class, arrived: at, asked: at, deadline: k.objective,
				prompt: drawSize(random, k.prompt, k.promptSpread, k.maxPrompt),
				output: drawSize(random, k.output, k.outputSpread, k.maxOutput),
				prefix: len(all), // No two prompts are alike.
				until:  at + time.Duration(float64(k.deadline)*(1-deadlineSpread*random.Float64())),
			})
		}
		rate := k.perSecond * sh.load
		arrivals(random, rate, 0, sheetTime, func(at time.Duration) { add(at, drawAccount(random)) })
		for _, s := range sh.surges {
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

// drawSize draws from a log-normal distribution of a mean and a spread.
func drawSize(random *rand.Rand, mean, spread float64, most int) int {
	size := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return min(max(int(size), 1), most)
}

// sheetScheduler is redwinglock with a pool as on the users' platform. Callers that are
// refused come back once, when they were told to.
type sheetScheduler struct {
	*scheduler
	sheet *sheet
}

func newSheetScheduler(sh *sheet, engines []*engine) (*sheetScheduler, error) {
	objects := []object.Object{&object.Pool{Name: pool, Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true}}
	for _, k := range sh.kinds {
		objects = append(objects, &object.Tier{Name: k.class, Priority: k.priority, QueueTimeout: object.Duration(k.deadline)})
	}
	for i, a := range accounts {
		objects = append(objects, &object.Account{Name: a.name, Tiers: []object.TierName{"first", "second", "third"}, KeyHashes: []string{object.HashKey(strconv.Itoa(i))}})
	}
	snapshot, err := object.Compile(1, "", objects)
	if err != nil {
		return nil, fmt.Errorf("create scheduler: %w", err)
	}
	var found []*object.Target
	for _, e := range engines {
		found = append(found, &object.Target{Name: e.name, Pool: pool, Zone: "z", Address: "http://h:1", Slots: sh.slots})
	}
	p := &sheetScheduler{&scheduler{
		snapshot: snapshot.WithTargets(1, found), jobs: map[wire.RequestID]*job{}, running: map[object.TierName]int{},
		shard: shard.New(pool, shard.NewQuotas()),
	}, sh}
	p.register = p.registration
	p.refused = p.comeBack
	p.shard.Configure(epoch, p.snapshot, nil)
	return p, nil
}

// registration is what a front tells about a request.
func (p *sheetScheduler) registration(w *world, j *job) wire.Register {
	left := j.kind.objective
	untilMS := max((j.until - w.now).Milliseconds(), 1)
	return wire.Register{
		ID: wire.RequestID(strconv.Itoa(j.id)), Pool: pool, Account: j.account, Tier: "first", Class: j.tier,
		PromptTokens: j.prompt, OutputTokens: j.output, Phase: wire.Waiting,
		AnswerWithinMS: left.Milliseconds(), DispatchWithinMS: left.Milliseconds() * 7 / 10,
		MaxWaitMS:  (p.sheet.patience(j.kind) - j.kind.objective).Milliseconds(),
		DeadlineMS: untilMS, CallerWaitMS: untilMS, Fingerprint: wire.Fingerprint(j.id + 1), MayRetry: true,
	}
}

// patience is how long callers wait for the first token.
func (sh *sheet) patience(k *kind) time.Duration {
	return max(sh.pause, streamObjectives*k.objective)
}

// comeBack sends a request again that was refused once.
func (p *sheetScheduler) comeBack(w *world, j *job, after time.Duration) {
	again := w.now + min(after, (j.until-w.now)/returnShare)
	if j.returned || again >= j.until {
		j.ended, j.refused = true, true
		return
	}
	j.returned = true
	w.at(again, func() {
		j.asked = w.now
		p.arrive(w, j)
	})
}

// earned returns the worth of what became of a request.
func (sh *sheet) earned(j *job) float64 {
	switch {
	case j.finished == 0 || j.finished > j.until || j.firstToken-j.asked > sh.patience(j.kind):
		return 0
	case j.firstToken-j.arrived > j.kind.objective:
		return j.kind.lateWorth
	}
	return j.kind.worth
}

// shares plays the worst load and returns the part of its worth that each class earned,
// and that of all under the empty name.
func (sh *sheet) shares(name string, seed uint64) (map[object.TierName]float64, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &world{}
	for i := range sh.engines {
		e := &engine{name: object.TargetName(fmt.Sprintf("engine-%03d", i)), slowness: 1.7}
		if i%3 == 0 {
			e.slowness = 0.6
		}
		w.engines = append(w.engines, e)
	}
	switch name {
	case "redwinglock":
		p, err := newSheetScheduler(sh, w.engines)
		if err != nil {
			return nil, err
		}
		w.policy = p
	default:
		w.policy = &firstCome{inFlight: map[*engine]int{}, slots: sh.slots}
	}
	jobs := sheetJobs(random, sh)
	for _, j := range jobs {
		w.at(j.arrived, func() { w.policy.arrive(w, j) })
	}
	w.run(sheetTime + drainTime)
	earned, owed := map[object.TierName]float64{}, map[object.TierName]float64{}
	for _, j := range jobs {
		for _, class := range []object.TierName{j.tier, ""} {
			earned[class] += sh.earned(j)
			owed[class] += j.kind.worth
		}
	}
	for class := range earned {
		earned[class] /= owed[class]
	}
	return earned, nil
}

// runSheets prints what the worst load of each sheet earns, and returns the number of bounds
// that were missed.
func runSheets(out io.Writer, seeds int) (int, error) {
	missed := 0
	for _, sh := range sheets {
		n, err := sh.run(out, seeds)
		if err != nil {
			return 0, err
		}
		missed += n
	}
	return missed, nil
}

func (sh *sheet) run(out io.Writer, seeds int) (int, error) {
	fmt.Fprintf(out, "\n# worst load of the sheets: %d unlike engines, parts of the worth\n\n", sh.engines)
	fmt.Fprintf(out, "  %-24s %8s %8s %8s %8s\n", "", "first", "second", "third", "all")
	means := map[string]map[object.TierName]float64{}
	for _, name := range []string{"redwinglock", "first come"} {
		mean := map[object.TierName]float64{}
		for seed := range seeds {
			shares, err := sh.shares(name, uint64(seed+1))
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
	ours := means["redwinglock"]
	prefix := "worst load of " + sh.name + ": "
	bounds := []bound{
		{prefix + "part of its worth that the most urgent kind earns", ours["first"], true, 0.85},
		{prefix + "worth of all against first come", ours[""] / means["first come"][""], true, 1},
	}
	if sh.floor > 0 {
		bounds = append(bounds, bound{prefix + "part of its worth that the least urgent kind earns", ours["third"], true, sh.floor})
	}
	return printBounds(out, bounds), nil
}
