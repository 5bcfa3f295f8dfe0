package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// leaving answers with the notice that the target is leaving.
func leaving(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Leaving", "1")
	_, _ = io.WriteString(w, "last words")
}

// refuseFor refuses a request and requests a delay before the next one.
func refuseFor(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// misdirected answers as a different target that now has the address.
func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("Id")
	w.Header().Del("Seal")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"notice in an answer", leaving},
		{"notice in a refusal", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			notRun(w, r)
		}},
		{"notice in an error of the target", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			w.WriteHeader(http.StatusInternalServerError)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, row.handler, answerWith(http.StatusOK, "stays"))
			for range 6 {
				require.Less(t, s.send("POST", "/write/x", "body").status, 501)
			}
			require.Equal(t, 1, s.runs()[0], "its entry in the store still says that it is ready")
		})
	}
}

func TestLeavingTargetGetsRequestsAfterItsRestart(t *testing.T) {
	s := newSite(t, leaving)
	s.send("POST", "/write/x", "")
	require.Equal(t, http.StatusServiceUnavailable, s.send("POST", "/write/x", "").status)
	restarted := *s.board.Config().Pool("p").Targets[0]
	restarted.StartedMS = 2
	s.board.SetConfig(s.board.Config().WithTargets(2, []*object.Target{&restarted}))
	require.Eventually(t, func() bool { return s.send("POST", "/write/x", "").status == http.StatusOK }, time.Second, time.Millisecond)
}

// TestNoticeIsSentToAnArbiterWithoutIt makes the arbiter grant a target that is leaving. Only this
// host has the notice of it: it is recorded after the arbiter has received what the host knew.
func TestNoticeIsSentToAnArbiterWithoutIt(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "first"), answerWith(http.StatusOK, "second"))
	require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "").status)
	s.board.RecordNotice(time.Now(), wire.TargetNotice{Target: "t-1", Leaving: true})
	for range 5 {
		require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "").status)
	}
	require.Equal(t, []int{1, 5}, s.runs())
}

// TestTargetRetryAfterIsKept sends requests steadily until the target gets its second one. It compares
// the times at the target, because the requests may take longer than planned on a busy machine.
func TestTargetRetryAfterIsKept(t *testing.T) {
	const (
		delay = 600 * time.Millisecond
		// latest is the time after the first request at which the target must have got the next one.
		latest = delay + 2*time.Second
	)
	arrivals := make(chan time.Time, 100)
	refuse := refuseFor("0.6")
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals <- time.Now()
		refuse(w, r)
	}, answerWith(http.StatusOK, "open"))
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for start := time.Now(); len(arrivals) < 2 && time.Since(start) < latest; {
		<-ticker.C
		require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "").status)
	}
	require.Len(t, arrivals, 2, "it gets requests again after the delay")
	first := <-arrivals
	require.GreaterOrEqual(t, (<-arrivals).Sub(first), delay)
}

// TestTargetRetryAfterOfAllTargets checks that a request is refused at once if all targets have
// requested a delay. The caller receives the time until the first of them accepts requests.
func TestTargetRetryAfterOfAllTargets(t *testing.T) {
	s := newSite(t, refuseFor("30"))
	s.send("POST", "/write/x", "")
	start := time.Now()
	got := s.send("POST", "/write/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Less(t, time.Since(start), time.Second)
	after, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	require.NoError(t, err)
	require.Greater(t, after, 25*time.Second)
	require.Equal(t, []int{1}, s.runs())
}

func TestTargetRetryAfterThatIsAbsurdIsBounded(t *testing.T) {
	rows := []struct {
		name, text string
		want       time.Duration
		wrong      bool
	}{
		{"whole seconds", "2", 2 * time.Second, false},
		{"a fraction", "0.25", 250 * time.Millisecond, false},
		{"none", "0", 0, false},
		{"negative", "-1", 0, true},
		{"no number", "soon", 0, true},
		{"not a number", "NaN", 0, true},
		{"a day", "86400", notice.MaxPause, true},
		{"infinite time", "Inf", notice.MaxPause, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := parseRetryAfter(row.text)
			require.Equal(t, row.want, got)
			require.Equal(t, row.wrong, err != nil)
		})
	}
}

// TestMisdirectedRequestIsSentToAnotherTarget uses an address that now belongs to a target of
// another service. The request has not run, so it does not count as an attempt of the route, and
// if it fails, the caller receives a retry hint.
func TestMisdirectedRequestIsSentToAnotherTarget(t *testing.T) {
	rows := []struct {
		name     string
		handlers []http.HandlerFunc
		want     int
	}{
		{"another target serves", []http.HandlerFunc{misdirected, misdirected, misdirected, answerWith(http.StatusOK, "whole")}, http.StatusOK},
		{"no target serves", []http.HandlerFunc{misdirected, misdirected}, http.StatusServiceUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, row.handlers...)
			got := s.send("POST", "/write/x", "body")
			require.Equal(t, row.want, got.status)
			if row.want != http.StatusOK {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
			for range 3 {
				s.send("POST", "/write/x", "body")
			}
			for n, runs := range s.runs() {
				if n < len(row.handlers)-1 {
					require.Equal(t, 1, runs, "its address is closed after the first answer")
				}
			}
		})
	}
}

func TestRefusalByFullTargetsSaysThatNothingRan(t *testing.T) {
	s := newSite(t, notRun, notRun, notRun)
	got := s.send("POST", "/write/x", "body")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}
