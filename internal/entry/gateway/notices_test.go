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

// leaving answers and says that the target leaves.
func leaving(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Leaving", "1")
	_, _ = io.WriteString(w, "last words")
}

// quietFor refuses and wants no requests for a while.
func quietFor(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// misdirected answers as another target that has the address now.
func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("Id")
	w.Header().Del("Seal")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func TestServerLeavingGetsNothingMore(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"said in an answer", leaving},
		{"said in a refusal", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			notRun(w, r)
		}},
		{"said in a failure of its own", func(w http.ResponseWriter, _ *http.Request) {
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
			require.Equal(t, 1, s.runs()[0], "the entry in the store still says that it is ready")
		})
	}
}

func TestServerLeavingComesBackWhenItHasStartedAgain(t *testing.T) {
	s := newSite(t, leaving)
	s.send("POST", "/write/x", "")
	require.Equal(t, http.StatusServiceUnavailable, s.send("POST", "/write/x", "").status)
	again := *s.board.Config().Pool("p").Targets[0]
	again.StartedMS = 2
	s.board.SetConfig(s.board.Config().WithTargets(2, []*object.Target{&again}))
	require.Eventually(t, func() bool { return s.send("POST", "/write/x", "").status == http.StatusOK }, time.Second, time.Millisecond)
}

// TestServerLeavingIsToldToAnArbiterThatDoesNotKnow makes the arbiter grant a target of which
// only this host knows that it leaves.
func TestServerLeavingIsToldToAnArbiterThatDoesNotKnow(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "first"), answerWith(http.StatusOK, "second"))
	var book *notice.Book
	s.server.notices.book.Store(book.With(time.Now(), wire.TargetNotice{Target: "t-1", Leaving: true}))
	for range 5 {
		require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "").status)
	}
	require.Equal(t, []int{0, 5}, s.runs())
}

func TestTargetRetryAfterIsKept(t *testing.T) {
	s := newSite(t, quietFor("0.6"), answerWith(http.StatusOK, "open"))
	pace := time.NewTicker(25 * time.Millisecond)
	defer pace.Stop()
	for range 20 {
		<-pace.C
		require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "").status)
	}
	require.Equal(t, 1, s.runs()[0])
	require.Eventually(t, func() bool {
		s.send("POST", "/write/x", "")
		return s.runs()[0] > 1
	}, 2*time.Second, 50*time.Millisecond, "it is asked again when its time has passed")
}

// TestTargetRetryAfterOfAllTargets refuses at once, with the time at which the first of them
// may be asked again.
func TestTargetRetryAfterOfAllTargets(t *testing.T) {
	s := newSite(t, quietFor("30"))
	s.send("POST", "/write/x", "")
	began := time.Now()
	got := s.send("POST", "/write/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Less(t, time.Since(began), time.Second)
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
		{"not a number at all", "NaN", 0, true},
		{"a day", "86400", notice.MaxQuiet, true},
		{"without end", "Inf", notice.MaxQuiet, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := parseQuiet(row.text)
			require.Equal(t, row.want, got)
			require.Equal(t, row.wrong, err != nil)
		})
	}
}

// TestMisdirectedRequestGoesElsewhere replays an address that a target of another service has
// taken over: nothing has run, so the request costs no try of the route, and the answer is
// never one that promises nothing.
func TestMisdirectedRequestGoesElsewhere(t *testing.T) {
	rows := []struct {
		name     string
		handlers []http.HandlerFunc
		want     int
	}{
		{"another target serves", []http.HandlerFunc{misdirected, misdirected, misdirected, answerWith(http.StatusOK, "whole")}, http.StatusOK},
		{"nobody serves", []http.HandlerFunc{misdirected, misdirected}, http.StatusServiceUnavailable},
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
