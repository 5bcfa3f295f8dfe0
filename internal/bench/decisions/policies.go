package decisions

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
)

// policy decides when jobs run and on which engine.
type policy interface {
	arrive(sim *simulation, j *job)
	finished(sim *simulation, j *job)
}

const (
	pool object.PoolName = "layout"
	// initialSlots is the initial concurrency limit of an engine.
	initialSlots = 32
	// tickInterval is the time between two calls of the shard's Tick while requests wait.
	tickInterval = 10 * time.Millisecond
	// reportInterval is the time between two load reports of the engines to the baselines.
	reportInterval = time.Second
)

// epoch is the start time of all runs.
var epoch = time.Unix(1_000_000, 0)

// scheduler is the policy of redwinglock: it calls the real decision code of a shard.
type scheduler struct {
	shard    *shard.Shard
	snapshot *object.Snapshot
	jobs     map[wire.RequestID]*job
	running  map[object.TierName]int
	ticking  bool
	// register returns the registration that a front sends for a job. onRefusal simulates the
	// caller of a refused job.
	register  func(*simulation, *job) wire.Register
	onRefusal func(sim *simulation, j *job, after time.Duration)
	// inversions counts priority inversions: refusals of a request while one of a lower tier runs.
	inversions int
}

func newScheduler(engines []*engine) (*scheduler, error) {
	objects := []object.Object{&object.Pool{Name: pool, Type: object.EnginePool}}
	for _, t := range tiers {
		objects = append(objects, &object.Tier{Name: t.name, Priority: t.priority, QueueTimeout: object.Duration(t.deadline)})
	}
	for i, a := range accounts {
		var names []object.TierName
		for _, t := range tiers {
			names = append(names, t.name)
		}
		objects = append(objects, &object.Account{Name: a.name, Tiers: names, KeyHashes: []string{object.HashKey(strconv.Itoa(i))}})
	}
	for _, e := range engines {
		objects = append(objects, &object.Target{Name: e.name, Pool: pool, Zone: "z", Address: "http://h:1", Generation: "g", Slots: initialSlots})
	}
	snapshot, err := object.Compile(1, "", objects)
	if err != nil {
		return nil, fmt.Errorf("create scheduler: %w", err)
	}
	p := &scheduler{snapshot: snapshot, jobs: map[wire.RequestID]*job{}, running: map[object.TierName]int{}, register: registration}
	p.onRefusal = p.recordRefusal
	p.shard = shard.New(pool, shard.NewQuotas())
	p.shard.Configure(epoch, snapshot, nil)
	return p, nil
}

func registration(sim *simulation, j *job) wire.Register {
	return wire.Register{
		ID: wire.RequestID(strconv.Itoa(j.id)), Pool: pool, Account: j.account, Tier: j.tier,
		PromptTokens: j.prompt, OutputTokens: j.output, Phase: wire.Waiting,
		Prefixes:   []wire.PrefixHash{wire.PrefixHash(j.prefix)},
		WaitedMS:   (sim.now - j.arrived).Milliseconds(),
		DeadlineMS: max((j.arrived + j.deadline - sim.now).Milliseconds(), 1),
	}
}

func (p *scheduler) arrive(sim *simulation, j *job) {
	r := p.register(sim, j)
	p.jobs[r.ID] = j
	p.applyDecisions(sim, p.shard.Register(epoch.Add(sim.now), r))
}

func (p *scheduler) finished(sim *simulation, j *job) {
	p.running[j.tier]--
	f := wire.Finish{
		ID: wire.RequestID(strconv.Itoa(j.id)), Pool: pool, Dispatched: true, Completed: !j.canceled,
		PromptTokens: j.prompt, OutputTokens: j.generated, FirstTokenMS: (j.firstToken - j.sent).Milliseconds(),
	}
	if j.generated > 1 && !j.canceled {
		f.DecodeUS = (j.finished - j.firstToken).Microseconds() / int64(j.generated-1)
	}
	p.applyDecisions(sim, p.shard.Finish(epoch.Add(sim.now), f))
}

// failOver replaces the shard with an empty one and registers all unfinished jobs again, as
// after the failure of its arbiter.
func (p *scheduler) failOver(sim *simulation) {
	p.shard = shard.New(pool, shard.NewQuotas())
	p.applyDecisions(sim, p.shard.Configure(epoch.Add(sim.now), p.snapshot, nil))
	for id := range len(p.jobs) {
		j := p.jobs[wire.RequestID(strconv.Itoa(id))]
		if j == nil || j.ended || j.refused {
			continue
		}
		r := p.register(sim, j)
		r.Moved = true
		if j.engine != nil {
			r.Phase = wire.Running
			r.Target = j.engine.name
		}
		p.applyDecisions(sim, p.shard.Register(epoch.Add(sim.now), r))
	}
}

func (p *scheduler) applyDecisions(sim *simulation, decisions []shard.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case shard.Grant:
			j := p.jobs[d.ID]
			p.running[j.tier]++
			for _, e := range sim.engines {
				if e.name == d.Target {
					sim.send(j, e)
				}
			}
		case shard.Refuse:
			p.onRefusal(sim, p.jobs[d.ID], d.RetryAfter)
		case shard.Cancel:
			j := p.jobs[d.ID]
			sim.schedule(sim.now+time.Millisecond, func() { sim.cancel(j) })
		}
	}
	p.tick(sim)
}

// recordRefusal ends a refused job without a retry and counts priority inversions.
func (p *scheduler) recordRefusal(_ *simulation, j *job, _ time.Duration) {
	j.ended, j.refused = true, true
	for _, t := range tiers {
		if t.priority < priorityOf(j.tier) && p.running[t.name] > 0 {
			p.inversions++
		}
	}
}

func (p *scheduler) tick(sim *simulation) {
	if p.ticking || p.shard.Waiting() == 0 {
		return
	}
	p.ticking = true
	sim.schedule(sim.now+tickInterval, func() {
		p.ticking = false
		p.applyDecisions(sim, p.shard.Tick(epoch.Add(sim.now)))
	})
}

// direct is a baseline that sends each job to an engine as soon as it arrives.
type direct struct {
	pick func(sim *simulation, d *direct) *engine
	next int
	// reported has the last reported load of each engine.
	reported     map[*engine]int
	reportedAt   time.Duration
	maxReportAge time.Duration
	random       *rand.Rand
}

func (d *direct) arrive(sim *simulation, j *job) {
	if d.reported == nil || sim.now-d.reportedAt >= d.maxReportAge {
		d.reported = map[*engine]int{}
		for _, e := range sim.engines {
			d.reported[e] = len(e.queue) + len(e.batch)
		}
		d.reportedAt = sim.now
	}
	sim.send(j, d.pick(sim, d))
}

func (d *direct) finished(*simulation, *job) {}

func roundRobin(sim *simulation, d *direct) *engine {
	d.next++
	return sim.engines[d.next%len(sim.engines)]
}

func leastReported(sim *simulation, d *direct) *engine {
	best := sim.engines[0]
	for _, e := range sim.engines {
		if d.reported[e] < d.reported[best] {
			best = e
		}
	}
	return best
}

func twoChoices(sim *simulation, d *direct) *engine {
	a, b := sim.engines[d.random.IntN(len(sim.engines))], sim.engines[d.random.IntN(len(sim.engines))]
	if d.reported[b] < d.reported[a] {
		return b
	}
	return a
}

// fifo is a baseline with one first-come, first-served queue, without tiers or fair shares
// between accounts.
type fifo struct {
	queue    []*job
	inFlight map[*engine]int
	slots    int // Per engine.
}

func (f *fifo) arrive(sim *simulation, j *job) {
	f.queue = append(f.queue, j)
	f.dispatch(sim)
}

func (f *fifo) finished(sim *simulation, j *job) {
	f.inFlight[j.engine]--
	f.dispatch(sim)
}

func (f *fifo) dispatch(sim *simulation) {
	for len(f.queue) > 0 {
		best := sim.engines[0]
		for _, e := range sim.engines {
			if f.inFlight[e] < f.inFlight[best] {
				best = e
			}
		}
		if f.inFlight[best] >= f.slots {
			return
		}
		j := f.queue[0]
		f.queue = f.queue[1:]
		f.inFlight[best]++
		sim.send(j, best)
	}
}
