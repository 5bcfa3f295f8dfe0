package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
)

// testDialect is a dialect with short header names.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) (RequestInfo, error) {
	d := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event"), Resumes: h.Get("Resumes")}
	if text := h.Get("Prefixes"); text != "" {
		for part := range strings.SplitSeq(text, ",") {
			hash, err := strconv.ParseUint(part, 10, 64)
			if err != nil {
				return d, errors.New("Prefixes: is not a list of numbers")
			}
			d.Prefixes = append(d.Prefixes, wire.PrefixHash(hash))
		}
	}
	if text := h.Get("Left-Ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return d, errors.New("Left-Ms: is not a number")
		}
		d.Timeout = time.Duration(ms) * time.Millisecond
	}
	return d, nil
}

func (testDialect) WriteDispatch(h http.Header, d Dispatch) {
	h.Del("Key")
	h.Set("Target", string(d.Target))
	h.Set("Left-Ms", strconv.FormatInt(d.TimeLeft.Milliseconds(), 10))
	if d.LastEventID != "" {
		h.Set("Last-Event", d.LastEventID)
	}
}

func (testDialect) ReadReply(status int, h http.Header) Reply {
	return Reply{
		NotRun: h.Get("Not-Run") != "", SaysNotRun: status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "",
		ID: h.Get("Id"), Sealed: h.Get("Seal") != "", RetryAfter: h.Get("Retry-After"),
		RateLimit: h.Values("Rate-Limit"),
	}
}

func (testDialect) ReadinessPath() string { return "/ready" }

func (testDialect) ResolvePath() string { return "/resolve" }

func (testDialect) WriteResolve(addresses []string, ttl time.Duration) ([]byte, error) {
	return json.Marshal(addresses)
}

// testTarget is a target with a handler given by the test. It records the requests it receives.
type testTarget struct {
	mu       sync.Mutex
	received []*http.Request
	done     chan struct{} // Receives a value when a request has ended, unless nobody reads the earlier ones.
}

func (t *testTarget) requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// site is a gateway with its targets.
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
	b := board.New(board.Member{Name: "entry-1", CallerURL: "10.0.0.1:80"})
	b.SetJoined()
	return newSiteOn(t, b, 0, handlers...)
}

// newSiteOn does the same with a board. Requests wait for the link to the arbiter for up to arbiterWait.
func newSiteOn(t *testing.T, b *board.Board, arbiterWait time.Duration, handlers ...http.HandlerFunc) *site {
	gin.SetMode(gin.ReleaseMode)
	s := &site{t: t, board: b}
	var objects []*object.Target
	for i, handler := range handlers {
		target := &testTarget{done: make(chan struct{}, 100)}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			target.mu.Lock()
			target.received = append(target.received, r)
			target.mu.Unlock()
			defer func() {
				select {
				case target.done <- struct{}{}:
				default:
				}
			}()
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "seal-of-"+r.Header.Get("Target"))
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		s.targets = append(s.targets, target)
		objects = append(objects, &object.Target{Name: object.TargetName(fmt.Sprintf("t-%d", i+1)), Pool: "p", Zone: "a", Address: server.URL, Slots: 4, Generation: "v1"})
	}
	s.board.SetConfig(testSnapshot(t).WithTargets(1, objects))
	c := common.Discard()
	c.Settings.Gateway = &settings.Gateway{MaxBodyBytes: 1000, RetryShare: 0.5, RetrySlack: 10, AddressTTL: time.Second, ArbiterWait: arbiterWait}
	frontServer := front.New(c, s.board)
	arbiters := arbiter.New(c, s.board, frontServer, http2.New(time.Second, nil))
	clients := passthrough.New()
	s.server = New(c, s.board, arbiters, clients, testDialect{})
	server := httptest.NewUnstartedServer(s.server.Handler())
	server.Config.ConnContext = WithConnection
	server.Start()
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
		&object.Pool{Name: "p", Type: object.EnginePool, FixedSlots: true, NonPreemptible: true, Discovered: true},
		route("read", "/read/", object.Idempotent, nil),
		route("write", "/write/", object.NonIdempotent, nil),
		route("fixed", "/fixed/", object.Stream, nil),
		route("resumed", "/resumed/", object.Stream, func(r *object.Route) { r.Resumable = true }),
		route("once", "/once/", object.Stream, func(r *object.Route) { r.Resumable = true; r.MaxAttempts = 1 }),
		route("brief", "/brief/", object.NonIdempotent, func(r *object.Route) { r.Timeout = object.Duration(150 * time.Millisecond) }),
		route("short", "/short/", object.Stream, func(r *object.Route) { r.Timeout = object.Duration(400 * time.Millisecond) }),
		route("public", "/public/", object.Idempotent, func(r *object.Route) { r.Public = true }),
	})
	require.NoError(t, err)
	return snapshot
}

// result is the response that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	closes bool  // Set if the gateway closes the connection.
	err    error // The error of reading the body.
}

func (s *site) send(method, path, body string, header ...string) result {
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
	return result{response.StatusCode, response.Header, string(content), response.Close, err}
}

// get sends a request to a handler and returns the status and the body of the answer.
func get(handler http.Handler, path string) (int, string) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

// runs returns the number of requests that each target received.
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

// cutBody announces more bytes than it sends.
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

// beginStop begins the stop of the gateway, which has lasted for some time already.
func (s *site) beginStop(age time.Duration, schedule StopSchedule) {
	s.board.SetStopping()
	begun := time.Now().Add(-age)
	s.server.BeginStop(schedule, func() time.Duration { return time.Since(begun) })
}
