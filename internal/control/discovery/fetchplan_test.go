package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/platform/store"
)

// planStep is one event of a replay and the order that follows.
type planStep struct {
	name  string
	at    time.Duration
	event func(p *fetchPlan, now time.Time)
	want  fetchOrder
}

func configValue(revision int64, source string) Value {
	return Value{Key: "config", Revision: revision, Source: source}
}

func TestFetchPlanReplay(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) waitUntil { return waitUntil{start.Add(d)} }
	wantValue := func(revision int64, source string) func(*fetchPlan, time.Time) {
		return func(p *fetchPlan, now time.Time) { p.want(now, configValue(revision, source), 0) }
	}
	source := func(url string) func(*fetchPlan, time.Time) {
		return func(p *fetchPlan, now time.Time) { p.addSource(now, "config", url) }
	}
	failed := func(url string, delay time.Duration) func(*fetchPlan, time.Time) {
		return func(p *fetchPlan, now time.Time) { p.failed(now, "config", url, delay) }
	}
	received := func(revision int64) func(*fetchPlan, time.Time) {
		return func(p *fetchPlan, now time.Time) { p.received(now, "config", store.NewPosition(0, revision)) }
	}
	storeFailed := func(p *fetchPlan, now time.Time) { p.storeFailed(now, "config") }
	none := func(*fetchPlan, time.Time) {}
	tests := []struct {
		name  string
		steps []planStep
	}{
		{"nothing is wanted", []planStep{
			{"start", 0, none, waitUntil{}},
			{"a source of nothing", 0, source("a"), waitUntil{}},
		}},
		{"the source of the description has it", []planStep{
			{"described", 0, wantValue(5, "a"), readFromPeer{configValue(5, "a"), "a"}},
			{"received", 50 * time.Millisecond, received(5), waitUntil{}},
		}},
		{"a busy source, then another", []planStep{
			{"described", 0, wantValue(5, "a"), readFromPeer{configValue(5, "a"), "a"}},
			{"busy", 10 * time.Millisecond, failed("a", busyDelay), at(110 * time.Millisecond)},
			{"another has it", 20 * time.Millisecond, source("b"), readFromPeer{configValue(5, "a"), "b"}},
			{"that fails", 30 * time.Millisecond, failed("b", failedDelay), at(110 * time.Millisecond)},
			{"the first is asked again", 110 * time.Millisecond, none, readFromPeer{configValue(5, "a"), "a"}},
		}},
		{"no peer sends it", []planStep{
			{"described", 0, wantValue(5, "a"), readFromPeer{configValue(5, "a"), "a"}},
			{"fails", 500 * time.Millisecond, failed("a", failedDelay), at(time.Second)},
			{"the store is read", time.Second, none, readFromStore{"config"}},
			{"the store fails", 1500 * time.Millisecond, storeFailed, readFromPeer{configValue(5, "a"), "a"}},
			{"the peer fails", 2 * time.Second, failed("a", failedDelay), at(2500 * time.Millisecond)},
			{"the store is read again", 2500 * time.Millisecond, none, readFromStore{"config"}},
			{"received", 2600 * time.Millisecond, received(7), waitUntil{}},
		}},
		{"later values while one is read do not delay the store", []planStep{
			{"described", 0, wantValue(5, "a"), readFromPeer{configValue(5, "a"), "a"}},
			{"later", 400 * time.Millisecond, wantValue(6, "b"), readFromPeer{configValue(6, "b"), "b"}},
			{"an older description", 500 * time.Millisecond, wantValue(4, "b"), readFromPeer{configValue(6, "b"), "b"}},
			{"later", 900 * time.Millisecond, wantValue(7, "b"), readFromPeer{configValue(7, "b"), "b"}},
			{"the store is read", time.Second, none, readFromStore{"config"}},
		}},
		{"values that arrive put the store off", []planStep{
			{"described", 0, wantValue(5, "a"), readFromPeer{configValue(5, "a"), "a"}},
			{"later", 800 * time.Millisecond, wantValue(6, "b"), readFromPeer{configValue(6, "b"), "b"}},
			{"the earlier one arrives", 900 * time.Millisecond, received(5), readFromPeer{configValue(6, "b"), "b"}},
			{"the peer fails", 950 * time.Millisecond, failed("b", time.Minute), at(1900 * time.Millisecond)},
		}},
		{"a source that did not have it has it now", []planStep{
			{"described by a host that lacks it", 0, wantValue(5, ""), at(time.Second)},
			{"a source", 10 * time.Millisecond, source("a"), readFromPeer{configValue(5, ""), "a"}},
			{"it does not have it", 20 * time.Millisecond, failed("a", failedDelay), at(520 * time.Millisecond)},
			{"it tells of a later configuration", 100 * time.Millisecond, source("a"), readFromPeer{configValue(5, ""), "a"}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newFetchPlan()
			for _, step := range test.steps {
				now := start.Add(step.at)
				step.event(p, now)
				require.Equal(t, step.want, p.next(now, func(int) int { return 0 }), step.name)
			}
		})
	}
}

// TestFetchPlanIsCompleteBeforeTheFirstWantedValue checks what a host may tell earlier builds, which take a position for all that came before it.
func TestFetchPlanIsCompleteBeforeTheFirstWantedValue(t *testing.T) {
	p := newFetchPlan()
	require.Equal(t, store.NewPosition(0, 9), p.completeUntil(store.NewPosition(0, 9)))
	p.want(time.Now(), configValue(5, "a"), 0)
	p.want(time.Now(), Value{Key: "other", Revision: 7, Source: "a"}, 0)
	require.Equal(t, store.NewPosition(0, 4), p.completeUntil(store.NewPosition(0, 9)))
	require.Len(t, p.descriptions(), 2)
}

func TestFetchPlanRemembersFewSources(t *testing.T) {
	p := newFetchPlan()
	p.want(time.Now(), configValue(5, "a"), 0)
	for i := range 100 {
		p.addSource(time.Now(), "config", string(rune('a'+i)))
	}
	require.Len(t, p.wanted["config"].sources, maxSources)
}
