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

// The prefixes of the replay: every request has one of the first ones and a last one of its own.
const (
	firstPrefixes                 = 4
	poisonPrefix  wire.PrefixHash = 777
	otherPoison   wire.PrefixHash = 778
)

// crashReplay replays the requests of a small fleet of which some crash their targets.
type crashReplay struct {
	b      *bench
	random *rand.Rand
	// perSecond is the rate of requests, poisonShare the part of them that crash their targets.
	perSecond, poisonShare float64
	// lostShare is the part of the answers that are lost while the target keeps running.
	lostShare float64
	twoParts  bool
	// crashAge is the time from sending a poison request to the crash, whole that from sending to the end of a sound
	// answer.
	crashAge, whole time.Duration

	running map[wire.RequestID]*replayRequest
	downAt  map[object.TargetName]time.Time
	started map[object.TargetName]int64
	next    int

	// poisonSent are the times at which poison requests were granted, crashedAt those of the crashes that they
	// caused, by prefix.
	poisonSent, crashedAt map[wire.PrefixHash][]time.Time
	held                  map[wire.PrefixHash]bool
	suspected             map[wire.PrefixHash]bool
	notices               []wire.PrefixNotice
	begun, sound          int
	refused               map[outcome.Reason]int
}

// replayRequest is one request at a target.
type replayRequest struct {
	prefixes []wire.PrefixHash
	// poison is the prefix that crashes the target, 0 if there is none.
	poison        wire.PrefixHash
	isBegun       bool
	target        object.TargetName
	sentAt        time.Time
	attempt       int
	registrations int
}

const (
	replayStep      = 5 * time.Millisecond
	replayFirst     = 100 * time.Millisecond // From sending to the first event.
	replayWhole     = 450 * time.Millisecond // From sending to the end of the answer.
	replayDown      = 4 * time.Second        // From a crash until the target is back.
	replayTargets   = 12
	replayContact   = 3 * time.Second // From the fifth crash until no more may follow.
	replaySeeds     = 8
	replayAllowance = 3 // Poison requests that may still reach targets after it.
)

func newCrashReplay(t *testing.T, seed uint64) *crashReplay {
	return newLargeCrashReplay(t, seed, replayTargets)
}

func newLargeCrashReplay(t *testing.T, seed uint64, targets int) *crashReplay {
	return &crashReplay{
		b: newDiscoveredBench(t, targets, 7), random: rand.New(rand.NewPCG(seed, 1)), perSecond: 95,
		running: map[wire.RequestID]*replayRequest{}, downAt: map[object.TargetName]time.Time{}, started: map[object.TargetName]int64{},
		poisonSent: map[wire.PrefixHash][]time.Time{}, crashedAt: map[wire.PrefixHash][]time.Time{},
		held: map[wire.PrefixHash]bool{}, suspected: map[wire.PrefixHash]bool{}, refused: map[outcome.Reason]int{},
		crashAge: replayFirst, whole: replayWhole,
	}
}

// play advances the replay.
func (r *crashReplay) play(d time.Duration) {
	for end := r.b.now.Add(d); r.b.now.Before(end); {
		r.b.now = r.b.now.Add(replayStep)
		for due := r.perSecond * replayStep.Seconds(); due > 0; due-- {
			if r.random.Float64() < due {
				r.arrive()
			}
		}
		for _, id := range slices.Sorted(maps.Keys(r.running)) {
			if q := r.running[id]; q != nil {
				r.advance(id, q)
			}
		}
		r.apply(r.b.shard.Tick(r.b.now))
	}
}

func (r *crashReplay) arrive() {
	r.next++
	q := &replayRequest{prefixes: []wire.PrefixHash{wire.PrefixHash(1 + r.random.IntN(firstPrefixes))}, attempt: 1}
	if r.random.Float64() < r.poisonShare {
		q.poison = poisonPrefix
		if r.twoParts && r.next%2 == 0 {
			q.poison = otherPoison
		}
		q.prefixes = append(q.prefixes, q.poison)
	} else {
		r.sound++
		q.prefixes = append(q.prefixes, wire.PrefixHash(100+r.random.IntN(40)))
	}
	q.prefixes = append(q.prefixes, wire.PrefixHash(100_000+r.next))
	r.register(q)
}

func (r *crashReplay) register(q *replayRequest) {
	r.b.next++
	q.registrations++
	id := wire.RequestID(fmt.Sprint("r-", r.b.next))
	r.running[id] = q
	r.apply(r.b.shard.Register(r.b.now, wire.Register{
		ID: id, Pool: testPool, Account: "big", Tier: "first", Class: "first", PromptTokens: 1000, Prefixes: q.prefixes, Phase: wire.Waiting,
		DeadlineMS: 6000, Front: "run", Attempt: q.registrations,
	}))
}

// apply carries out decisions.
func (r *crashReplay) apply(decisions []Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Grant:
			r.send(d)
		case Refuse:
			r.refused[d.Reason]++
			require.True(r.b.t, d.Reason != outcome.PromptHeld || d.RetryAfter == heldRetryAfter, "an earlier attempt has no better chance")
			delete(r.running, d.ID)
		case Announce:
			r.notices = append(r.notices, d.Notice)
			r.held[d.Notice.Prefix] = d.Notice.State == wire.PrefixHeld
			r.suspected[d.Notice.Prefix] = true
		case Cancel:
		}
	}
}

func (r *crashReplay) send(g Grant) {
	q := r.running[g.ID]
	q.target, q.sentAt = g.Target, r.b.now
	if r.isDown(g.Target) {
		q.target = ""
		r.apply(r.b.shard.Finish(r.b.now, wire.Finish{ID: g.ID, Pool: testPool, Unreachable: true}))
		delete(r.running, g.ID)
		r.register(q)
		return
	}
	if q.poison != 0 {
		r.poisonSent[q.poison] = append(r.poisonSent[q.poison], r.b.now)
	}
}

func (r *crashReplay) isDown(target object.TargetName) bool {
	at, found := r.downAt[target]
	return found && r.b.now.Sub(at) < replayDown
}

// advance begins or ends the answer to a request that is due.
func (r *crashReplay) advance(id wire.RequestID, q *replayRequest) {
	if q.target == "" || r.running[id] != q {
		return
	}
	age := r.b.now.Sub(q.sentAt)
	switch {
	case q.poison != 0 && age >= r.crashAge:
		r.crashedAt[q.poison] = append(r.crashedAt[q.poison], r.b.now)
		r.crash(q.target)
	case !q.isBegun && age >= replayFirst && r.random.Float64() < r.lostShare:
		r.lose(id, q)
	case !q.isBegun && age >= replayFirst:
		q.isBegun = true
		r.begun++
	case age >= r.whole:
		delete(r.running, id)
		r.apply(r.b.shard.Finish(r.b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true, Begun: true}))
	}
}

// crash ends a target and all answers of its requests. They are sent again, as streams that can be resumed are.
func (r *crashReplay) crash(target object.TargetName) {
	r.downAt[target] = r.b.now
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		if q := r.running[id]; q != nil && q.target == target {
			r.lose(id, q)
		}
	}
}

func (r *crashReplay) lose(id wire.RequestID, q *replayRequest) {
	delete(r.running, id)
	r.apply(r.b.shard.Finish(r.b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Failed: true, Broken: true, Begun: q.isBegun}))
	if q.attempt < 2 {
		r.register(&replayRequest{prefixes: q.prefixes, poison: q.poison, attempt: q.attempt + 1, registrations: q.registrations})
	}
}

// sentAfterContact counts the requests with a poison prefix that reached targets later than the bound after
// its fifth crash.
func (r *crashReplay) sentAfterContact(prefix wire.PrefixHash) int {
	const lastFree = 5
	crashes := r.crashedAt[prefix]
	if len(crashes) < lastFree {
		return 0
	}
	count := 0
	for _, at := range r.poisonSent[prefix] {
		if at.Sub(crashes[lastFree-1]) > replayContact {
			count++
		}
	}
	return count
}
