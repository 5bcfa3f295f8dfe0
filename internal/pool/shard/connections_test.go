package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// streamClass is a class of the load of the second deployment of docs/design/hard-load.md.
type streamClass struct {
	name           object.TierName
	share          float64 // Of all requests.
	prompt, output int
	objective      time.Duration
}

var streamClasses = []streamClass{
	{"first", 308.0 / 710, 2950, 54, 800 * time.Millisecond},
	{"second", 219.0 / 710, 1860, 24, 600 * time.Millisecond},
	{"third", 183.0 / 710, 603, 282, 400 * time.Millisecond},
}

const (
	replayFronts, replayEngines, replaySlots = 32, 140, 4
	replayTick                               = time.Millisecond
	// newConnectionTime is the round trip and the work at the target for a new connection.
	newConnectionTime = 3 * time.Millisecond
	// frontIdleTime is how long fronts keep idle connections.
	frontIdleTime = 250 * time.Millisecond
)

// connectionEnd is the end of a request in a replay.
type connectionEnd struct {
	finish wire.Finish
	front  wire.HostID
	target object.TargetName
}

// connectionPair is a front and a target.
type connectionPair struct {
	front  wire.HostID
	target object.TargetName
}

// sentStream is a request of a replay.
type sentStream struct {
	class  streamClass
	front  wire.HostID
	sentAt time.Time
}

// connectionReplay replays requests of many fronts to engines of unequal speed.
type connectionReplay struct {
	*bench
	reports   bool // Whether fronts report the connections that they keep.
	perSecond float64
	random    *rand.Rand
	began     time.Time
	engines   map[object.TargetName]*engine
	sent      map[wire.RequestID]sentStream
	ends      map[time.Time][]connectionEnd
	idle      map[connectionPair][]time.Time // When each idle connection was released.

	all, onTime, granted, reused float64
	// firstEvents is the sum of the times to the first event.
	firstEvents time.Duration
}

func newConnectionReplay(t *testing.T, perSecond float64, seed uint64, reports bool) *connectionReplay {
	b := newDiscoveredBench(t, replayEngines, replaySlots)
	r := &connectionReplay{
		bench: b, reports: reports, perSecond: perSecond, random: rand.New(rand.NewPCG(seed, 2)), began: b.now, engines: map[object.TargetName]*engine{},
		sent: map[wire.RequestID]sentStream{}, ends: map[time.Time][]connectionEnd{}, idle: map[connectionPair][]time.Time{},
	}
	for i := range replayEngines {
		speed := 0.6 + 1.1*r.random.Float64()
		r.engines[targetName(i)] = &engine{
			promptTokenTime: time.Duration(float64(time.Millisecond) / 38.1 / speed),
			outputTokenTime: time.Duration(float64(4430*time.Microsecond) / speed),
		}
	}
	return r
}

// isMeasured reports whether the speeds of the engines have been learned.
func (r *connectionReplay) isMeasured() bool { return r.now.Sub(r.began) >= 5*time.Second }

func (r *connectionReplay) send() {
	class := streamClasses[len(streamClasses)-1]
	for p, i := r.random.Float64(), 0; i < len(streamClasses); i++ {
		if p -= streamClasses[i].share; p < 0 {
			class = streamClasses[i]
			break
		}
	}
	front := wire.HostID(fmt.Sprint("front-", r.random.IntN(replayFronts)))
	id, decisions := r.bench.send(class.name, func(w *wire.Register) {
		w.Front = front
		w.PromptTokens, w.OutputTokens = class.prompt, class.output
		w.AnswerWithinMS = class.objective.Milliseconds()
		w.DispatchWithinMS = w.AnswerWithinMS * 7 / 10
		w.MaxWaitMS = 1700
	})
	r.sent[id] = sentStream{class, front, r.now}
	if r.isMeasured() {
		r.all++
	}
	r.run(decisions)
}

// run simulates the answers to the granted requests.
func (r *connectionReplay) run(decisions []Decision) {
	for _, d := range decisions {
		grant, ok := d.(Grant)
		if !ok {
			continue
		}
		q, e := r.sent[grant.ID], r.engines[grant.Target]
		at := r.now.Sub(r.began)
		if !r.takeIdle(connectionPair{q.front, grant.Target}) {
			at += newConnectionTime
		}
		e.prefillUntil = max(e.prefillUntil, at) + time.Duration(q.class.prompt)*e.promptTokenTime
		startedAt := r.began.Add(e.prefillUntil)
		if r.isMeasured() {
			r.recordFirstEvent(startedAt.Sub(q.sentAt), q.class)
		}
		end := startedAt.Add(time.Duration(q.class.output) * e.outputTokenTime).Truncate(replayTick).Add(replayTick)
		r.ends[end] = append(r.ends[end], connectionEnd{wire.Finish{
			ID: grant.ID, Pool: testPool, Dispatched: true, Completed: true, ConnectionKept: r.reports,
			PromptTokens: q.class.prompt, OutputTokens: q.class.output,
			FirstTokenMS: startedAt.Sub(r.now).Milliseconds(), DecodeUS: e.outputTokenTime.Microseconds(),
		}, q.front, grant.Target})
	}
}

func (r *connectionReplay) recordFirstEvent(after time.Duration, class streamClass) {
	r.firstEvents += after
	if after <= class.objective {
		r.onTime++
	}
}

// takeIdle uses an idle connection, if there is one.
func (r *connectionReplay) takeIdle(p connectionPair) bool {
	all := r.idle[p]
	for len(all) > 0 && r.now.Sub(all[0]) > frontIdleTime {
		all = all[1:]
	}
	found := len(all) > 0
	if found {
		all = all[:len(all)-1]
	}
	r.idle[p] = all
	if r.isMeasured() {
		r.granted++
		if found {
			r.reused++
		}
	}
	return found
}

// replay runs the load for the given time.
func (r *connectionReplay) replay(length time.Duration) {
	for until := r.now.Add(length); r.now.Before(until); {
		for _, e := range r.ends[r.now] {
			p := connectionPair{e.front, e.target}
			r.idle[p] = append(r.idle[p], r.now)
			r.run(r.shard.Finish(r.now, e.finish))
		}
		delete(r.ends, r.now)
		expected := r.perSecond * replayTick.Seconds()
		for next := r.random.ExpFloat64(); next < expected; next += r.random.ExpFloat64() {
			r.send()
		}
		r.run(r.advance(replayTick))
	}
}

// connectionFigures are the means of a replay.
type connectionFigures struct {
	onTime, reused float64 // Of all requests, and of the grants.
	firstEvent     time.Duration
}

// replayConnections replays a load with several seeds.
func replayConnections(t *testing.T, perSecond float64, reports bool) connectionFigures {
	var sum connectionReplay
	for seed := range uint64(3) {
		r := newConnectionReplay(t, perSecond, seed, reports)
		r.replay(12 * time.Second)
		sum.all += r.all
		sum.onTime += r.onTime
		sum.granted += r.granted
		sum.reused += r.reused
		sum.firstEvents += r.firstEvents
	}
	return connectionFigures{sum.onTime / sum.all, sum.reused / sum.granted, sum.firstEvents / time.Duration(sum.granted)}
}

// TestGrantsUseIdleConnections replays a load in which each of many fronts uses each target once in
// several seconds, so that almost every request would open a connection. It guards against losing the
// preference for idle connections, and against latencies that are worse for it.
func TestGrantsUseIdleConnections(t *testing.T) {
	rows := []struct {
		name      string
		perSecond float64
		reused    float64 // Least fraction of grants on idle connections.
		// tolerance is three standard errors of the difference of three seeds in the fraction on time.
		tolerance float64
	}{{"usual load", 960, 0.6, 0}, {"nearly all slots in use", 1100, 0.35, 0}, {"more than can be served", 1300, 0.12, 0.008}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			without, with := replayConnections(t, row.perSecond, false), replayConnections(t, row.perSecond, true)
			t.Logf("without preference: %+v", without)
			t.Logf("with preference: %+v", with)
			require.GreaterOrEqual(t, with.reused, row.reused)
			require.Greater(t, with.reused, without.reused)
			require.GreaterOrEqual(t, with.onTime, without.onTime-row.tolerance)
			require.LessOrEqual(t, with.firstEvent, without.firstEvent)
		})
	}
}

// TestPreferenceForAnIdleConnection guards against preferences that are too strong, that outlive the
// connection, or that name targets which may not be used.
func TestPreferenceForAnIdleConnection(t *testing.T) {
	rows := []struct {
		name   string
		change func(*bench, *target)
		front  wire.HostID
		want   object.TargetName
	}{
		{"idle connection", func(*bench, *target) {}, "f", "engine-3"},
		{"of another front", func(*bench, *target) {}, "g", "engine-1"},
		{"released too long ago", func(b *bench, _ *target) { b.advance(maxReleaseAge) }, "f", "engine-1"},
		{"slightly more loaded", func(b *bench, t *target) { t.inFlight = 1; b.shard.updateReady(t) }, "f", "engine-3"},
		{"much more loaded", func(b *bench, t *target) { t.inFlight = 2; b.shard.updateReady(t) }, "f", "engine-1"},
		{"late there", func(b *bench, t *target) { t.prefillUntil = b.now.Add(time.Second) }, "f", "engine-1"},
		{"draining, while the others are busy", func(b *bench, t *target) {
			for _, other := range b.shard.targets {
				other.inFlight = 3
				b.shard.updateReady(other)
			}
			t.closed, t.inFlight = true, 0
			b.shard.updateReady(t)
		}, "f", "engine-1"},
		{"restarted or removed", func(b *bench, t *target) { b.shard.ready.remove(t); delete(b.shard.targets, t.name) }, "f", "engine-1"},
		{"the least loaded target has a rate limit", func(b *bench, _ *target) { b.shard.targets["engine-1"].rateLimit = 1 }, "f", "engine-1"},
		{"avoided", func(*bench, *target) {}, "avoiding", "engine-1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 3, 4)
			c := b.shard.targets["engine-3"]
			b.shard.connections.release(b.now, "f", c.name)
			b.shard.connections.release(b.now, "avoiding", c.name)
			row.change(b, c)
			_, decisions := b.send("first", func(r *wire.Register) {
				r.Front, r.AnswerWithinMS = row.front, 500
				if row.front == "avoiding" {
					r.Avoid = []object.TargetName{c.name}
				}
			})
			require.Equal(t, row.want, decisions[0].(Grant).Target)
		})
	}
}

// TestIdleConnectionIsUsedOnce guards against sending many requests to a target for one connection, and
// against remembering connections that the front has not kept.
func TestIdleConnectionIsUsedOnce(t *testing.T) {
	b := newDiscoveredBench(t, 3, 4)
	send := func() Grant {
		_, decisions := b.send("first", func(r *wire.Register) { r.Front = "f" })
		return decisions[0].(Grant)
	}
	first, second := send(), send()
	require.Equal(t, targetName(1), second.Target)
	b.shard.Finish(b.now, wire.Finish{ID: second.ID, Dispatched: true, Completed: true, ConnectionKept: true})
	b.shard.Finish(b.now, wire.Finish{ID: first.ID, Dispatched: true, Completed: true})
	require.Equal(t, targetName(1), send().Target)
	require.Equal(t, targetName(0), send().Target)
	counts := b.shard.TakeCounts()["first"]
	require.Equal(t, 1, counts.OnIdleConnection)
	require.Equal(t, 4, counts.Granted)
}

// TestRememberedConnectionsAreBounded guards against memory that grows with fronts and targets, and that
// stays after fronts have ended.
func TestRememberedConnectionsAreBounded(t *testing.T) {
	var c idleConnections
	now := time.Unix(1000, 0)
	for i := range 40 {
		c.release(now, "f", targetName(i))
	}
	require.Equal(t, maxConnectionsOfFront, len(c.of(now, "f")))
	require.Equal(t, targetName(39), c.of(now, "f")[maxConnectionsOfFront-1].target)
	for i := range 2 * maxReleases {
		c.release(now, wire.HostID(fmt.Sprint(i)), "t")
	}
	require.LessOrEqual(t, len(c.releases), maxReleases)
	require.LessOrEqual(t, len(c.byFront), maxReleases)
	c.expire(now.Add(maxReleaseAge))
	require.Zero(t, len(c.releases))
	require.Zero(t, len(c.byFront))
}
