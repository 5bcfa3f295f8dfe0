package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
)

func TestAnswersPassUnchanged(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "kept")
		w.Header().Set("Keep-Alive", "timeout=3")
		w.WriteHeader(http.StatusTeapot)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, content)
	})
	got := s.send("PUT", "/write/a%2Fb/?q=1&q=%20", "body", "X-Caller", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	require.Equal(t, http.StatusTeapot, got.status)
	require.Equal(t, "PUT /write/a%2Fb/?q=1&q=%20 body", got.body)
	require.Equal(t, "seal-of-t-1", got.header.Get("Seal"))
	require.Equal(t, "kept", got.header.Get("X-Own"))
	require.Empty(t, got.header.Get("Keep-Alive"))
	sent := s.targets[0].requests()[0]
	require.Equal(t, "kept", sent.Header.Get("X-Caller"))
	require.Empty(t, sent.Header.Get("X-Hop"))
	require.Empty(t, sent.Header.Get("Key"), "keys are not forwarded")
	require.Equal(t, "127.0.0.1", hostName(sent.Host))
}

// TestFaultsOfTargets checks for each fault which status the caller receives and how often each
// target receives the request. The first target fails, the second is healthy.
func TestFaultsOfTargets(t *testing.T) {
	rows := []struct {
		name   string
		fault  http.HandlerFunc
		path   string
		status int
		runs   []int
	}{
		{"refused, idempotent", notRun, "/read/x", http.StatusOK, []int{1, 1}},
		{"refused, non-idempotent", notRun, "/write/x", http.StatusOK, []int{1, 1}},
		{"refused, stream", notRun, "/fixed/x", http.StatusOK, []int{1, 1}},
		{"reset, idempotent", reset, "/read/x", http.StatusOK, []int{1, 1}},
		{"reset, non-idempotent", reset, "/write/x", http.StatusBadGateway, []int{1, 0}},
		{"reset, stream", reset, "/fixed/x", http.StatusBadGateway, []int{1, 0}},
		{"reset, resumable stream", reset, "/resumed/x", http.StatusOK, []int{1, 1}},
		{"answer to another, idempotent", otherID, "/read/x", http.StatusOK, []int{1, 1}},
		{"answer to another, non-idempotent", otherID, "/write/x", http.StatusBadGateway, []int{1, 0}},
		{"not sealed, non-idempotent", unsealed, "/write/x", http.StatusBadGateway, []int{1, 0}},
		// Callers would take the status for a promise that nothing has run.
		{"busy after it has run, non-idempotent", answerWith(503, "bad"), "/write/x", http.StatusBadGateway, []int{1, 0}},
		{"limit after it has run, non-idempotent", answerWith(429, "bad"), "/write/x", http.StatusBadGateway, []int{1, 0}},
		{"busy after it has run, stream", answerWith(503, "bad"), "/fixed/x", http.StatusBadGateway, []int{1, 0}},
		{"busy after it has run, idempotent", answerWith(503, "bad"), "/read/x", http.StatusOK, []int{1, 1}},
		{"limit after it has run, idempotent", answerWith(429, "bad"), "/read/x", http.StatusTooManyRequests, []int{1, 0}},
		{"error of the target, idempotent", answerWith(500, "bad"), "/read/x", http.StatusOK, []int{1, 1}},
		{"error of the target, non-idempotent", answerWith(500, "bad"), "/write/x", http.StatusInternalServerError, []int{1, 0}},
		{"error of the target, stream", answerWith(500, "bad"), "/fixed/x", http.StatusInternalServerError, []int{1, 0}},
		{"error of the target, resumable stream", answerWith(500, "bad"), "/resumed/x", http.StatusOK, []int{1, 1}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			sound := answerWith(http.StatusOK, "sound")
			if isStream := row.path == "/fixed/x" || row.path == "/resumed/x"; isStream {
				sound = answerWith(http.StatusOK, wholeStream(1))
			}
			s := newSite(t, row.fault, sound)
			got := s.send("POST", row.path, "body")
			require.Equal(t, row.status, got.status, got.body)
			require.Equal(t, row.runs, s.runs())
		})
	}
}

func TestOnlyRequestsThatDidNotRunAreRefused(t *testing.T) {
	s := newSite(t, notRun, notRun)
	got := s.send("POST", "/write/x", "body")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, []int{1, 1}, s.runs(), "no target is tried twice")
}

// TestCutAnswerNeverLooksComplete cuts answers off in the middle. As no part of them was forwarded,
// the request is retried if it is idempotent, and reported as lost otherwise.
func TestCutAnswerNeverLooksComplete(t *testing.T) {
	rows := []struct {
		name, path string
		status     int
		runs       []int
	}{
		{"idempotent", "/read/x", http.StatusOK, []int{1, 1}},
		{"non-idempotent", "/write/x", http.StatusBadGateway, []int{1, 0}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, cutBody, answerWith(http.StatusOK, "sound"))
			got := s.send("POST", row.path, "")
			require.NoError(t, got.err)
			require.Equal(t, row.status, got.status)
			require.Equal(t, row.runs, s.runs())
		})
	}
}

func TestLargeAnswerThatIsCutIsCutForTheCaller(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(4*maxBufferedBytes))
		_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	require.Error(t, s.send("POST", "/write/x", "").err)
}

func TestRefusalsBeforeATargetIsChosen(t *testing.T) {
	rows := []struct {
		name, path, body string
		header           []string
		status           int
		reason           string
	}{
		{"no route", "/nowhere/", "", nil, http.StatusNotFound, "unknown-route"},
		{"no key", "/read/x", "", []string{"Key", ""}, http.StatusUnauthorized, "unknown-account"},
		{"wrong header", "/read/x", "", []string{"Left-Ms", "soon"}, http.StatusBadRequest, "Left-Ms"},
		{"large body", "/read/x", strings.Repeat("x", 2000), nil, http.StatusRequestEntityTooLarge, "request-too-large"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, answerWith(http.StatusOK, ""))
			got := s.send("POST", row.path, row.body, row.header...)
			require.Equal(t, row.status, got.status)
			require.Contains(t, got.body, row.reason)
			require.Equal(t, []int{0}, s.runs())
		})
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "open"))
	require.Equal(t, "open", s.send("GET", "/public/x", "", "Key", "").body)
}

func TestHostWithoutConfigurationRefusesWithRetryAfter(t *testing.T) {
	s := newSite(t)
	s.server.board = board.New(board.Member{})
	s.server.board.SetJoined()
	got := s.send("GET", "/read/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "0.500", got.header.Get("Retry-After"))
}

func TestStoppingHostAnswersAndClosesConnections(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "still served"))
	s.board.SetStopping()
	got := s.send("GET", "/read/x", "")
	require.Equal(t, "still served", got.body)
	require.True(t, got.closes)
	s.server.CloseToNew()
	require.Equal(t, http.StatusServiceUnavailable, s.send("GET", "/read/x", "").status)
}

// TestStoppingHostRefusesStreamsThatMayOutlastIt guards against a fault that was observed: a long
// stream arrived in the last second in which a stopping host served callers, and was cut off.
func TestStoppingHostRefusesStreamsThatMayOutlastIt(t *testing.T) {
	s := newSite(t, events(1, 3, false))
	s.board.SetStopping()
	require.Equal(t, wholeStream(3), s.send("POST", "/fixed/x", "").body, "the stop has just begun")
	s.beginStop(3*time.Second, StopSchedule{ServeStreams: 2 * time.Second, ServeCalls: 4 * time.Second, AnswersEnd: 7 * time.Second})
	rows := []struct {
		name, path, leftMS string
		status             int
	}{
		{"stream that ends before the host", "/fixed/x", "2000", http.StatusOK},
		{"stream that may last longer", "/fixed/x", "9000", http.StatusServiceUnavailable},
		{"resumable stream", "/resumed/x", "9000", http.StatusServiceUnavailable},
		{"plain call", "/read/x", "9000", http.StatusOK},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := s.send("POST", row.path, "", "Left-Ms", row.leftMS)
			require.Equal(t, row.status, got.status)
			if got.status != http.StatusOK {
				require.Contains(t, got.body, "host-stopping")
				require.Equal(t, "0.200", got.header.Get("Retry-After"))
			}
		})
	}
	require.Equal(t, []int{3}, s.runs())
}

// TestStoppingHostRefusesCallsThatMayOutlastIt sends calls in the last part of a planned stop.
func TestStoppingHostRefusesCallsThatMayOutlastIt(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "done"))
	s.board.SetStopping()
	s.beginStop(4*time.Second, StopSchedule{ServeStreams: 2 * time.Second, ServeCalls: 4 * time.Second, AnswersEnd: 7 * time.Second})
	rows := []struct {
		path, leftMS string
		status       int
	}{
		{"/read/x", "2000", http.StatusOK},
		{"/read/x", "4000", http.StatusServiceUnavailable},
		{"/write/x", "2000", http.StatusOK},
		{"/write/x", "4000", http.StatusServiceUnavailable},
		{"/fixed/x", "4000", http.StatusServiceUnavailable},
	}
	for _, row := range rows {
		got := s.send("POST", row.path, "", "Left-Ms", row.leftMS)
		require.Equal(t, row.status, got.status, "%v", row)
	}
	require.Equal(t, []int{2}, s.runs())
}

// TestRequestsLeftAtTheEndOfAStopGetAFinalAnswer ends a host while requests wait for a target, are at a target that
// does not answer, or have begun to be answered.
func TestRequestsLeftAtTheEndOfAStopGetAFinalAnswer(t *testing.T) {
	hang := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	begin := func(w http.ResponseWriter, r *http.Request) {
		events(1, 2, false)(w, r)
		<-r.Context().Done()
	}
	rows := []struct {
		name, path string
		target     http.HandlerFunc
		inFlight   int // Requests that take the slots of the target.
		status     int
		isCut      bool
		reason     string
	}{
		{"at a target", "/write/x", hang, 0, http.StatusGatewayTimeout, false, "target-silent"},
		{"resumable, at a target", "/resumed/x", hang, 0, http.StatusGatewayTimeout, false, "target-silent"},
		{"waiting for a target", "/write/x", hang, 4, http.StatusServiceUnavailable, false, "host-stopping"},
		{"stream that has begun", "/fixed/x", begin, 0, http.StatusOK, true, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, row.target)
			var others sync.WaitGroup
			for range row.inFlight {
				others.Go(func() { s.send("POST", "/write/x", "") })
			}
			require.Eventually(t, func() bool { return s.runs()[0] == row.inFlight }, 2*time.Second, time.Millisecond)
			time.AfterFunc(100*time.Millisecond, s.server.EndRequests)
			got := s.send("POST", row.path, "")
			require.Equal(t, row.status, got.status)
			require.Equal(t, row.isCut, got.err != nil)
			require.Contains(t, got.body, row.reason)
			others.Wait()
		})
	}
}

func TestReadinessAndDirectory(t *testing.T) {
	s := newSite(t)
	status, _ := get(s.server.ReadinessHandler(), "/ready")
	require.Equal(t, http.StatusOK, status)
	status, body := get(s.server.DirectoryHandler(), "/resolve?zone=a")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `["10.0.0.1:80"]`, body)
	s.board.SetStopping()
	status, _ = get(s.server.ReadinessHandler(), "/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// TestExtraAnswerIsNotForwarded sends a second answer after a complete one on a keep-alive
// connection. The next request on that connection must not receive it.
func TestExtraAnswerIsNotForwarded(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		connection, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		writeAnswer(buffer, r.Header.Get("Id"), "mine")
		writeAnswer(buffer, r.Header.Get("Id"), "extra")
		_ = buffer.Flush()
		_, _ = http.ReadRequest(buffer.Reader) // Until the gateway closes.
	}, answerWith(http.StatusOK, "mine"))
	for i := range 10 {
		got := s.send("GET", "/read/x", "", "Id", fmt.Sprint("id-", i))
		require.Equal(t, "mine", got.body)
	}
}

func writeAnswer(w *bufio.ReadWriter, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestHostsWithLessCapacityAreListedForFewerCallers(t *testing.T) {
	live := []board.Member{
		{CallerURL: "strong", Capacity: 0.8},
		{CallerURL: "weak", Capacity: 0.2},
		{CallerURL: "leaving", Capacity: 0.8, Leaving: true},
	}
	for i := range 6 {
		live = append(live, board.Member{CallerURL: fmt.Sprint("other-", i), Capacity: 0.8})
	}
	listed := 0
	step := 0.0
	for range 100 {
		addresses := chooseAddresses(live, "", func() float64 { step += 0.37; return step - float64(int(step)) })
		require.Contains(t, addresses, "strong")
		require.NotContains(t, addresses, "leaving")
		if slices.Contains(addresses, "weak") {
			listed++
		}
	}
	require.InDelta(t, 25, listed, 5)
	few := chooseAddresses(live[:2], "", func() float64 { return 0.99 })
	require.Equal(t, []string{"strong", "weak"}, few, "a caller gets alternatives")
	require.Len(t, chooseAddresses([]board.Member{{CallerURL: "a"}}, "", func() float64 { return 0.5 }), 1)
}

// TestHostWithTheArbiterGetsFewerCallers checks that the host with the arbiter has the same load
// as the others.
func TestHostWithTheArbiterGetsFewerCallers(t *testing.T) {
	for _, hosts := range []int{1, 2, 6, 8, 72} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			var live []board.Member
			for i := range hosts {
				live = append(live, board.Member{Name: fmt.Sprint(i), CallerURL: fmt.Sprint(i), Capacity: 0.4})
			}
			requests := make([]float64, hosts) // Each caller sends one, spread over its addresses.
			step, callers := 0.0, 1000
			for range callers {
				addresses := chooseAddresses(live, "0", func() float64 { step += 0.377; return step - float64(int(step)) })
				for _, address := range addresses {
					i, err := strconv.Atoi(address)
					require.NoError(t, err)
					requests[i] += 1 / float64(len(addresses))
				}
			}
			last := requests[hosts-1]
			require.Greater(t, requests[0], 0.2*last, "it still serves callers")
			if hosts < minAddresses {
				require.InDelta(t, last, requests[0], 0, "all are listed")
				return
			}
			require.Less(t, requests[0], 0.4*last)
			if weight := arbiterHostWeight(hosts); weight > minArbiterHostWeight {
				load := requests[0] + float64(callers)*arbitrationCost
				require.InDelta(t, last, load, 0.15*last)
			}
		})
	}
}

// TestTargetThatAnswersWithErrorsIsExcluded sends requests one at a time, so that a target that
// fails fast is always free and would receive most of them.
func TestTargetThatAnswersWithErrorsIsExcluded(t *testing.T) {
	s := newSite(t, answerWith(http.StatusInternalServerError, "bad"), answerWith(http.StatusOK, "sound"))
	for range 40 {
		s.send("POST", "/write/x", "")
	}
	require.LessOrEqual(t, s.runs()[0], 10)
}

// TestRequestThatIsGrantedAfterTheEndIsNotSent grants requests at the moment at which the host ends them. They have not run, and
// their callers must hear it.
func TestRequestThatIsGrantedAfterTheEndIsNotSent(t *testing.T) {
	s := newSite(t, answerWith(http.StatusOK, "ran"))
	s.server.EndRequests()
	for range 100 {
		got := s.send("POST", "/write/x", "")
		require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
		require.Contains(t, got.body, "host-stopping")
	}
	require.Equal(t, []int{0}, s.runs())
}
