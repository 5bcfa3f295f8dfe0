package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTargetReceivesTheTimeLeft(t *testing.T) {
	rows := []struct {
		name, path, left string
		most             int
	}{
		{"timeout of the caller", "/write/x", "700", 700},
		{"timeout of the route", "/brief/x", "60000", 150},
		{"timeout of the route, as the caller has none", "/brief/x", "", 150},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, answerWith(http.StatusOK, ""))
			s.send("POST", row.path, "", "Left-Ms", row.left)
			left, err := strconv.Atoi(s.targets[0].requests()[0].Header.Get("Left-Ms"))
			require.NoError(t, err)
			require.LessOrEqual(t, left, row.most)
			require.Positive(t, left)
		})
	}
}

// blockUntilCanceled does not answer before the gateway cancels the request.
func blockUntilCanceled(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestTimeoutOfTheRouteEndsTheWorkOfTheTarget(t *testing.T) {
	s := newSite(t, blockUntilCanceled)
	got := s.send("POST", "/brief/x", "")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	<-s.targets[0].done
}

func TestCallerThatLeavesEndsTheWorkOfTheTarget(t *testing.T) {
	started := make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		blockUntilCanceled(w, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", s.url+"/write/x", nil)
	require.NoError(t, err)
	request.Header.Set("Key", "key")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(request)
	require.ErrorIs(t, err, context.Canceled)
	<-s.targets[0].done
}

func TestRetryBudgetFollowsTheRequests(t *testing.T) {
	b := newRetryBudget(0.1, 8, func() int { return 1 })
	now := time.Unix(1000, 0)
	used := 0
	for range 1000 { // Ten seconds with 100 requests per second, all of which need a retry.
		b.recordRequest("p", now)
		if b.consume("p", now) {
			used++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, used, 100+4)
	require.GreaterOrEqual(t, used, 100)
}

// TestRetryBudgetOfAllHosts lets every request fail after 20 seconds without failures, at each size
// of fleet. In no window may all hosts together retry more than the share and the slack allow.
func TestRetryBudgetOfAllHosts(t *testing.T) {
	const share, step = 0.1, 10 * time.Millisecond
	rows := []struct {
		hosts            int
		slack, perSecond float64
	}{
		{6, 52, 45},
		{72, 184, 200},
		{295, 630, 614},
		{420, 900, 900},
	}
	for _, row := range rows {
		t.Run(fmt.Sprint(row.hosts, " hosts"), func(t *testing.T) {
			var budgets []*retryBudget
			for range row.hosts {
				budgets = append(budgets, newRetryBudget(share, row.slack, func() int { return row.hosts }))
			}
			now := time.Unix(1000, 0)
			due, next := 0.0, 0
			var retries []time.Time
			for range 40 * time.Second / step {
				now = now.Add(step)
				for due += row.perSecond * step.Seconds(); due >= 1; due-- {
					b := budgets[next%row.hosts]
					next++
					b.recordRequest("p", now)
					if now.Sub(time.Unix(1000, 0)) > 20*time.Second && b.consume("p", now) {
						retries = append(retries, now)
					}
				}
			}
			allowed := share*row.perSecond*retryWindow.Seconds() + row.slack
			for i, at := range retries {
				inWindow := 0
				for _, other := range retries[i:] {
					if other.Sub(at) < retryWindow {
						inWindow++
					}
				}
				require.LessOrEqual(t, float64(inWindow), allowed)
			}
			require.NotEmpty(t, retries)
		})
	}
}

func TestRequestIsSentInTimeForItsObjective(t *testing.T) {
	const objective = 400 * time.Millisecond
	rows := []struct {
		name         string
		waited, want time.Duration
	}{
		{"new", 0, 280 * time.Millisecond},
		{"has waited", 200 * time.Millisecond, 140 * time.Millisecond},
		{"past its objective", time.Second, time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.want, sendLimit(remainingObjective(objective, row.waited)))
		})
	}
}
