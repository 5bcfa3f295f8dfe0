package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// modelRequest is the model's state of a request.
type modelRequest struct {
	priority int
	running  bool
	canceled bool
}

// stateMachine drives a shard with generated events and checks every decision against a model of
// the waiting and running requests.
type stateMachine struct {
	setup    setup
	shard    *Shard
	now      time.Time
	requests map[wire.RequestID]*modelRequest
	ids      []wire.RequestID
	next     int
}

var priorities = map[object.TierName]int{"urgent": 3, "normal": 2, "night": 1}

func (m *stateMachine) check(t *rapid.T, decisions []Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Grant:
			q := m.requests[d.ID]
			require.NotNil(t, q, "grant of an unknown request")
			require.False(t, q.running, "second grant of %s", d.ID)
			q.running = true
			target := m.shard.targets[d.Target]
			require.False(t, target.closed, "grant of a closed target")
			require.LessOrEqual(t, target.inFlight, max(int(target.limit), 1), "more in flight than slots")
		case Refuse:
			q := m.requests[d.ID]
			require.NotNil(t, q, "refusal of an unknown request")
			require.False(t, q.running, "refusal of a running request")
			require.Positive(t, d.RetryAfter)
			if d.Reason != outcome.NoTarget {
				require.Empty(t, m.runningBelow(q.priority), "refused while lower-tier requests are running")
			}
			m.remove(d.ID)
		case Cancel:
			q := m.requests[d.ID]
			require.NotNil(t, q, "cancellation of an unknown request")
			require.True(t, q.running && !q.canceled, "cancellation of a request that is not running")
			require.True(t, m.waitingAbove(q.priority), "cancellation without a waiting request of higher priority")
			q.canceled = true
		}
	}
	waiting, running := m.count()
	require.Equal(t, waiting, m.shard.Waiting())
	require.Equal(t, running, m.shard.Running())
}

func (m *stateMachine) runningBelow(priority int) []wire.RequestID {
	var below []wire.RequestID
	for id, q := range m.requests {
		if q.running && q.priority < priority {
			below = append(below, id)
		}
	}
	return below
}

func (m *stateMachine) waitingAbove(priority int) bool {
	for _, q := range m.requests {
		if !q.running && q.priority > priority {
			return true
		}
	}
	return false
}

func (m *stateMachine) count() (waiting, running int) {
	for _, q := range m.requests {
		if q.running {
			running++
		} else {
			waiting++
		}
	}
	return waiting, running
}

func (m *stateMachine) remove(id wire.RequestID) {
	delete(m.requests, id)
	for i, other := range m.ids {
		if other == id {
			m.ids = append(m.ids[:i], m.ids[i+1:]...)
			return
		}
	}
}

// pick draws a request that fits, or skips the action.
func (m *stateMachine) pick(t *rapid.T, fits func(*modelRequest) bool) wire.RequestID {
	var candidates []wire.RequestID
	for _, id := range m.ids {
		if fits(m.requests[id]) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such request")
	}
	return rapid.SampledFrom(candidates).Draw(t, "request")
}

func (m *stateMachine) register(t *rapid.T) {
	m.next++
	id := wire.RequestID(fmt.Sprint(m.next))
	tier := rapid.SampledFrom([]object.TierName{"urgent", "normal", "night"}).Draw(t, "tier")
	r := wire.Register{
		ID: id, Pool: testPool, Tier: tier, Phase: wire.Waiting,
		Account:      rapid.SampledFrom([]object.AccountName{"big", "small-1", "small-2"}).Draw(t, "account"),
		PromptTokens: rapid.SampledFrom([]int{10, 1000}).Draw(t, "tokens"),
		DeadlineMS:   rapid.SampledFrom([]int64{0, 50, 2000}).Draw(t, "deadline"),
	}
	m.requests[id] = &modelRequest{priority: priorities[tier]}
	m.ids = append(m.ids, id)
	m.check(t, m.shard.Register(m.now, r))
}

func (m *stateMachine) finish(t *rapid.T) {
	id := m.pick(t, func(q *modelRequest) bool { return q.running })
	f := wire.Finish{ID: id, Pool: testPool, Dispatched: true, PromptTokens: 10, OutputTokens: 10}
	f.Completed = rapid.Bool().Draw(t, "completed")
	f.DecodeUS = rapid.SampledFrom([]int64{0, 5_000, 100_000}).Draw(t, "decode")
	m.remove(id)
	m.check(t, m.shard.Finish(m.now, f))
}

// returnGrant finishes a request as unreachable and registers it again, like a front that could
// not connect to the target.
func (m *stateMachine) returnGrant(t *rapid.T) {
	id := m.pick(t, func(q *modelRequest) bool { return q.running })
	r := m.shard.requests[id].Register
	priority := m.requests[id].priority
	m.remove(id)
	m.check(t, m.shard.Finish(m.now, wire.Finish{ID: id, Pool: testPool, Unreachable: true}))
	m.requests[id] = &modelRequest{priority: priority}
	m.ids = append(m.ids, id)
	r.Phase = wire.Waiting
	m.check(t, m.shard.Register(m.now, r))
}

func (m *stateMachine) withdraw(t *rapid.T) {
	id := m.pick(t, func(*modelRequest) bool { return true })
	m.remove(id)
	m.check(t, m.shard.Withdraw(m.now, id))
}

func (m *stateMachine) advance(t *rapid.T) {
	elapsed := rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second, 12 * time.Second}).Draw(t, "span")
	m.now = m.now.Add(elapsed)
	m.check(t, m.shard.Tick(m.now))
}

func (m *stateMachine) drain(t *rapid.T) {
	i := rapid.IntRange(0, m.setup.targets-1).Draw(t, "target")
	m.setup.drained[i] = !m.setup.drained[i]
	m.check(t, m.shard.Configure(m.now, m.setup.snapshot(t), nil))
}

func TestGeneratedEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{
			setup:    setup{targets: rapid.IntRange(1, 3).Draw(t, "targets"), slots: rapid.IntRange(1, 2).Draw(t, "slots"), queueLimit: rapid.IntRange(2, 6).Draw(t, "queue"), drained: map[int]bool{}},
			shard:    New(testPool, NewQuotas()),
			now:      time.Unix(1000, 0),
			requests: map[wire.RequestID]*modelRequest{},
		}
		m.shard.Configure(m.now, m.setup.snapshot(t), nil)
		t.Repeat(map[string]func(*rapid.T){
			"register":  m.register,
			"register2": m.register,
			"finish":    m.finish,
			"return":    m.returnGrant,
			"withdraw":  m.withdraw,
			"advance":   m.advance,
			"drain":     m.drain,
		})
		// After all running requests have ended, no request may be left waiting.
		for range 200 {
			for _, id := range append([]wire.RequestID{}, m.ids...) {
				if q := m.requests[id]; q != nil && q.running {
					m.remove(id)
					m.check(t, m.shard.Finish(m.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true}))
				}
			}
			m.now = m.now.Add(time.Second)
			m.check(t, m.shard.Tick(m.now))
		}
		require.Zero(t, m.shard.Waiting()+m.shard.Running(), "requests without an answer")
	})
}
