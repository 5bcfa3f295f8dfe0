package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// TestFloodOfRefusalsLeavesTheStateOfThePoolInTheLog refuses 1,000 requests at once. The log lines
// about them are limited, so that the summary that counts them is not dropped.
func TestFloodOfRefusalsLeavesTheStateOfThePoolInTheLog(t *testing.T) {
	logger, lines := logtest.NewNullLogger()
	s := &Server{log: logrus.NewEntry(logger)}
	w := newWorker("pool", shard.NewQuotas(), 0, func(time.Time, wire.PrefixNotice) {}, func(object.PoolName, quarantine.Crash) {})
	session := &Session{server: s, box: wire.NewOutbox[wire.Down]()}
	now := time.Unix(1000, 0)
	for i := range 1000 {
		id := wire.RequestID(fmt.Sprint(i))
		w.sessions[id] = registration{session: session}
		w.applyDecisions(now, w.shard.Register(now, wire.Register{ID: id, Class: "layout", Phase: wire.Waiting}))
	}
	w.logSummary(now, s, "pool")
	require.Equal(t, refusalLinesPerSecond+1, len(lines.AllEntries()))
	require.Equal(t, map[outcome.Reason]int{outcome.NoTarget: 1000}, lines.LastEntry().Data["refused"].(refusalCounts)["layout"])
}

// TestCachedPromptsAreInTheStateOfThePool guards against a log line and counters without what was decided
// because of held prompts.
func TestCachedPromptsAreInTheStateOfThePool(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := &Server{common: &common.Common{Metrics: scope}}
	counts := &shard.Counts{CachedTokens: 2000, BusierForCache: 1}
	s.countCached(counts)
	s.countCached(&shard.Counts{})
	counters := scope.Snapshot().Counters()
	require.EqualValues(t, 2000, counters["cached_prompt_tokens+"].Value())
	require.EqualValues(t, 1, counters["grants_busier_for_cache+"].Value())
	fields := countFields(map[object.TierName]*shard.Counts{"layout": counts})
	require.Equal(t, map[object.TierName]int{"layout": 2000}, fields["cached-prompt-tokens"])
	require.Equal(t, map[object.TierName]int{"layout": 1}, fields["busier-for-cache"])
}
