package shard

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// crashLimit is the number of crashes by one request after which at most lateLimit runs of it may begin, counted from
	// replayContact after the last of them.
	crashLimit = 3
	lateLimit  = 3
	// entryTime is how long the entry of a crashed target stays, restartTime the time until another one replaces it.
	entryTime   = 3300 * time.Millisecond
	restartTime = 3500 * time.Millisecond
	// soundFingerprint is that of all sound requests if they are identical.
	soundFingerprint wire.Fingerprint = 5000
	// crashedFingerprint is that of the first request that crashes targets. Others follow it.
	crashedFingerprint wire.Fingerprint = 9000
)

// requestReplay replays a fleet with requests that crash each target that runs them, again and again.
type requestReplay struct {
	t        *testing.T
	shard    *Shard
	now      time.Time
	random   *rand.Rand
	snapshot *object.Snapshot
	revision object.Revision

	targets map[object.TargetName]*replayTarget
	running map[wire.RequestID]*clientRequest
	next    int

	// soundPerSecond is the rate of sound requests. identical is set if they all are the same request.
	soundPerSecond float64
	identical      bool
	answer         time.Duration
	// poisons is the number of different requests that crash targets. Each comes again every interval, parallel times at once.
	poisons, parallel int
	interval          time.Duration
	nextPoison        time.Time
	// attempts is the number of targets that a host tries, tries the number of times that a caller sends a request.
	attempts, tries int
	prefixes        bool
	sameName        bool

	sent, crashed map[wire.Fingerprint][]time.Time
	sound, served int
	refused       map[outcome.Reason]int
	notices       []wire.PrefixNotice
}

// replayTarget is one run of a target.
type replayTarget struct {
	spec     object.Target
	downAt   time.Time
	isListed bool
}

// clientRequest is one attempt of a host.
type clientRequest struct {
	fingerprint   wire.Fingerprint
	poison        bool
	number        int
	attempt, try  int
	registrations int
	avoid         []object.TargetName
	target        object.TargetName
	sentAt        time.Time
}

func newRequestReplay(t *testing.T, seed uint64, targets int) *requestReplay {
	r := &requestReplay{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0),
		targets: map[object.TargetName]*replayTarget{}, running: map[wire.RequestID]*clientRequest{},
		soundPerSecond: 15, answer: 20 * time.Millisecond, poisons: 1, parallel: 1, interval: 2 * time.Second, attempts: 2, tries: 2,
		sent: map[wire.Fingerprint][]time.Time{}, crashed: map[wire.Fingerprint][]time.Time{}, refused: map[outcome.Reason]int{},
	}
	snapshot, err := object.Compile(1, "", []object.Object{
		&object.Tier{Name: "first", Priority: 3},
		&object.Account{Name: "big", Tiers: []object.TierName{"first"}, KeyHashes: []string{object.HashKey("1")}},
		&object.Pool{Name: testPool, Type: object.ServicePool, FixedSlots: true, NonPreemptible: true, Discovered: true},
	})
	require.NoError(t, err)
	r.snapshot = snapshot
	for i := range targets {
		r.start(targetName(i))
	}
	r.newArbiter()
	return r
}

// newArbiter replaces the arbiter by one that knows what the former one has announced.
func (r *requestReplay) newArbiter() {
	r.shard = New(testPool, NewQuotas())
	r.running = map[wire.RequestID]*clientRequest{}
	r.configure()
	for _, n := range r.notices {
		r.apply(r.shard.LearnPrefix(r.now, n))
	}
}

func (r *requestReplay) start(name object.TargetName) {
	r.targets[name] = &replayTarget{isListed: true, spec: object.Target{
		Name: name, Pool: testPool, Zone: "a", Address: "http://t", Slots: 6, StartedMS: r.now.UnixMilli(),
	}}
}

// configure passes the listed targets to the shard.
func (r *requestReplay) configure() {
	var listed []*object.Target
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		if t := r.targets[name]; t.isListed {
			spec := t.spec
			listed = append(listed, &spec)
		}
	}
	r.revision++
	r.apply(r.shard.Configure(r.now, r.snapshot.WithTargets(r.revision, listed), nil))
}

func (r *requestReplay) play(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(replayStep)
		r.replaceTargets()
		if r.random.Float64() < r.soundPerSecond*replayStep.Seconds() {
			r.arriveSound()
		}
		if r.poisons > 0 && !r.now.Before(r.nextPoison) {
			r.arrivePoison()
		}
		for _, id := range slices.Sorted(maps.Keys(r.running)) {
			if q := r.running[id]; q != nil && q.target != "" {
				r.advance(id, q)
			}
		}
		r.apply(r.shard.Tick(r.now))
	}
}

func (r *requestReplay) replaceTargets() {
	changed := false
	for name, t := range maps.Clone(r.targets) {
		if t.downAt.IsZero() {
			continue
		}
		if t.isListed && r.now.Sub(t.downAt) >= entryTime && !r.sameName {
			t.isListed, changed = false, true
		}
		if r.now.Sub(t.downAt) >= restartTime {
			delete(r.targets, name)
			if !r.sameName {
				r.next++
				name = object.TargetName(fmt.Sprint("replaced-", r.next))
			}
			r.start(name)
			changed = true
		}
	}
	if changed {
		r.configure()
	}
}

func (r *requestReplay) arriveSound() {
	r.sound++
	q := &clientRequest{fingerprint: soundFingerprint, attempt: 1, try: 1, number: r.sound}
	if !r.identical {
		q.fingerprint += wire.Fingerprint(100_000 + r.sound)
	}
	r.register(q)
}

func (r *requestReplay) arrivePoison() {
	r.nextPoison = r.now.Add(r.interval)
	for i := range r.poisons {
		for range r.parallel {
			r.register(&clientRequest{fingerprint: crashedFingerprint + wire.Fingerprint(i), poison: true, attempt: 1, try: 1})
		}
	}
}

func (r *requestReplay) register(q *clientRequest) {
	r.next++
	q.registrations++
	id := wire.RequestID(fmt.Sprintf("r-%06d", r.next))
	r.running[id] = q
	w := wire.Register{
		ID: id, Pool: testPool, Account: "big", Tier: "first", Class: "first", PromptTokens: 1, Phase: wire.Waiting,
		DeadlineMS: 800, MaxWaitMS: 400, Fingerprint: q.fingerprint, Front: "run", Attempt: q.registrations, Avoid: q.avoid,
	}
	if r.prefixes {
		w.Prefixes = []wire.PrefixHash{wire.PrefixHash(1 + q.number%4), wire.PrefixHash(q.fingerprint) + wire.PrefixHash(q.number)}
	}
	r.apply(r.shard.Register(r.now, w))
}

func (r *requestReplay) apply(decisions []Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Grant:
			r.send(d)
		case Refuse:
			r.refused[d.Reason]++
			delete(r.running, d.ID)
		case Announce:
			r.notices = append(r.notices, d.Notice)
		}
	}
}

func (r *requestReplay) send(g Grant) {
	q := r.running[g.ID]
	q.target, q.sentAt = g.Target, r.now
	t := r.targets[g.Target]
	if t == nil || !t.downAt.IsZero() {
		delete(r.running, g.ID)
		r.apply(r.shard.Finish(r.now, wire.Finish{ID: g.ID, Pool: testPool, Unreachable: true}))
		q.target = ""
		r.register(q)
		return
	}
	if q.poison {
		r.sent[q.fingerprint] = append(r.sent[q.fingerprint], r.now)
	}
}

func (r *requestReplay) advance(id wire.RequestID, q *clientRequest) {
	age := r.now.Sub(q.sentAt)
	switch {
	case q.poison && age >= 2*replayStep:
		r.crashed[q.fingerprint] = append(r.crashed[q.fingerprint], r.now)
		r.crash(q.target)
	case !q.poison && age >= r.answer:
		delete(r.running, id)
		r.served++
		r.apply(r.shard.Finish(r.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true, Begun: true}))
	}
}

// crash ends a target and breaks the connections of its requests. Their hosts and callers send them again.
func (r *requestReplay) crash(name object.TargetName) {
	t := r.targets[name]
	if t == nil || !t.downAt.IsZero() {
		return
	}
	t.downAt = r.now
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		q := r.running[id]
		if q == nil || q.target != name {
			continue
		}
		delete(r.running, id)
		r.apply(r.shard.Finish(r.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Failed: true, Broken: true}))
		r.sendAgain(q)
	}
}

func (r *requestReplay) sendAgain(q *clientRequest) {
	again := *q
	again.target = ""
	switch {
	case q.attempt < r.attempts:
		again.attempt++
		again.avoid = append(slices.Clone(q.avoid), q.target)
	case q.try < r.tries:
		again.try++
		again.attempt, again.avoid = 1, nil
	default:
		return
	}
	r.register(&again)
}

// late counts the runs of a request that began later than the bound after it had crashed the last target that may count.
func (r *requestReplay) late(f wire.Fingerprint) int {
	if len(r.crashed[f]) < crashLimit {
		return 0
	}
	count := 0
	for _, at := range r.sent[f] {
		if at.Sub(r.crashed[f][crashLimit-1]) > replayContact {
			count++
		}
	}
	return count
}
