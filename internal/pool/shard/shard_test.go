package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const testPool object.PoolName = "layout"

// setup configures the pool of a test.
type setup struct {
	targets    int
	slots      int
	queueLimit int
	drained    map[int]bool
}

func (p setup) snapshot(t require.TestingT) *object.Snapshot {
	accounts := []object.AccountName{"big", "small-1", "small-2"}
	tiers := []object.TierName{"urgent", "normal", "night"}
	objects := []object.Object{&object.Pool{Name: testPool, Type: object.EnginePool, QueueLimit: p.queueLimit}}
	for i, name := range tiers {
		objects = append(objects, &object.Tier{Name: name, Priority: 3 - i, QueueTimeout: object.Duration(10 * time.Second)})
	}
	for i, name := range accounts {
		objects = append(objects, &object.Account{Name: name, Tiers: tiers, KeyHashes: []string{object.HashKey(fmt.Sprint(i))}})
	}
	for i := range p.targets {
		objects = append(objects, &object.Target{
			Name: targetName(i), Pool: testPool, Zone: "a", Address: "http://h:1", Generation: "g1", Slots: p.slots, Drain: p.drained[i],
		})
	}
	snapshot, err := object.Compile(1, "", objects)
	require.NoError(t, err)
	return snapshot
}

func targetName(i int) object.TargetName { return object.TargetName(fmt.Sprintf("engine-%d", i+1)) }

// bench is a test bench: a shard with its own clock.
type bench struct {
	t     *testing.T
	shard *Shard
	now   time.Time
	next  int
}

func newBench(t *testing.T, p setup) *bench {
	b := &bench{t: t, shard: New(testPool, NewQuotas()), now: time.Unix(1000, 0)}
	b.shard.Configure(b.now, p.snapshot(t), nil)
	return b
}

func (b *bench) register(tier object.TierName, account object.AccountName, tokens int) (wire.RequestID, []Decision) {
	b.next++
	id := wire.RequestID(fmt.Sprint(b.next))
	r := wire.Register{ID: id, Pool: testPool, Account: account, Tier: tier, PromptTokens: tokens, Phase: wire.Waiting}
	return id, b.shard.Register(b.now, r)
}

func (b *bench) finish(id wire.RequestID) []Decision {
	tokens := b.shard.requests[id].PromptTokens
	return b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true, PromptTokens: tokens})
}

func (b *bench) advance(d time.Duration) []Decision {
	b.now = b.now.Add(d)
	return b.shard.Tick(b.now)
}

func TestHigherTierIsGrantedFirst(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	first, decisions := b.register("night", "big", 10)
	require.Equal(t, []Decision{Grant{first, "engine-1", "night", 0, false, 0, false, nil}}, decisions)
	night, _ := b.register("night", "big", 10)
	urgent, _ := b.register("urgent", "big", 10)
	require.Equal(t, []Decision{Grant{urgent, "engine-1", "urgent", 0, false, 0, false, nil}}, b.finish(first))
	require.Equal(t, []Decision{Grant{night, "engine-1", "night", 0, false, 0, false, nil}}, b.finish(urgent))
}

func TestWaitingHigherTierCancelsTheLatestLowerOne(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 2})
	b.register("night", "big", 10)
	b.advance(time.Millisecond)
	later, _ := b.register("night", "big", 10)
	urgent, decisions := b.register("urgent", "big", 10)
	require.Empty(t, decisions)
	require.Equal(t, []Decision{Cancel{later, "night"}}, b.advance(250*time.Millisecond))
	require.Empty(t, b.advance(time.Second), "one cancellation for one waiting request")
	require.Equal(t, []Decision{Grant{urgent, "engine-1", "urgent", 1250 * time.Millisecond, false, 0, false, nil}}, b.finish(later))
}

func TestHigherTierIsNotRefusedWhileLowerRuns(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	running, _ := b.register("night", "big", 10)
	urgent, _ := b.register("urgent", "big", 10)
	b.advance(time.Second)
	require.Empty(t, b.advance(time.Minute), "the request keeps waiting after its queue timeout")
	decisions := b.finish(running)
	require.Len(t, decisions, 1)
	require.Equal(t, urgent, decisions[0].(Grant).ID)
}

func TestQueueTimeoutIsRefusedWithRetryHint(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	b.register("urgent", "big", 10)
	waiting, _ := b.register("urgent", "small-1", 10)
	require.Empty(t, b.advance(9*time.Second))
	decisions := b.advance(2 * time.Second)
	require.Len(t, decisions, 1)
	refused := decisions[0].(Refuse)
	require.Equal(t, waiting, refused.ID)
	require.Equal(t, outcome.QueueTimeout, refused.Reason)
	require.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
}

func TestFullQueueShedsTheLowestTierAndTheLongestAccount(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1, queueLimit: 3})
	b.register("urgent", "big", 10)
	night, _ := b.register("night", "small-1", 10)
	b.register("urgent", "big", 10)
	last, _ := b.register("urgent", "big", 10)
	_, decisions := b.register("urgent", "small-1", 10)
	require.Len(t, decisions, 1)
	require.Equal(t, night, decisions[0].(Refuse).ID, "the lowest tier is shed first")
	_, decisions = b.register("urgent", "small-2", 10)
	require.Len(t, decisions, 1)
	require.Equal(t, last, decisions[0].(Refuse).ID, "then the newest request of the account with the most waiting tokens")
	require.Equal(t, outcome.QueueFull, decisions[0].(Refuse).Reason)
}

func TestAnswerThatWouldMissItsDeadlineIsRefusedBeforePrefill(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	for range 40 {
		id, _ := b.register("urgent", "big", 10)
		b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true, PromptTokens: 10, FirstTokenMS: 400})
	}
	r := wire.Register{ID: "late", Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, DeadlineMS: 300}
	refused := b.shard.Register(b.now, r)[0].(Refuse)
	require.Equal(t, outcome.DeadlineUnreachable, refused.Reason)
	r = wire.Register{ID: "in-time", Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, DeadlineMS: 2000}
	require.Equal(t, wire.RequestID("in-time"), b.shard.Register(b.now, r)[0].(Grant).ID)
}

func TestSmallAccountIsNotBlockedByALargeOne(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	running, _ := b.register("urgent", "big", 1000)
	for range 50 {
		b.register("urgent", "big", 1000)
	}
	small, _ := b.register("urgent", "small-1", 10)
	decisions := b.finish(running)
	require.Equal(t, small, decisions[0].(Grant).ID)
}

func TestLargeRequestsAreChargedByTheirSize(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	running, _ := b.register("urgent", "small-2", 1)
	for range 200 {
		b.register("urgent", "big", 1000)
		b.register("urgent", "small-1", 10)
	}
	granted := map[object.AccountName]int{}
	for range 101 {
		decisions := b.finish(running)
		g := decisions[0].(Grant)
		granted[b.shard.requests[g.ID].Account]++
		running = g.ID
	}
	require.InDelta(t, 100, granted["small-1"], 2)
}

func TestUnreachableTargetBacksOffAndIsProbed(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 4})
	id, _ := b.register("urgent", "big", 10)
	b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Unreachable: true})
	retried, decisions := b.register("urgent", "big", 10)
	require.Empty(t, decisions)
	second, _ := b.register("urgent", "big", 10)
	decisions = b.advance(minBackoff)
	require.Equal(t, []Decision{Grant{retried, "engine-1", "urgent", minBackoff, false, 0, false, nil}}, decisions, "a probed target gets one request at a time")
	require.Equal(t, second, b.finish(retried)[0].(Grant).ID)
}

func TestRequestThatExpiresBeforeTheBackoffEndsIsRefused(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 4})
	id, _ := b.register("urgent", "big", 10)
	b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Unreachable: true})
	r := wire.Register{ID: "short", Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, DeadlineMS: 500}
	decisions := b.shard.Register(b.now, r)
	require.Len(t, decisions, 1)
	require.Equal(t, outcome.NoTarget, decisions[0].(Refuse).Reason)
	r = wire.Register{ID: "long", Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, DeadlineMS: 5000}
	require.Empty(t, b.shard.Register(b.now, r))
}

func TestDrainedAndLeavingTargetsGetNoNewWork(t *testing.T) {
	p := setup{targets: 2, slots: 1}
	b := newBench(t, p)
	p.drained = map[int]bool{0: true}
	b.shard.Configure(b.now, p.snapshot(t), nil)
	_, decisions := b.register("urgent", "big", 10)
	require.Equal(t, object.TargetName("engine-2"), decisions[0].(Grant).Target)
	b.register("urgent", "big", 10)
	decisions = b.shard.Configure(b.now, p.snapshot(t), map[object.TargetName]bool{"engine-2": true})
	require.Equal(t, outcome.NoTarget, decisions[0].(Refuse).Reason, "no target is open")
	require.Equal(t, 1, b.shard.Running(), "running requests continue")
}

func TestNewArbiterCountsRunningWorkBeforeItGrants(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	waiting := wire.Register{ID: "w", Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, Moved: true}
	require.Empty(t, b.shard.Register(b.now, waiting), "no grants before the fronts have registered again")
	running := wire.Register{ID: "r", Pool: testPool, Account: "big", Tier: "night", Phase: wire.Running, Target: "engine-1", Moved: true}
	require.Empty(t, b.shard.Register(b.now, running))
	for _, d := range b.advance(WarmUp) {
		_, granted := d.(Grant)
		require.False(t, granted, "the slot is taken")
	}
	require.Equal(t, wire.RequestID("w"), b.finish("r")[0].(Grant).ID)
}

func TestArbiterThatRegainsItsPoolWarmsUpAgain(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	for _, id := range []wire.RequestID{"first", "second"} {
		r := wire.Register{ID: id, Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, Moved: true}
		require.Empty(t, b.shard.Register(b.now, r), "no grants before the other fronts have registered")
		require.Equal(t, id, b.advance(WarmUp)[0].(Grant).ID)
		b.finish(id)
		b.advance(time.Minute)
	}
}

func TestNewArbiterKeepsTheOrderOfArrival(t *testing.T) {
	b := newBench(t, setup{targets: 1, slots: 1})
	for _, waited := range []int64{100, 300, 200} {
		r := wire.Register{
			ID: wire.RequestID(fmt.Sprint(waited)), Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting,
			WaitedMS: waited, Moved: true,
		}
		require.Empty(t, b.shard.Register(b.now, r))
	}
	granted := b.advance(WarmUp)[0].(Grant).ID
	require.Equal(t, wire.RequestID("300"), granted)
	granted = b.finish(granted)[0].(Grant).ID
	require.Equal(t, wire.RequestID("200"), granted)
}

func TestStragglerGetsLessWork(t *testing.T) {
	rows := []struct {
		name     string
		slowness int64 // Of engine-3 relative to the others.
		slots    int
	}{
		{"as fast as the others", 1, 8},
		{"three times slower", 3, 2},
		{"five times slower", 5, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, setup{targets: 3, slots: 8})
			for range 3 * 3 * minSamples {
				b.now = b.now.Add(compareInterval)
				for range 3 { // One request per target.
					b.register("urgent", "big", 10)
				}
				for id, q := range b.shard.requests {
					decode := int64(10_000)
					if q.target.name == "engine-3" {
						decode *= row.slowness
					}
					b.shard.Finish(b.now, wire.Finish{ID: id, Pool: testPool, Dispatched: true, Completed: true, OutputTokens: 10, DecodeUS: decode})
				}
			}
			require.Equal(t, row.slots, b.shard.targets["engine-3"].slots())
			require.Equal(t, 8, b.shard.targets["engine-1"].slots())
			require.Equal(t, 8, b.shard.targets["engine-2"].slots())
		})
	}
}

func TestPrefixHolderIsPreferredUnlessOverloaded(t *testing.T) {
	b := newBench(t, setup{targets: 3, slots: 2})
	send := func(prefix wire.PrefixHash) Grant {
		b.next++
		r := wire.Register{ID: wire.RequestID(fmt.Sprint(b.next)), Pool: testPool, Account: "big", Tier: "urgent", Phase: wire.Waiting, Prefixes: []wire.PrefixHash{prefix}}
		return b.shard.Register(b.now, r)[0].(Grant)
	}
	first := send(7)
	require.Equal(t, first.Target, send(7).Target, "the target with the prefix has a free slot")
	require.NotEqual(t, first.Target, send(7).Target, "the target with the prefix is full")
}
