package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/fleet/service"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/claims"
	"redwinglock/internal/platform/store"
	standinengine "redwinglock/internal/standin/engine"
	standinservice "redwinglock/internal/standin/service"
	standinstore "redwinglock/internal/standin/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// site is one entry host with an engine, a service and a store, all in the test process.
type site struct {
	t       testing.TB
	url     string
	server  *Server
	engine  *standinengine.Engine
	service *standinservice.Service
	store   *standinstore.Store
	board   *board.Board
}

// siteOptions change the defaults of a site.
type siteOptions struct {
	slots       int
	engineURL   string // Used instead of the stand-in engine, if set.
	decode      time.Duration
	noResume    bool
	maxInFlight int
}

func newSite(t testing.TB, o siteOptions) *site {
	gin.SetMode(gin.ReleaseMode)
	s := &site{
		t:       t,
		engine:  standinengine.New(standinengine.Settings{DecodePerToken: o.decode, NoResume: o.noResume}),
		service: standinservice.New(0),
		store:   standinstore.New(),
	}
	serve := func(handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return server.URL
	}
	engineURL := o.engineURL
	if engineURL == "" {
		engineURL = serve(s.engine)
	}
	kv := store.NewEtcd([]string{serve(s.store)}, 200*time.Millisecond)
	c := common.Discard()
	s.board = board.New(board.Member{Name: "entry-1", Run: "run-1", CallerURL: "http://entry-1"})
	s.board.SetConfig(s.snapshot(engineURL, serve(s.service), o))
	frontServer := front.New(c, s.board)
	arbiters := arbiter.New(c, s.board, frontServer, http2.New(time.Second, nil))
	engines := engine.New(body.NewBudget(0, 1), func() {})
	claimStore := claims.New(kv, "/test/", time.Hour)
	s.server = New(c, s.board, arbiters, engines, service.New(body.NewBudget(0, 1)), claimStore)
	s.url = serve(s.server.Handler())
	t.Cleanup(func() {
		require.NoError(t, s.server.Close()) // Before its dependencies, as in a host.
		require.NoError(t, claimStore.Close())
		require.NoError(t, engines.Close())
		require.NoError(t, arbiters.Close())
		require.NoError(t, frontServer.Close())
	})
	return s
}

func (s *site) snapshot(engineURL, serviceURL string, o siteOptions) *object.Snapshot {
	objects := []object.Object{
		&object.Account{Name: "a", Tiers: []object.TierName{"urgent", "night"}, KeyHashes: []string{object.HashKey("key")}, MaxInFlight: o.maxInFlight},
		&object.Tier{Name: "urgent", Priority: 2},
		&object.Tier{Name: "night", Priority: 1},
		&object.Tier{Name: "secret", Priority: 3},
		&object.Account{Name: "b", Tiers: []object.TierName{"secret"}, KeyHashes: []string{object.HashKey("other")}},
		&object.Pool{Name: "layout", Type: object.EnginePool, IdleTimeout: object.Duration(100 * time.Millisecond)},
		&object.Pool{Name: "orders", Type: object.ServicePool, NonIdempotent: true},
		&object.Pool{Name: "ledger", Type: object.ServicePool},
		&object.Target{Name: "engine-1", Pool: "layout", Zone: "z", Address: engineURL, Slots: max(o.slots, 1)},
		&object.Target{Name: "orders-1", Pool: "orders", Zone: "z", Address: serviceURL},
		&object.Target{Name: "ledger-1", Pool: "ledger", Zone: "z", Address: serviceURL},
		&object.Model{Name: "layout", Default: "v1", Versions: []object.Version{{Name: "v1", Pool: "layout"}}},
	}
	snapshot, err := object.Compile(1, "", objects)
	require.NoError(s.t, err)
	return snapshot
}

func (s *site) client(options ...option.RequestOption) openai.Client {
	all := append([]option.RequestOption{option.WithBaseURL(s.url + "/v1"), option.WithAPIKey("key"), option.WithMaxRetries(0)}, options...)
	return openai.NewClient(all...)
}

func chat(model string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// post sends a raw request and returns the status, the error detail and the headers.
func (s *site) post(path, body string, headers map[string]string) (int, errorDetail, http.Header) {
	request, err := http.NewRequest(http.MethodPost, s.url+path, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer key")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer response.Body.Close()
	var answer errorBody
	content, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	_ = json.Unmarshal(content, &answer)
	return response.StatusCode, answer.Error, response.Header
}
