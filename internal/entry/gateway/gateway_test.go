package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
)

// testDialect has short header names.
type testDialect struct{}

func (testDialect) ReadDemand(h http.Header) (Demand, error) {
	d := Demand{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event")}
	if text := h.Get("Left-Ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return d, errors.New("Left-Ms: is not a number")
		}
		d.Left = time.Duration(ms) * time.Millisecond
	}
	return d, nil
}

func (testDialect) WriteDispatch(h http.Header, d Dispatch) {
	h.Del("Key")
	h.Set("Target", string(d.Target))
	h.Set("Left-Ms", strconv.FormatInt(d.Left.Milliseconds(), 10))
	if d.LastEventID != "" {
		h.Set("Last-Event", d.LastEventID)
	}
}

func (testDialect) ReadReply(status int, h http.Header) Reply {
	return Reply{NotRun: h.Get("Not-Run") != "", ID: h.Get("Id"), Sealed: h.Get("Seal") != ""}
}

func (testDialect) ReadinessPath() string { return "/ready" }
func (testDialect) ResolvePath() string   { return "/resolve" }

func (testDialect) WriteResolve(addresses []string, ttl time.Duration) ([]byte, error) {
	return json.Marshal(addresses)
}

// testTarget is a target whose handler a test chooses. It records the requests it got.
type testTarget struct {
	mu   sync.Mutex
	got  []*http.Request
	done chan struct{} // Receives a value when a request has ended.
}

func (t *testTarget) requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.got
}

// site is a gateway before some targets.
type site struct {
	t       *testing.T
	url     string
	board   *board.Board
	server  *Server
	targets []*testTarget
}

// newSite starts a gateway and one target for each handler. The targets are used in the
// order of the handlers, as long as none is busy.
func newSite(t *testing.T, handlers ...http.HandlerFunc) *site {
	gin.SetMode(gin.ReleaseMode)
	s := &site{t: t, board: board.New(board.Member{Name: "entry-1", Run: "run-1", CallerURL: "10.0.0.1:80"})}
	s.board.SetJoined()
	var found []*object.Target
	for i, handler := range handlers {
		target := &testTarget{done: make(chan struct{}, 100)}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			target.mu.Lock()
			target.got = append(target.got, r)
			target.mu.Unlock()
			defer func() { target.done <- struct{}{} }()
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "seal-of-"+r.Header.Get("Target"))
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		s.targets = append(s.targets, target)
		found = append(found, &object.Target{Name: object.TargetName(fmt.Sprintf("t-%d", i+1)), Pool: "p", Zone: "a", Address: server.URL, Slots: 4})
	}
	s.board.SetConfig(testSnapshot(t).WithTargets(1, found))
	c := common.Discard()
	c.Settings.Gateway = &settings.Gateway{MaxBodyBytes: 1000, RepeatShare: 0.5, RepeatSlack: 10, AddressTTL: time.Second}
	frontServer := front.New(c, s.board)
	arbiters := arbiter.New(c, s.board, frontServer, http2.New(time.Second, nil))
	clients := passthrough.New()
	s.server = New(c, s.board, arbiters, clients, testDialect{})
	server := httptest.NewServer(s.server.Handler())
	s.url = server.URL
	t.Cleanup(func() {
		server.Close()
		require.NoError(t, s.server.Close())
		require.NoError(t, clients.Close())
		require.NoError(t, arbiters.Close())
		require.NoError(t, frontServer.Close())
	})
	return s
}

func testSnapshot(t *testing.T) *object.Snapshot {
	route := func(name, path string, execution object.Execution, change func(*object.Route)) *object.Route {
		r := &object.Route{
			Name: object.RouteName(name), Host: "127.0.0.1", PathPrefix: path, Execution: execution, Tier: "tier", MaxAttempts: 2,
			Pools: []object.WeightedPool{{Pool: "p", Weight: 1}}, Timeout: object.Duration(5 * time.Second),
			Objective: object.Duration(time.Second),
		}
		if change != nil {
			change(r)
		}
		return r
	}
	snapshot, err := object.Compile(1, "", []object.Object{
		&object.Tier{Name: "tier", Priority: 1},
		&object.Account{Name: "a", Tiers: []object.TierName{"tier"}, KeyHashes: []string{object.HashKey("key")}},
		&object.Pool{Name: "p", Type: object.EnginePool, FixedSlots: true, RunToEnd: true, Discovered: true},
		route("read", "/read/", object.Idempotent, nil),
		route("write", "/write/", object.NonIdempotent, nil),
		route("fixed", "/fixed/", object.Stream, nil),
		route("resumed", "/resumed/", object.Stream, func(r *object.Route) { r.Resumable = true }),
		route("brief", "/brief/", object.NonIdempotent, func(r *object.Route) { r.Timeout = object.Duration(150 * time.Millisecond) }),
		route("public", "/public/", object.Idempotent, func(r *object.Route) { r.Public = true }),
	})
	require.NoError(t, err)
	return snapshot
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	closes bool  // The gateway closes the connection.
	err    error // Of reading the body.
}

func (s *site) send(method, path, body string, header ...string) reply {
	request, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Header.Set("Id", "id-1")
	request.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(s.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(content), response.Close, err}
}

// runs returns how many requests each target got.
func (s *site) runs() []int {
	var runs []int
	for _, t := range s.targets {
		runs = append(runs, len(t.requests()))
	}
	return runs
}

func answerWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cutBody promises more bytes than it sends.
func cutBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func otherID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "another")
	_, _ = io.WriteString(w, "not yours")
}

func unsealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("Seal")
	_, _ = io.WriteString(w, "forged")
}

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
	require.Empty(t, sent.Header.Get("Key"), "keys stay here")
	require.Equal(t, "127.0.0.1", hostName(sent.Host))
}

// TestFaultsOfTargets says for each fault what the caller gets and how often the request
// may reach targets. The first target fails, the second is sound.
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
		{"error of the target, idempotent", answerWith(500, "bad"), "/read/x", http.StatusOK, []int{1, 1}},
		{"error of the target, non-idempotent", answerWith(500, "bad"), "/write/x", http.StatusInternalServerError, []int{1, 0}},
		{"error of the target, stream", answerWith(500, "bad"), "/fixed/x", http.StatusInternalServerError, []int{1, 0}},
		{"error of the target, resumable stream", answerWith(500, "bad"), "/resumed/x", http.StatusOK, []int{1, 1}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, row.fault, answerWith(http.StatusOK, "sound"))
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
	require.Equal(t, []int{1, 1}, s.runs(), "no target is asked twice")
}

// TestCutAnswerNeverLooksComplete cuts answers in the middle. Those of which nothing was
// passed on are replaced, or reported as lost.
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
		w.Header().Set("Content-Length", strconv.Itoa(4*maxHeldBytes))
		_, _ = w.Write(make([]byte, 2*maxHeldBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	require.Error(t, s.send("POST", "/write/x", "").err)
}

// events writes the events from first to last, and after that a part of one if torn.
func events(first, last int, torn bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if torn {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", last+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func wholeStream(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

// TestBrokenStreamGoesOnInTheSameAnswer tears an event apart: the next target sends it
// again, and the caller gets each piece once.
func TestBrokenStreamGoesOnInTheSameAnswer(t *testing.T) {
	s := newSite(t, events(1, 3, true), events(4, 6, false))
	got := s.send("POST", "/resumed/x", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(6), got.body)
	require.Equal(t, "seal-of-t-1", got.header.Get("Seal"))
	second := s.targets[1].requests()[0]
	require.Equal(t, "3", second.Header.Get("Last-Event"))
}

func TestBrokenStreamThatCannotBeResumedIsCut(t *testing.T) {
	s := newSite(t, events(1, 3, true), events(4, 6, false))
	got := s.send("POST", "/fixed/x", "prompt")
	require.Error(t, got.err)
	require.Equal(t, wholeStream(3), got.body)
	require.Equal(t, []int{1, 0}, s.runs())
}

func TestStreamThatIsRefusedOnItsWayIsCut(t *testing.T) {
	s := newSite(t, events(1, 3, true), notRun)
	got := s.send("POST", "/resumed/x", "prompt")
	require.Error(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
}

func TestTargetIsToldTheTimeLeft(t *testing.T) {
	rows := []struct {
		name, path, left string
		most             int
	}{
		{"of the caller", "/write/x", "700", 700},
		{"of the route", "/brief/x", "60000", 150},
		{"of the route, as the caller has none", "/brief/x", "", 150},
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

func untilGone(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestTimeoutOfTheRouteEndsTheWorkOfTheTarget(t *testing.T) {
	s := newSite(t, untilGone)
	got := s.send("POST", "/brief/x", "")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	<-s.targets[0].done
}

func TestCallerThatLeavesEndsTheWorkOfTheTarget(t *testing.T) {
	started := make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		untilGone(w, r)
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

func TestHostWithoutConfigurationRefusesWithAHint(t *testing.T) {
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

func TestReadinessAndDirectory(t *testing.T) {
	s := newSite(t)
	ask := func(handler http.Handler, path string) (int, string) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
		return recorder.Code, recorder.Body.String()
	}
	status, _ := ask(s.server.ReadinessHandler(), "/ready")
	require.Equal(t, http.StatusOK, status)
	status, body := ask(s.server.DirectoryHandler(), "/resolve?zone=a")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `["10.0.0.1:80"]`, body)
	s.board.SetStopping()
	status, _ = ask(s.server.ReadinessHandler(), "/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

func TestEventSplitterKeepsEventsWhole(t *testing.T) {
	rows := []struct {
		name   string
		chunks []string
		want   []string
		lastID string
	}{
		{"one event", []string{"id: 1\ndata: a\n\n"}, []string{"id: 1\ndata: a\n\n"}, "1"},
		{"split event", []string{"id: 1\nda", "ta: a\n", "\nid: 2"}, []string{"", "", "id: 1\ndata: a\n\n"}, "1"},
		{"two at once", []string{"id:1\n\nid:2\n\nid:3"}, []string{"id:1\n\nid:2\n\n"}, "2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var s eventSplitter
			for i, chunk := range row.chunks {
				require.Equal(t, row.want[i], string(s.add([]byte(chunk))))
			}
			require.Equal(t, row.lastID, s.lastID)
		})
	}
}

func TestRepeatBudgetFollowsTheRequests(t *testing.T) {
	b := newRepeatBudget(0.1, 4)
	now := time.Unix(1000, 0)
	used := 0
	for range 1000 { // Ten seconds with 100 requests each second that all want to be repeated.
		b.noteRequest("p", now)
		if b.take("p", now) {
			used++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, used, 100+4)
	require.GreaterOrEqual(t, used, 100)
}

func TestRequestThatComesBackRanksAsInTimeForAWhile(t *testing.T) {
	const objective = 400 * time.Millisecond
	rows := []struct {
		name           string
		before, waited time.Duration
		want           time.Duration
	}{
		{"first request", 0, 0, 280 * time.Millisecond},
		{"first request that has waited", 0, 200 * time.Millisecond, 140 * time.Millisecond},
		{"first request that is late", 0, time.Second, time.Millisecond},
		{"came back in time", 100 * time.Millisecond, 0, 210 * time.Millisecond},
		{"came back late", 2 * time.Second, 0, 140 * time.Millisecond},
		{"came back late and has waited", 2 * time.Second, 300 * time.Millisecond, time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.want, startWithin(objective, row.before, row.waited))
		})
	}
}

func TestPatienceKnowsASecondAttempt(t *testing.T) {
	p := newPatience()
	require.Zero(t, p.waitedBefore("r", 6*time.Second))
	require.Equal(t, 2*time.Second, p.waitedBefore("r", 4*time.Second))
	require.Zero(t, p.waitedBefore("other", 4*time.Second))
	require.Zero(t, p.waitedBefore("r", 7*time.Second))
	require.Zero(t, p.waitedBefore("r", 0))
}

// TestExtraAnswerReachesNobody sends a second answer after a complete one on a connection
// that is used again.
func TestExtraAnswerReachesNobody(t *testing.T) {
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

func TestWeakHostsAreNamedToFewerCallers(t *testing.T) {
	live := []board.Member{
		{CallerURL: "strong", Capacity: 0.8},
		{CallerURL: "weak", Capacity: 0.2},
		{CallerURL: "leaving", Capacity: 0.8, Leaving: true},
	}
	for i := range 6 {
		live = append(live, board.Member{CallerURL: fmt.Sprint("other-", i), Capacity: 0.8})
	}
	named := 0
	step := 0.0
	for range 100 {
		addresses := chooseAddresses(live, func() float64 { step += 0.37; return step - float64(int(step)) })
		require.Contains(t, addresses, "strong")
		require.NotContains(t, addresses, "leaving")
		if slices.Contains(addresses, "weak") {
			named++
		}
	}
	require.InDelta(t, 25, named, 5)
	few := chooseAddresses(live[:2], func() float64 { return 0.99 })
	require.Equal(t, []string{"strong", "weak"}, few, "a caller gets some to choose from")
	require.Len(t, chooseAddresses([]board.Member{{CallerURL: "a"}}, func() float64 { return 0.5 }), 1)
}

// TestTargetThatAnswersWithErrorsIsTakenOut sends requests one after the other, so that a
// target with fast errors is always free.
func TestTargetThatAnswersWithErrorsIsTakenOut(t *testing.T) {
	s := newSite(t, answerWith(http.StatusInternalServerError, "bad"), answerWith(http.StatusOK, "sound"))
	for range 40 {
		s.send("POST", "/write/x", "")
	}
	require.LessOrEqual(t, s.runs()[0], 10)
}
