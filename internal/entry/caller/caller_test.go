package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	standinengine "redwinglock/internal/standin/engine"
	standinstore "redwinglock/internal/standin/store"
	"redwinglock/internal/state/outcome"
)

func TestPublishedClientGetsWholeAnswers(t *testing.T) {
	s := newSite(t, siteOptions{})
	client := s.client()
	ctx := context.Background()

	answer, err := client.Chat.Completions.New(ctx, chat("layout", 3))
	require.NoError(t, err)
	require.Equal(t, "t0 t1 t2 ", answer.Choices[0].Message.Content)
	require.Equal(t, "stop", answer.Choices[0].FinishReason)
	require.Equal(t, int64(3), answer.Usage.CompletionTokens)

	stream := client.Chat.Completions.NewStreaming(ctx, chat("layout", 3))
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, "t0 t1 t2 ", text.String())

	plain, err := client.Completions.New(ctx, openai.CompletionNewParams{
		Model: "layout@v1", MaxTokens: openai.Int(2), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")},
	})
	require.NoError(t, err)
	require.Equal(t, "t0 t1 ", plain.Choices[0].Text)

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Equal(t, "layout", models.Data[0].ID)
}

func TestRefusalsReachThePublishedClientTyped(t *testing.T) {
	rows := []struct {
		name    string
		model   string
		options []option.RequestOption
		status  int
		reason  outcome.Reason
		param   string
	}{
		{"unknown model", "gone", nil, 404, outcome.UnknownModel, "model"},
		{"unknown account", "layout", []option.RequestOption{option.WithAPIKey("wrong")}, 401, outcome.UnknownAccount, ""},
		{"tier not allowed", "layout", []option.RequestOption{option.WithHeader(HeaderTier, "secret")}, 403, outcome.TierNotAllowed, ""},
		{"deadline passed", "layout", []option.RequestOption{option.WithHeader(HeaderDeadline, "2001-01-01T00:00:00Z")}, 504, outcome.DeadlinePassed, ""},
		{"bad deadline", "layout", []option.RequestOption{option.WithHeader(HeaderDeadline, "soon")}, 400, outcome.InvalidRequest, HeaderDeadline},
		{"bad non-idempotent header", "layout", []option.RequestOption{option.WithHeader(HeaderNonIdempotent, "maybe")}, 400, outcome.InvalidRequest, HeaderNonIdempotent},
		{"key missing", "layout", []option.RequestOption{option.WithHeader(HeaderNonIdempotent, "true")}, 400, outcome.InvalidRequest, HeaderIdempotencyKey},
		{"bad size", "layout", []option.RequestOption{option.WithJSONSet("max_tokens", -1)}, 400, outcome.InvalidRequest, "max_tokens"},
		{"wrong type", "layout", []option.RequestOption{option.WithJSONSet("stream", "yes")}, 400, outcome.InvalidRequest, "stream"},
		{"no messages", "layout", []option.RequestOption{option.WithJSONDel("messages")}, 400, outcome.InvalidRequest, "messages"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, siteOptions{})
			client := s.client(row.options...)
			_, err := client.Chat.Completions.New(context.Background(), chat(row.model, 3))
			var typed *openai.Error
			require.ErrorAs(t, err, &typed)
			require.Equal(t, row.status, typed.StatusCode)
			require.Equal(t, string(row.reason), typed.Code)
			require.Equal(t, row.param, typed.Param)
			require.Contains(t, typed.RawJSON(), `"outcome":"not-run"`)
			require.Empty(t, s.engine.Runs(), "nothing was dispatched")
		})
	}
}

func TestBadBodies(t *testing.T) {
	rows := []struct {
		name, path, body string
		status           int
		reason           outcome.Reason
	}{
		{"not JSON", "/v1/chat/completions", "{", 400, outcome.InvalidRequest},
		{"not an object", "/v1/completions", "[1]", 400, outcome.InvalidRequest},
		{"empty", "/v1/completions", "", 400, outcome.InvalidRequest},
		{"too large", "/v1/completions", `{"prompt":"` + strings.Repeat("x", 17<<20) + `"}`, 413, outcome.RequestTooLarge},
		{"unknown service", "/v1/services/gone/x", "{}", 404, outcome.UnknownPool},
		{"engine pool as service", "/v1/services/layout/x", "{}", 404, outcome.UnknownPool},
	}
	s := newSite(t, siteOptions{})
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			status, detail, _ := s.post(row.path, row.body, nil)
			require.Equal(t, row.status, status)
			require.Equal(t, row.reason, detail.Reason)
			require.Equal(t, outcome.NotRun, detail.Outcome)
		})
	}
	require.Empty(t, s.engine.Runs())
	require.Empty(t, s.service.Runs())
}

func TestBodyCutOffIsNotDispatched(t *testing.T) {
	s := newSite(t, siteOptions{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/services/ledger/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\n{\"half\":")
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), string(outcome.InvalidRequest))
	require.Empty(t, s.service.Runs())
}

func TestLostEngineIsReportedTruthfully(t *testing.T) {
	breakAt := func(event int) func(standinengine.Connection) standinengine.Action {
		return func(c standinengine.Connection) standinengine.Action {
			if c.Event == event {
				return standinengine.Break
			}
			return standinengine.Send
		}
	}
	s := newSite(t, siteOptions{noResume: true})
	client := s.client()

	s.engine.SetFault(breakAt(1))
	_, err := client.Chat.Completions.New(context.Background(), chat("layout", 3))
	var typed *openai.Error
	require.ErrorAs(t, err, &typed)
	require.Contains(t, typed.RawJSON(), `"outcome":"unknown"`)

	s.engine.SetFault(breakAt(3))
	_, err = client.Chat.Completions.New(context.Background(), chat("layout", 5))
	require.ErrorAs(t, err, &typed)
	require.Contains(t, typed.RawJSON(), `"outcome":"incomplete"`)
	require.Equal(t, "false", typed.Response.Header.Get(HeaderShouldRetry))

	stream := client.Chat.Completions.NewStreaming(context.Background(), chat("layout", 5))
	for stream.Next() {
	}
	require.ErrorContains(t, stream.Err(), "incomplete", "a cut stream never looks complete")
}

func TestEngineRejectionIsPassedOn(t *testing.T) {
	s := newSite(t, siteOptions{})
	client := s.client()
	s.engine.SetReject(422)
	_, err := client.Chat.Completions.New(context.Background(), chat("layout", 3))
	var typed *openai.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, 422, typed.StatusCode)
	require.Equal(t, "rejected by the engine", typed.Message)
	s.engine.SetReject(503)
	_, err = client.Chat.Completions.New(context.Background(), chat("layout", 3))
	require.ErrorAs(t, err, &typed)
	require.Equal(t, string(outcome.TargetRefused), typed.Code)
}

func TestUnreachableTargetIsRefusedAsNotRun(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	s := newSite(t, siteOptions{engineURL: closed.URL})
	status, detail, header := s.post("/v1/chat/completions", `{"model":"layout","messages":[]}`, map[string]string{HeaderDeadline: "900ms"})
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, outcome.NoTarget, detail.Reason, "refused at once, not at the deadline")
	require.Equal(t, outcome.NotRun, detail.Outcome)
	require.NotEmpty(t, header.Get("Retry-After"))
}

func TestUrgentRequestPreemptsANightRequest(t *testing.T) {
	s := newSite(t, siteOptions{slots: 1, decode: 10 * time.Millisecond})
	night := s.client(option.WithHeader(HeaderTier, "night"))
	stream := night.Chat.Completions.NewStreaming(context.Background(), chat("layout", 100_000))
	defer stream.Close()
	require.True(t, stream.Next())
	urgent := s.client()
	answer, err := urgent.Chat.Completions.New(context.Background(), chat("layout", 2))
	require.NoError(t, err)
	require.Equal(t, "t0 t1 ", answer.Choices[0].Message.Content)
	for stream.Next() {
	}
	require.ErrorContains(t, stream.Err(), string(outcome.Preempted))
	require.ErrorContains(t, stream.Err(), string(outcome.Incomplete))
}

func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	s := newSite(t, siteOptions{slots: 1, decode: 5 * time.Millisecond})
	client := s.client()
	ctx, cancel := context.WithCancel(context.Background())
	stream := client.Chat.Completions.NewStreaming(ctx, chat("layout", 100_000))
	require.True(t, stream.Next())
	cancel()
	_ = stream.Close()
	_, err := client.Chat.Completions.New(context.Background(), chat("layout", 2))
	require.NoError(t, err, "the slot is free again")
	require.Eventually(t, func() bool { return s.engine.Canceled("run-1-1") }, 10*time.Second, time.Millisecond)
}

func TestCallersWithTheSameRequestIDGetTheirOwnAnswers(t *testing.T) {
	s := newSite(t, siteOptions{slots: 16})
	var callers sync.WaitGroup
	for i := range 16 {
		callers.Go(func() {
			client := s.client(option.WithHeader(HeaderRequestID, "same"))
			answer, err := client.Chat.Completions.New(context.Background(), chat("layout", int64(i+1)))
			if err != nil || answer.Usage.CompletionTokens != int64(i+1) {
				t.Errorf("caller %d: %v, %v", i, answer, err)
			}
		})
	}
	callers.Wait()
	require.Len(t, s.engine.Runs(), 16)
}

func TestAccountLimit(t *testing.T) {
	s := newSite(t, siteOptions{slots: 4, decode: 5 * time.Millisecond, maxInFlight: 1})
	client := s.client()
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat("layout", 100_000))
	require.True(t, stream.Next())
	status, detail, header := s.post("/v1/chat/completions", `{"model":"layout","messages":[]}`, nil)
	require.Equal(t, http.StatusTooManyRequests, status)
	require.Equal(t, outcome.AccountLimit, detail.Reason)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.NoError(t, stream.Close())
}

func TestNonIdempotentCalls(t *testing.T) {
	withKey := map[string]string{HeaderIdempotencyKey: "k1"}
	s := newSite(t, siteOptions{})

	status, detail, _ := s.post("/v1/services/orders/confirm", `{"n":1}`, nil)
	require.Equal(t, http.StatusBadRequest, status)
	require.Equal(t, HeaderIdempotencyKey, *detail.Param)

	status, _, _ = s.post("/v1/services/orders/confirm", `{"n":1}`, withKey)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		status, _, header := s.post("/v1/services/orders/confirm", `{"n":1}`, withKey)
		return status == http.StatusOK && header.Get(HeaderReplayed) == "true"
	}, 10*time.Second, 10*time.Millisecond)
	status, detail, _ = s.post("/v1/services/orders/confirm", `{"n":2}`, withKey)
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Equal(t, outcome.KeyReused, detail.Reason)

	s.store.SetFault(standinstore.Fault{Down: true})
	status, detail, header := s.post("/v1/services/orders/confirm", `{"n":3}`, map[string]string{HeaderIdempotencyKey: "k3"})
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, outcome.StoreUnavailable, detail.Reason)
	require.Equal(t, outcome.NotRun, detail.Outcome)
	require.NotEmpty(t, header.Get("Retry-After"))
	status, _, _ = s.post("/v1/services/ledger/read", `{"n":4}`, nil)
	require.Equal(t, http.StatusOK, status, "calls that need no claim still work")

	s.store.SetFault(standinstore.Fault{})
	require.Equal(t, map[string]int{`{"n":1}`: 1, `{"n":4}`: 1}, s.service.Runs())
}

func TestLostServiceIsUnknownForTheRetryToo(t *testing.T) {
	s := newSite(t, siteOptions{})
	s.service.SetHook(func(string) { panic(http.ErrAbortHandler) })
	withKey := map[string]string{HeaderIdempotencyKey: "k1"}
	_, detail, _ := s.post("/v1/services/orders/confirm", `{"n":1}`, withKey)
	require.Equal(t, outcome.Unknown, detail.Outcome)
	s.service.SetHook(nil)
	_, detail, _ = s.post("/v1/services/orders/confirm", `{"n":1}`, withKey)
	require.Equal(t, outcome.Unknown, detail.Outcome)
	require.Equal(t, map[string]int{`{"n":1}`: 1}, s.service.Runs())
}

func TestStoppingHostRefusesNewRequestsAndFinishesOthers(t *testing.T) {
	s := newSite(t, siteOptions{decode: 2 * time.Millisecond})
	client := s.client()
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat("layout", 100))
	require.True(t, stream.Next())
	s.server.CloseToNew()
	status, detail, _ := s.post("/v1/chat/completions", `{}`, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, outcome.HostStopping, detail.Reason)
	tokens := 1
	for stream.Next() {
		tokens++
	}
	require.NoError(t, stream.Err())
	require.Equal(t, 101, tokens, "100 tokens and the usage")
	require.NoError(t, s.server.Close())
}

func TestEveryReasonHasAStatusAndAnErrorBody(t *testing.T) {
	for reason, status := range outcome.Reasons() {
		require.GreaterOrEqual(t, status, 400, reason)
		body, err := json.Marshal(newErrorBody(outcome.FailureOf(outcome.Refuse(reason, time.Second, "x"))))
		require.NoError(t, err)
		require.True(t, bytes.Contains(body, []byte(`"retry-after-ms":1000`)), reason)
	}
	require.Equal(t, outcome.Unknown, outcome.FailureOf(errors.New("anything")).Outcome)
}
