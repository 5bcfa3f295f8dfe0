package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cacheFigures are the results of a replay.
type cacheFigures struct {
	mean, worst20 time.Duration // Mean, and the time that one in twenty exceeds.
	onTime        float64
	hotShare      float64 // The largest fraction of the hot requests that one target got.
}

func (f cacheFigures) String() string {
	return fmt.Sprintf("first token %v, 95%% %v, on time %.4f, hot share %.3f", f.mean, f.worst20, f.onTime, f.hotShare)
}

func replayCache(t *testing.T, load cacheLoad, perSecond float64, rule cacheRule) cacheFigures {
	var all []time.Duration
	late, sent := 0, 0
	f := cacheFigures{}
	for seed := range uint64(3) {
		r := newCacheReplay(t, load, seed, rule)
		r.replay(perSecond, 10*time.Second)
		all = append(all, r.firstTokens...)
		late += r.late
		sent += r.sent
		hot, most := 0, 0
		for _, n := range r.hotAt {
			hot, most = hot+n, max(most, n)
		}
		f.hotShare = max(f.hotShare, float64(most)/float64(max(hot, 1)))
	}
	slices.Sort(all)
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}
	f.mean = (sum / time.Duration(len(all))).Round(10 * time.Microsecond)
	f.worst20 = all[len(all)*95/100].Round(10 * time.Microsecond)
	f.onTime = float64(len(all)-late) / float64(sent)
	return f
}

// TestCachedPromptsStartSooner guards against placements by held prompts that make answers begin later than
// the fraction of matched parts does.
func TestCachedPromptsStartSooner(t *testing.T) {
	fleet := cacheFleet{40, 26 * time.Microsecond, 4430 * time.Microsecond}
	loads := []cacheLoad{
		{"sessions", fleet, cacheMemoryTokens, 0, sessionPrompt},
		{"60 of 3,000 tokens are shared", fleet, cacheMemoryTokens, 0, shortSharedPrompt},
		{"half of all requests share 2,000 tokens", fleet, cacheMemoryTokens, 0, hotPrompt},
		{"sessions while targets restart", fleet, cacheMemoryTokens, 250 * time.Millisecond, sessionPrompt},
		{"sessions and too little memory", fleet, 40_000, 0, sessionPrompt},
	}
	for _, load := range loads {
		for _, perSecond := range []float64{200, 350} {
			t.Run(fmt.Sprint(load.name, ", ", perSecond, " a second"), func(t *testing.T) {
				after := compareHeldRules(t, load, perSecond)
				require.LessOrEqual(t, after.hotShare, 0.1)
			})
		}
	}
}

// maxHeldTime is the largest mean time to the first token, as a fraction of that with the present rule.
const maxHeldTime = 0.97

// compareHeldRules replays a load with each rule and returns the results of the one that weighs tokens.
func compareHeldRules(t *testing.T, load cacheLoad, perSecond float64) cacheFigures {
	before, after := replayCache(t, load, perSecond, matchParts), replayCache(t, load, perSecond, weighTokens)
	if testing.Verbose() {
		t.Logf("no prefixes:  %v", replayCache(t, load, perSecond, ignoreParts))
	}
	t.Logf("present rule: %v", before)
	t.Logf("held tokens:  %v", after)
	require.Less(t, float64(after.mean), maxHeldTime*float64(before.mean))
	require.GreaterOrEqual(t, after.onTime, before.onTime-0.001)
	return after
}

// TestShortSharedPrefixOnTheDeployments guards against short prefixes, which save 1 to 2 ms, that change
// the balance of load.
func TestShortSharedPrefixOnTheDeployments(t *testing.T) {
	for _, test := range []struct {
		load      cacheLoad
		perSecond float64
	}{
		{cacheLoad{"A", cacheFleet{90, 10860 * time.Nanosecond, 3030 * time.Microsecond}, 311_197, 0, deploymentPrompt([3]int{297, 612, 77}, [3]int{54, 27, 279})}, 986},
		{cacheLoad{"B", cacheFleet{140, 26250 * time.Nanosecond, 4430 * time.Microsecond}, 217_594, 0, deploymentPrompt([3]int{308, 219, 183}, [3]int{54, 24, 282})}, 710},
	} {
		t.Run(test.load.name, func(t *testing.T) { compareHeldRules(t, test.load, test.perSecond) })
	}
}
