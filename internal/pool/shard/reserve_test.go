package shard

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// stream is a kind of request of a replayed load.
type stream struct {
	class object.TierName
	// perSecond is its rate and lasts how long each request holds a slot.
	perSecond float64
	lasts     time.Duration
	objective time.Duration
	// burst multiplies the rate from burstFrom to burstTo.
	burst              float64
	burstFrom, burstTo time.Duration
	// wave doubles the rate for this time, then stops the stream for as long.
	wave time.Duration
}

// rate returns the rate at a time.
func (s *stream) rate(at time.Duration) float64 {
	switch {
	case s.wave > 0 && at/s.wave%2 == 0:
		return 2 * s.perSecond
	case s.wave > 0:
		return 0
	case at >= s.burstFrom && at < s.burstTo:
		return s.burst * s.perSecond
	}
	return s.perSecond
}

// start is one request of a replayed load.
type start struct {
	class   object.TierName
	arrived time.Duration
	// waited is the time until its grant, and late is set if that was past its objective or
	// never.
	waited time.Duration
	// granted is set once it has started.
	granted, late bool
}

// player plays a load against a pool. Callers that are refused come back once, when
// they were told to.
type player struct {
	*bench
	began    time.Time
	requests map[wire.RequestID]*replayed
	ends     map[time.Duration][]wire.RequestID
	returns  map[time.Duration][]*replayed
	all      []*replayed
}

// replayed is one request of a caller.
type replayed struct {
	start
	stream   stream
	returned bool
}

// tick is the resolution of a replayed load.
const tick = 5 * time.Millisecond

func (p *player) now() time.Duration { return p.bench.now.Sub(p.began) }

func (p *player) ask(v *replayed) {
	id, decisions := p.bench.ask(v.class, func(w *wire.Register) {
		w.ObjectiveMS = max((v.stream.objective*7/10 - (p.now() - v.arrived)).Milliseconds(), 1)
		w.MaxWaitMS = 1700
		w.MayReturn = !v.returned
		w.DeadlineMS = (15*time.Second - (p.now() - v.arrived)).Milliseconds()
	})
	p.requests[id] = v
	p.note(decisions)
}

func (p *player) note(decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Grant:
			v := p.requests[d.ID]
			v.waited = p.now() - v.arrived
			v.granted = true
			v.late = v.waited > v.stream.objective
			end := (p.now() + v.stream.lasts).Truncate(tick)
			p.ends[end] = append(p.ends[end], d.ID)
		case Refuse:
			if v := p.requests[d.ID]; !v.returned {
				v.returned = true
				at := (p.now() + d.RetryAfter).Truncate(tick)
				p.returns[at] = append(p.returns[at], v)
			}
		}
	}
}

// replay plays streams of requests and returns what became of each request.
func replay(b *bench, streams []stream, lasting time.Duration) []*replayed {
	random := rand.New(rand.NewPCG(1, 2))
	p := &player{bench: b, began: b.now, requests: map[wire.RequestID]*replayed{}, ends: map[time.Duration][]wire.RequestID{}, returns: map[time.Duration][]*replayed{}}
	for at := time.Duration(0); at < lasting; at += tick {
		for _, id := range p.ends[at] {
			p.note(p.finish(id))
		}
		for _, v := range p.returns[at] {
			p.ask(v)
		}
		for _, s := range streams {
			expected := s.rate(at) * tick.Seconds()
			for next := random.ExpFloat64(); next < expected; next += random.ExpFloat64() {
				v := &replayed{start: start{class: s.class, arrived: at, late: true}, stream: s}
				p.all = append(p.all, v)
				p.ask(v)
			}
		}
		p.note(p.advance(tick))
	}
	return p.all
}

// medianWait returns the median wait of the requests of a class that arrived in a span.
func medianWait(starts []*replayed, class object.TierName, from, to time.Duration) time.Duration {
	var waits []time.Duration
	for _, s := range starts {
		if s.class == class && s.arrived >= from && s.arrived < to {
			waits = append(waits, s.waited)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}

// TestBacklogOfLateRequestsDissolves replays a burst of long, least urgent streams. Their
// backlog must not keep those late that come after it: within two seconds most requests
// start within their objective again.
func TestBacklogOfLateRequestsDissolves(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	starts := replay(b, []stream{
		{class: "first", perSecond: 60, lasts: 400 * time.Millisecond, objective: 500 * time.Millisecond, wave: time.Second},
		{class: "third", perSecond: 33, lasts: 1500 * time.Millisecond, objective: 300 * time.Millisecond, burst: 2.3, burstFrom: 3 * time.Second, burstTo: 9 * time.Second},
	}, 20*time.Second)
	late, count := 0, 0
	for _, s := range starts {
		if s.class == "third" && s.arrived >= 11*time.Second && s.arrived < 16*time.Second {
			count++
			if s.late {
				late++
			}
		}
	}
	require.Less(t, late*2, count)
	require.LessOrEqual(t, medianWait(starts, "third", 11*time.Second, 16*time.Second), 300*time.Millisecond)
	require.LessOrEqual(t, medianWait(starts, "first", 3*time.Second, 9*time.Second), 100*time.Millisecond)
}

// TestLateWorkLeavesRoomForWorkInTime registers late requests beside running ones of the same
// class that are in time: more of those will come, and each is worth more.
func TestLateWorkLeavesRoomForWorkInTime(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	ask := func(objectiveMS int64) int {
		_, decisions := b.ask("third", func(r *wire.Register) { r.ObjectiveMS = objectiveMS; r.MaxWaitMS = 60_000 })
		return len(granted(decisions))
	}
	for range 40 {
		require.Equal(t, 1, ask(300))
	}
	b.advance(2 * time.Second)
	b.advance(time.Second)                                // The demand of requests in time is known now, and that it is steady.
	b.shard.SetShare(b.now, Share{Slots: 0.01, Quota: 1}) // Nothing starts for a while.
	for range 100 {
		require.Zero(t, ask(1))
	}
	b.advance(10 * time.Millisecond)
	late := len(granted(b.shard.SetShare(b.now, Share{Slots: 1, Quota: 1})))
	require.LessOrEqual(t, late, 54, "100 slots less 1.15 times 40")
	require.GreaterOrEqual(t, late, 48, "slots are not left idle")
	inTime := 0
	for range 10 {
		inTime += ask(300)
	}
	require.GreaterOrEqual(t, inTime, 6, "the rest is for requests in time")
}

// TestShortWorkMayUseAllSlots gives the slots that the most urgent class does not use to
// requests that soon give them back, and not to those that hold them long.
func TestShortWorkMayUseAllSlots(t *testing.T) {
	rows := []struct {
		name    string
		holding time.Duration
		want    int
	}{
		{"short", 300 * time.Millisecond, 70},
		{"long", 2 * time.Second, 61},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 10, 10)
			id, _ := b.ask("second", nil)
			b.advance(row.holding)
			b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true})
			for range 30 {
				b.ask("first", func(r *wire.Register) { r.ObjectiveMS = 350 })
			}
			b.advance(2 * time.Second) // The demand of the first class is known now.
			started := 0
			for range 100 {
				_, decisions := b.ask("second", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
				started += len(granted(decisions))
			}
			require.Equal(t, row.want, started)
		})
	}
}

// TestLongWorkLeavesRoomForUrgentWork replays a burst of the least urgent class, whose
// requests hold a slot long, before one of the most urgent.
func TestLongWorkLeavesRoomForUrgentWork(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	urgent := map[wire.RequestID]bool{}
	for range 30 {
		id, _ := b.ask("first", nil)
		urgent[id] = true
	}
	b.advance(2 * time.Second) // The demand of the urgent class is known now.
	long := 0
	for range 200 {
		_, decisions := b.ask("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
		long += len(granted(decisions))
	}
	require.Equal(t, 61, long, "100 slots less 30 and three deviations of 3")
	for id := range urgent {
		b.finish(id)
	}
	started := 0
	for range 30 {
		_, decisions := b.ask("first", nil)
		started += len(granted(decisions))
	}
	require.Equal(t, 30, started, "a burst of the urgent class starts at once")
}

func TestLeastUrgentWorkKeepsAPart(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	for range 100 {
		b.ask("first", nil)
	}
	b.advance(3 * time.Second)
	waiting, _ := b.ask("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	require.Equal(t, []wire.RequestID{waiting}, granted(b.finish("1")))
}

func TestRequestOutOfTimeWaitsBehindThoseInTime(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.ask("first", nil)
	late, _ := b.ask("first", func(r *wire.Register) { r.ObjectiveMS = 100; r.MaxWaitMS = 5000 })
	b.advance(200 * time.Millisecond)
	inTime, _ := b.ask("first", func(r *wire.Register) { r.ObjectiveMS = 100; r.MaxWaitMS = 5000 })
	require.Equal(t, []wire.RequestID{inTime}, granted(b.finish(running)))
	require.Equal(t, []wire.RequestID{late}, granted(b.finish(inTime)))
}

// TestRunningWorkOfALessUrgentClassDoesNotUseUpThePartOfAnother lets the least urgent class
// take all that the most urgent leaves, before requests of the class between them come.
func TestRunningWorkOfALessUrgentClassDoesNotUseUpThePartOfAnother(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	var urgent []wire.RequestID
	for range 80 {
		id, _ := b.ask("first", nil)
		urgent = append(urgent, id)
	}
	for range 20 {
		b.ask("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	}
	b.advance(2 * time.Second) // The demand of the first class is known now.
	for range 20 {
		b.ask("second", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	}
	started := 0
	for _, id := range urgent[:20] {
		started += len(granted(b.finish(id)))
	}
	require.GreaterOrEqual(t, started, 15, "15% of 100 slots")
}

// TestRoomKeptForSteadyWorkIsWhatItNeeds replays steady urgent work beside more of the least
// urgent class than fits. Arrivals that do not depend on each other vary by the root of their
// number; three times that is room enough, whatever the size of the pool.
func TestRoomKeptForSteadyWorkIsWhatItNeeds(t *testing.T) {
	const (
		holds = 500 * time.Millisecond
		from  = 4 * time.Second
		until = 8 * time.Second
	)
	rows := []struct {
		name    string
		targets int
		urgent  float64 // Requests that run on average.
	}{
		{"a hundred slots", 25, 30},
		{"a thousand slots", 256, 500},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, row.targets, 4)
			slots := float64(4 * row.targets)
			starts := replay(b, []stream{
				{class: "first", perSecond: row.urgent / holds.Seconds(), lasts: holds, objective: holds},
				{class: "third", perSecond: slots, lasts: 1500 * time.Millisecond, objective: 300 * time.Millisecond},
			}, until)
			inTime, urgent, least := 0.0, 0.0, 0.0
			for _, s := range starts {
				begin := s.arrived + s.waited
				switch {
				case s.class == "first" && s.arrived >= from:
					urgent++
					if !s.late {
						inTime++
					}
				case s.class == "third" && s.granted && begin < until:
					least += max(min(begin+s.stream.lasts, until)-max(begin, from), 0).Seconds()
				}
			}
			require.GreaterOrEqual(t, inTime/urgent, 0.99, "urgent work starts in time")
			room := row.urgent + 3*math.Sqrt(row.urgent)
			require.GreaterOrEqual(t, least/(until-from).Seconds(), slots-room, "slots that run the least urgent class")
		})
	}
}
