package decisions

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnswerValueDependsOnItsTiming(t *testing.T) {
	pl := peakLoads[0]
	k := pl.kinds[0] // Objective 0.5 s; the caller waits 2 s for the first token and 6 s for the end.
	for _, test := range []struct {
		name                              string
		lastAttempt, firstToken, finished time.Duration
		want                              float64
	}{
		{"in time", 0, 400 * time.Millisecond, time.Second, 6},
		{"past the objective", 0, 600 * time.Millisecond, time.Second, 2.9},
		{"past the objective after a retry", 2 * time.Second, 3 * time.Second, 4 * time.Second, 2.9},
		{"after the caller stopped waiting", 0, 3 * time.Second, 4 * time.Second, 0},
		{"ends after the deadline", 0, 400 * time.Millisecond, 7 * time.Second, 0},
		{"not answered", 0, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := &job{kind: k, lastAttempt: test.lastAttempt, firstToken: test.firstToken, finished: test.finished, callerDeadline: k.deadline}
			require.InDelta(t, test.want, pl.earnedValue(j), 0)
		})
	}
}

func TestDrawnSizesHaveTheGivenMean(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0
	for range 100_000 {
		sum += drawSize(random, 1000, 0.5, 1<<20)
	}
	require.InDelta(t, 1000, float64(sum)/100_000, 20)
	require.Equal(t, 10, drawSize(random, 1000, 0, 10))
}

// TestKindsEarnTheirValueAtPeakLoad simulates each peak load with one seed.
func TestKindsEarnTheirValueAtPeakLoad(t *testing.T) {
	for _, pl := range peakLoads {
		t.Run(pl.name, func(t *testing.T) {
			shares, err := pl.valueShares("redwinglock", 1)
			require.NoError(t, err)
			require.GreaterOrEqual(t, shares["first"], 0.85)
			require.GreaterOrEqual(t, shares["third"], pl.minShare)
			if pl.limits != nil {
				excess, err := pl.limitExcess(1)
				require.NoError(t, err)
				require.LessOrEqual(t, excess, 1.0)
				return
			}
			fifoShares, err := pl.valueShares("first come", 1)
			require.NoError(t, err)
			require.Greater(t, shares[""], fifoShares[""])
		})
	}
}
