package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
)

// limitTo answers with a rate limit. Without values it names none.
func limitTo(values ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Rate-Limit"] = values
		_, _ = io.WriteString(w, "limited")
	}
}

// TestTargetWithRateLimitGetsFewRequests sends requests much faster than the limit of the first target.
func TestTargetWithRateLimitGetsFewRequests(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc
		limited bool
	}{
		{"named in an answer", limitTo("0.5"), true},
		{"named in an error of the target", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Rate-Limit", "0.5")
			w.WriteHeader(http.StatusInternalServerError)
		}, true},
		{"named in a refusal", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Rate-Limit", "0.5")
			notRun(w, r)
		}, true},
		{"named twice", limitTo("0.5", "900"), true},
		{"not a number", limitTo("NaN"), false},
		{"negative", limitTo("-1"), false},
		{"infinite", limitTo("+Inf"), false},
		{"none", limitTo(), false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, row.handler, answerWith(http.StatusOK, "other"))
			start := time.Now()
			for range 10 {
				s.send("POST", "/write/x", "body")
			}
			allowed := 1 + int(time.Since(start).Seconds()*0.5+1)
			if row.limited {
				require.LessOrEqual(t, s.runs()[0], allowed)
				return
			}
			require.Equal(t, 10, s.runs()[0], "the first of two idle targets is used")
		})
	}
}

// TestRateLimitOfAnotherTargetIsIgnored answers with a limit that is not the target's own.
func TestRateLimitOfAnotherTargetIsIgnored(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"answer to another request", otherID},
		{"another target has the address", misdirected},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Rate-Limit", "0.5")
				row.handler(w, r)
			})
			s.send("POST", "/write/x", "body")
			require.Zero(t, s.board.Notices().State("t-1", 0).RateLimit)
		})
	}
}

// TestRateLimitThatEndsIsLifted makes a target name a limit at first and none later. It must get all
// requests again, without a restart.
func TestRateLimitThatEndsIsLifted(t *testing.T) {
	var limited atomic.Bool
	limited.Store(true)
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if limited.Load() {
			w.Header().Set("Rate-Limit", "20")
		}
		_, _ = io.WriteString(w, "first")
	}, answerWith(http.StatusOK, "second"))
	s.send("POST", "/write/x", "")
	require.InDelta(t, 20, float64(s.board.Notices().State("t-1", 0).RateLimit), 0)
	limited.Store(false)
	require.Eventually(t, func() bool {
		before := s.runs()[0]
		for range 5 {
			s.send("POST", "/write/x", "")
		}
		return s.runs()[0] == before+5
	}, 5*time.Second, time.Millisecond)
	require.Zero(t, s.board.Notices().State("t-1", 0).RateLimit)
}

// TestRefusalWithoutRateLimitDoesNotEndIt makes a target name a limit in its first answer and refuse all
// later requests without a word about it.
func TestRefusalWithoutRateLimitDoesNotEndIt(t *testing.T) {
	var answered atomic.Bool
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if answered.CompareAndSwap(false, true) {
			limitTo("20")(w, r)
			return
		}
		notRun(w, r)
	}, answerWith(http.StatusOK, "second"))
	require.Eventually(t, func() bool {
		s.send("POST", "/write/x", "")
		return s.runs()[0] > 1
	}, 5*time.Second, time.Millisecond)
	require.InDelta(t, 20, float64(s.board.Notices().State("t-1", 0).RateLimit), 0)
}

// TestHostKeepsRateLimitThatItsArbiterDoesNotKnow gives only this host the notice of a limit. It must
// decline grants beyond its own share and tell the arbiter.
func TestHostKeepsRateLimitThatItsArbiterDoesNotKnow(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "first"), answerWith(http.StatusOK, "second"))
	s.send("POST", "/write/x", "")
	rate := &wire.RateNotice{PerSecond: 0.5}
	s.board.RecordNotice(time.Now(), wire.TargetNotice{Pool: "p", Target: "t-1", Rate: rate})
	start := time.Now()
	for range 10 {
		require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "").status)
	}
	require.LessOrEqual(t, s.runs()[0], 1+int(time.Since(start).Seconds()*0.5+1))
}

// TestCallerIsToldWhenRateLimitsAllowItsReturn sends requests to a pool whose only target accepts one
// request in ten seconds.
func TestCallerIsToldWhenRateLimitsAllowItsReturn(t *testing.T) {
	s := newSite(t, limitTo("0.1"))
	s.send("POST", "/write/x", "")
	start := time.Now()
	got := s.send("POST", "/write/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "targets-rate-limited")
	require.Less(t, time.Since(start), time.Second, "the request cannot be served in time, so it does not wait")
	after, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	require.NoError(t, err)
	require.Greater(t, after, 8*time.Second)
}
