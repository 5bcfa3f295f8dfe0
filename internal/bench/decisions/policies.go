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

// policy decides where and when jobs run.
type policy interface {
	arrive(w *world, j *job)
	finished(w *world, j *job)
}

const (
	pool object.PoolName = "layout"
	// startSlots is the initial limit of an engine.
	startSlots = 32
	// tickInterval is the resolution of the shard's clock.
	tickInterval = 10 * time.Millisecond
	// reportInterval is the age at which engines report their load to the baselines.
	reportInterval = time.Second
)

// epoch is the time at which runs begin.
var epoch = time.Unix(1_000_000, 0)

// scheduler is redwinglock: the real decision code of a shard.
type scheduler struct {
	shard    *shard.Shard
	snapshot *object.Snapshot
	jobs     map[wire.RequestID]*job
	running  map[object.TierName]int
	ticking  bool
	// register says what a front tells about a job, and refused what a caller does whose job
	// was refused.
	register func(*world, *job) wire.Register
	refused  func(w *world, j *job, after time.Duration)
	// broken counts refusals of a higher tier while a lower one was served.
	broken int
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
		objects = append(objects, &object.Target{Name: e.name, Pool: pool, Zone: "z", Address: "http://h:1", Generation: "g", Slots: startSlots})
	}
	snapshot, err := object.Compile(1, "", objects)
	if err != nil {
		return nil, fmt.Errorf("create scheduler: %w", err)
	}
	p := &scheduler{snapshot: snapshot, jobs: map[wire.RequestID]*job{}, running: map[object.TierName]int{}, register: registration}
	p.refused = p.noteRefusal
	p.shard = shard.New(pool, shard.NewQuotas())
	p.shard.Configure(epoch, snapshot, nil)
	return p, nil
}

func registration(w *world, j *job) wire.Register {
	return wire.Register{
		ID: wire.RequestID(strconv.Itoa(j.id)), Pool: pool, Account: j.account, Tier: j.tier,
		PromptTokens: j.prompt, OutputTokens: j.output, Phase: wire.Waiting,
		Prefixes:   []wire.PrefixHash{wire.PrefixHash(j.prefix)},
		WaitedMS:   (w.now - j.arrived).Milliseconds(),
		DeadlineMS: max((j.arrived + j.deadline - w.now).Milliseconds(), 1),
	}
}

func (p *scheduler) arrive(w *world, j *job) {
	r := p.register(w, j)
	p.jobs[r.ID] = j
	p.carryOut(w, p.shard.Register(epoch.Add(w.now), r))
}

func (p *scheduler) finished(w *world, j *job) {
	p.running[j.tier]--
	f := wire.Finish{
		ID: wire.RequestID(strconv.Itoa(j.id)), Pool: pool, Dispatched: true, Completed: !j.cancelled,
		PromptTokens: j.prompt, OutputTokens: j.generated, FirstTokenMS: (j.firstToken - j.sent).Milliseconds(),
	}
	if j.generated > 1 && !j.cancelled {
		f.DecodeUS = (j.finished - j.firstToken).Microseconds() / int64(j.generated-1)
	}
	p.carryOut(w, p.shard.Finish(epoch.Add(w.now), f))
}

// lose replaces the shard by a new one, as after the loss of its arbiter.
func (p *scheduler) lose(w *world) {
	p.shard = shard.New(pool, shard.NewQuotas())
	p.carryOut(w, p.shard.Configure(epoch.Add(w.now), p.snapshot, nil))
	for id := range len(p.jobs) {
		j := p.jobs[wire.RequestID(strconv.Itoa(id))]
		if j == nil || j.ended || j.refused {
			continue
		}
		r := p.register(w, j)
		r.Moved = true
		if j.engine != nil {
			r.Phase = wire.Running
			r.Target = j.engine.name
		}
		p.carryOut(w, p.shard.Register(epoch.Add(w.now), r))
	}
}

func (p *scheduler) carryOut(w *world, decisions []shard.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case shard.Grant:
			j := p.jobs[d.ID]
			p.running[j.tier]++
			for _, e := range w.engines {
				if e.name == d.Target {
					w.send(j, e)
				}
			}
		case shard.Refuse:
			p.refused(w, p.jobs[d.ID], d.RetryAfter)
		case shard.Cancel:
			j := p.jobs[d.ID]
			w.at(w.now+time.Millisecond, func() { w.cancel(j) })
		}
	}
	p.tick(w)
}

// noteRefusal ends a job, whose caller does not come back.
func (p *scheduler) noteRefusal(_ *world, j *job, _ time.Duration) {
	j.ended, j.refused = true, true
	for _, t := range tiers {
		if t.priority < priorityOf(j.tier) && p.running[t.name] > 0 {
			p.broken++
		}
	}
}

func (p *scheduler) tick(w *world) {
	if p.ticking || p.shard.Waiting() == 0 {
		return
	}
	p.ticking = true
	w.at(w.now+tickInterval, func() {
		p.ticking = false
		p.carryOut(w, p.shard.Tick(epoch.Add(w.now)))
	})
}

// direct is a baseline that sends each job at once to an engine it picks.
type direct struct {
	pick func(w *world, d *direct) *engine
	next int
	// reported is the load of each engine at its last report.
	reported   map[*engine]int
	reportedAt time.Duration
	age        time.Duration
	random     *rand.Rand
}

func (d *direct) arrive(w *world, j *job) {
	if d.reported == nil || w.now-d.reportedAt >= d.age {
		d.reported = map[*engine]int{}
		for _, e := range w.engines {
			d.reported[e] = len(e.queue) + len(e.batch)
		}
		d.reportedAt = w.now
	}
	w.send(j, d.pick(w, d))
}

func (d *direct) finished(*world, *job) {}

func roundRobin(w *world, d *direct) *engine {
	d.next++
	return w.engines[d.next%len(w.engines)]
}

func leastReported(w *world, d *direct) *engine {
	best := w.engines[0]
	for _, e := range w.engines {
		if d.reported[e] < d.reported[best] {
			best = e
		}
	}
	return best
}

func twoChoices(w *world, d *direct) *engine {
	a, b := w.engines[d.random.IntN(len(w.engines))], w.engines[d.random.IntN(len(w.engines))]
	if d.reported[b] < d.reported[a] {
		return b
	}
	return a
}

// firstCome is a baseline with one queue, without tiers or shares.
type firstCome struct {
	queue    []*job
	inFlight map[*engine]int
	slots    int // Of each engine.
}

func (f *firstCome) arrive(w *world, j *job) {
	f.queue = append(f.queue, j)
	f.dispatch(w)
}

func (f *firstCome) finished(w *world, j *job) {
	f.inFlight[j.engine]--
	f.dispatch(w)
}

func (f *firstCome) dispatch(w *world) {
	for len(f.queue) > 0 {
		best := w.engines[0]
		for _, e := range w.engines {
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
		w.send(j, best)
	}
}
