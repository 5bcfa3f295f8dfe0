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

// workload is one kind of request in a replayed load.
type workload struct {
	class object.TierName
	// perSecond is the request rate, duration the time that each request holds a slot.
	perSecond float64
	duration  time.Duration
	objective time.Duration
	// burstFactor multiplies the rate from burstFrom to burstTo.
	burstFactor        float64
	burstFrom, burstTo time.Duration
	// wavePeriod alternates between twice the rate and no requests, each for this time.
	wavePeriod time.Duration
}

// rate returns the number of requests per second at the given time.
func (w *workload) rate(at time.Duration) float64 {
	switch {
	case w.wavePeriod > 0 && at/w.wavePeriod%2 == 0:
		return 2 * w.perSecond
	case w.wavePeriod > 0:
		return 0
	case at >= w.burstFrom && at < w.burstTo:
		return w.burstFactor * w.perSecond
	}
	return w.perSecond
}

// result is the outcome of one replayed request.
type result struct {
	class   object.TierName
	arrived time.Duration
	// waited is the time until the grant. late is set if the request was granted after its
	// objective or not at all.
	waited        time.Duration
	granted, late bool
}

// loadReplay sends a load to a pool. Refused callers retry once, after the suggested delay.
type loadReplay struct {
	*bench
	beganAt  time.Time
	requests map[wire.RequestID]*replayedRequest
	finishes map[time.Duration][]wire.RequestID
	retries  map[time.Duration][]*replayedRequest
	all      []*replayedRequest
}

// replayedRequest is one request of a replayed load, including its retry.
type replayedRequest struct {
	result
	workload workload
	retried  bool
}

// tick is the resolution of a replayed load.
const tick = 5 * time.Millisecond

func (p *loadReplay) now() time.Duration { return p.bench.now.Sub(p.beganAt) }

func (p *loadReplay) send(v *replayedRequest) {
	id, decisions := p.bench.send(v.class, func(w *wire.Register) {
		w.DispatchWithinMS = max((v.workload.objective*7/10 - (p.now() - v.arrived)).Milliseconds(), 1)
		w.MaxWaitMS = 1700
		w.MayRetry = !v.retried
		w.DeadlineMS = (15*time.Second - (p.now() - v.arrived)).Milliseconds()
	})
	p.requests[id] = v
	p.record(decisions)
}

func (p *loadReplay) record(decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Grant:
			v := p.requests[d.ID]
			v.waited = p.now() - v.arrived
			v.granted = true
			v.late = v.waited > v.workload.objective
			end := (p.now() + v.workload.duration).Truncate(tick)
			p.finishes[end] = append(p.finishes[end], d.ID)
		case Refuse:
			if v := p.requests[d.ID]; !v.retried {
				v.retried = true
				at := (p.now() + d.RetryAfter).Truncate(tick)
				p.retries[at] = append(p.retries[at], v)
			}
		}
	}
}

// replay sends the requests of the workloads and returns them with their results.
func replay(b *bench, workloads []workload, length time.Duration) []*replayedRequest {
	random := rand.New(rand.NewPCG(1, 2))
	p := &loadReplay{bench: b, beganAt: b.now, requests: map[wire.RequestID]*replayedRequest{}, finishes: map[time.Duration][]wire.RequestID{}, retries: map[time.Duration][]*replayedRequest{}}
	for at := time.Duration(0); at < length; at += tick {
		for _, id := range p.finishes[at] {
			p.record(p.finish(id))
		}
		for _, v := range p.retries[at] {
			p.send(v)
		}
		for _, s := range workloads {
			expected := s.rate(at) * tick.Seconds()
			for next := random.ExpFloat64(); next < expected; next += random.ExpFloat64() {
				v := &replayedRequest{result: result{class: s.class, arrived: at, late: true}, workload: s}
				p.all = append(p.all, v)
				p.send(v)
			}
		}
		p.record(p.advance(tick))
	}
	return p.all
}

// medianWait returns the median wait of the requests of a class that arrived in the interval.
func medianWait(requests []*replayedRequest, class object.TierName, from, to time.Duration) time.Duration {
	var waits []time.Duration
	for _, s := range requests {
		if s.class == class && s.arrived >= from && s.arrived < to {
			waits = append(waits, s.waited)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}

// TestBacklogOfLateRequestsClears replays a burst of long requests of the least urgent class.
// The backlog of late requests must not delay the requests after it: within two seconds after
// the burst, most requests start within their objective again.
func TestBacklogOfLateRequestsClears(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	requests := replay(b, []workload{
		{class: "first", perSecond: 60, duration: 400 * time.Millisecond, objective: 500 * time.Millisecond, wavePeriod: time.Second},
		{class: "third", perSecond: 33, duration: 1500 * time.Millisecond, objective: 300 * time.Millisecond, burstFactor: 2.3, burstFrom: 3 * time.Second, burstTo: 9 * time.Second},
	}, 20*time.Second)
	late, count := 0, 0
	for _, s := range requests {
		if s.class == "third" && s.arrived >= 11*time.Second && s.arrived < 16*time.Second {
			count++
			if s.late {
				late++
			}
		}
	}
	require.Less(t, late*2, count)
	require.LessOrEqual(t, medianWait(requests, "third", 11*time.Second, 16*time.Second), 300*time.Millisecond)
	require.LessOrEqual(t, medianWait(requests, "first", 3*time.Second, 9*time.Second), 100*time.Millisecond)
}

// TestLateRequestsLeaveSlotsForRequestsInTime registers late requests while requests of the same
// class run that were in time. More of the latter will arrive, and each is worth more, so slots
// must be kept for them.
func TestLateRequestsLeaveSlotsForRequestsInTime(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	send := func(objectiveMS int64) int {
		_, decisions := b.send("third", func(r *wire.Register) { r.DispatchWithinMS = objectiveMS; r.MaxWaitMS = 60_000 })
		return len(granted(decisions))
	}
	for range 40 {
		require.Equal(t, 1, send(300))
	}
	b.advance(2 * time.Second)
	b.advance(time.Second)                                // The demand of requests in time is measured and steady now.
	b.shard.SetShare(b.now, Share{Slots: 0.01, Quota: 1}) // Block further grants for now.
	for range 100 {
		require.Zero(t, send(1))
	}
	b.advance(10 * time.Millisecond)
	late := len(granted(b.shard.SetShare(b.now, Share{Slots: 1, Quota: 1})))
	require.LessOrEqual(t, late, 54, "100 slots minus 1.15 times 40")
	require.GreaterOrEqual(t, late, 48, "no slots beyond the reserve stay idle")
	inTime := 0
	for range 10 {
		inTime += send(300)
	}
	require.GreaterOrEqual(t, inTime, 6, "the reserved slots are used by requests in time")
}

// TestShortRequestsMayUseAllSlots checks that the slots reserved for the most urgent class are
// given to requests with a short slot hold time, but not to those with a long one.
func TestShortRequestsMayUseAllSlots(t *testing.T) {
	rows := []struct {
		name         string
		slotHoldTime time.Duration
		want         int
	}{
		{"short", 300 * time.Millisecond, 70},
		{"long", 2 * time.Second, 61},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, 10, 10)
			id, _ := b.send("second", nil)
			b.advance(row.slotHoldTime)
			b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true})
			for range 30 {
				b.send("first", func(r *wire.Register) { r.DispatchWithinMS = 350 })
			}
			b.advance(2 * time.Second) // The demand of the first class is measured now.
			started := 0
			for range 100 {
				_, decisions := b.send("second", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
				started += len(granted(decisions))
			}
			require.Equal(t, row.want, started)
		})
	}
}

// TestLongRequestsLeaveSlotsForUrgentOnes replays a burst of the least urgent class, whose
// requests hold slots for a long time, followed by a burst of the most urgent class.
func TestLongRequestsLeaveSlotsForUrgentOnes(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	urgent := map[wire.RequestID]bool{}
	for range 30 {
		id, _ := b.send("first", nil)
		urgent[id] = true
	}
	b.advance(2 * time.Second) // The demand of the urgent class is measured now.
	long := 0
	for range 200 {
		_, decisions := b.send("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
		long += len(granted(decisions))
	}
	require.Equal(t, 61, long, "100 slots minus a demand of 30 and three deviations of 3")
	for id := range urgent {
		b.finish(id)
	}
	started := 0
	for range 30 {
		_, decisions := b.send("first", nil)
		started += len(granted(decisions))
	}
	require.Equal(t, 30, started, "a burst of the urgent class starts immediately")
}

func TestLeastUrgentClassKeepsAMinimumOfSlots(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	for range 100 {
		b.send("first", nil)
	}
	b.advance(3 * time.Second)
	waiting, _ := b.send("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	require.Equal(t, []wire.RequestID{waiting}, granted(b.finish("1")))
}

func TestLateRequestWaitsBehindThoseInTime(t *testing.T) {
	b := newDiscoveredBench(t, 1, 1)
	running, _ := b.send("first", nil)
	late, _ := b.send("first", func(r *wire.Register) { r.DispatchWithinMS = 100; r.MaxWaitMS = 5000 })
	b.advance(200 * time.Millisecond)
	inTime, _ := b.send("first", func(r *wire.Register) { r.DispatchWithinMS = 100; r.MaxWaitMS = 5000 })
	require.Equal(t, []wire.RequestID{inTime}, granted(b.finish(running)))
	require.Equal(t, []wire.RequestID{late}, granted(b.finish(inTime)))
}

// TestLessUrgentClassDoesNotUseUpTheMinimumOfAnother lets the least urgent class use all slots
// that the most urgent class leaves, before requests of the class in between arrive.
func TestLessUrgentClassDoesNotUseUpTheMinimumOfAnother(t *testing.T) {
	b := newDiscoveredBench(t, 10, 10)
	var urgent []wire.RequestID
	for range 80 {
		id, _ := b.send("first", nil)
		urgent = append(urgent, id)
	}
	for range 20 {
		b.send("third", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	}
	b.advance(2 * time.Second) // The demand of the first class is measured now.
	for range 20 {
		b.send("second", func(r *wire.Register) { r.MaxWaitMS = 60_000 })
	}
	started := 0
	for _, id := range urgent[:20] {
		started += len(granted(b.finish(id)))
	}
	require.GreaterOrEqual(t, started, 15, "15% of 100 slots")
}

// TestReserveForSteadyLoadMatchesItsNeed replays a steady urgent load beside an overload of the
// least urgent class. The number of independent arrivals has a standard deviation of its square
// root, so three times that is a sufficient reserve for any size of the pool.
func TestReserveForSteadyLoadMatchesItsNeed(t *testing.T) {
	const (
		slotHoldTime = 500 * time.Millisecond
		from         = 4 * time.Second
		until        = 8 * time.Second
	)
	rows := []struct {
		name    string
		targets int
		urgent  float64 // Mean number of running requests.
	}{
		{"a hundred slots", 25, 30},
		{"a thousand slots", 256, 500},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newDiscoveredBench(t, row.targets, 4)
			slots := float64(4 * row.targets)
			requests := replay(b, []workload{
				{class: "first", perSecond: row.urgent / slotHoldTime.Seconds(), duration: slotHoldTime, objective: slotHoldTime},
				{class: "third", perSecond: slots, duration: 1500 * time.Millisecond, objective: 300 * time.Millisecond},
			}, until)
			inTime, urgent, least := 0.0, 0.0, 0.0
			for _, s := range requests {
				begin := s.arrived + s.waited
				switch {
				case s.class == "first" && s.arrived >= from:
					urgent++
					if !s.late {
						inTime++
					}
				case s.class == "third" && s.granted && begin < until:
					least += max(min(begin+s.workload.duration, until)-max(begin, from), 0).Seconds()
				}
			}
			require.GreaterOrEqual(t, inTime/urgent, 0.99, "urgent requests start in time")
			reserved := row.urgent + 3*math.Sqrt(row.urgent)
			require.GreaterOrEqual(t, least/(until-from).Seconds(), slots-reserved, "slots used by the least urgent class")
		})
	}
}
