package decisions

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWorthOfAnAnswerGoesByWhenItBegins(t *testing.T) {
	sh := sheets[0]
	k := sh.kinds[0] // Begins in time within 0.5 s, is left after 2 s, and must end within 6 s.
	for _, test := range []struct {
		name                        string
		asked, firstToken, finished time.Duration
		want                        float64
	}{
		{"in time", 0, 400 * time.Millisecond, time.Second, 6},
		{"late", 0, 600 * time.Millisecond, time.Second, 2.9},
		{"late after it came back", 2 * time.Second, 3 * time.Second, 4 * time.Second, 2.9},
		{"its caller has left", 0, 3 * time.Second, 4 * time.Second, 0},
		{"ends after the deadline", 0, 400 * time.Millisecond, 7 * time.Second, 0},
		{"not answered", 0, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := &job{kind: k, asked: test.asked, firstToken: test.firstToken, finished: test.finished, until: k.deadline}
			require.InDelta(t, test.want, sh.earned(j), 0)
		})
	}
}

func TestSizesHaveTheMeanOfTheSheet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0
	for range 100_000 {
		sum += drawSize(random, 1000, 0.5, 1<<20)
	}
	require.InDelta(t, 1000, float64(sum)/100_000, 20)
	require.Equal(t, 10, drawSize(random, 1000, 0, 10))
}

// TestEachKindEarnsItsPartAtTheWorstLoadOfTheSheets plays one seed of each load.
func TestEachKindEarnsItsPartAtTheWorstLoadOfTheSheets(t *testing.T) {
	for _, sh := range sheets {
		t.Run(sh.name, func(t *testing.T) {
			shares, err := sh.shares("redwinglock", 1)
			require.NoError(t, err)
			require.GreaterOrEqual(t, shares["first"], 0.85)
			require.GreaterOrEqual(t, shares["third"], sh.floor)
			others, err := sh.shares("first come", 1)
			require.NoError(t, err)
			require.Greater(t, shares[""], others[""])
		})
	}
}
