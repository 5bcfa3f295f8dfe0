package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
	standin "redwinglock/internal/standin/engine"
	"redwinglock/internal/state/outcome"
)

const (
	tokens      = 12
	idleTimeout = 100 * time.Millisecond
)

func allow() bool { return true }

func newCall(address string) Call {
	return Call{
		ID: "request-1", Address: address, Path: "/v1/chat/completions", IdleTimeout: idleTimeout, SilenceTimeout: 10 * idleTimeout,
		Body: fmt.Appendf(nil, `{"model":"m","max_tokens":%d,"messages":[]}`, tokens),
	}
}

// readAll reads a stream to its end and returns its text.
func readAll(s *Stream) (string, error) {
	assembler := NewAssembler(true)
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return assembler.text(), nil
		}
		if err != nil {
			return assembler.text(), err
		}
		if err := assembler.Add(event); err != nil {
			return "", err
		}
	}
}

func (a *Assembler) text() string {
	if len(a.completion.Choices) == 0 || a.completion.Choices[0].Message.Content == nil {
		return ""
	}
	return *a.completion.Choices[0].Message.Content
}

func completeText() string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

func TestStreamFaults(t *testing.T) {
	// onEvent returns a fault that applies the action to one event of the first connection.
	onEvent := func(event int, action standin.Action) func(standin.Connection) standin.Action {
		return func(c standin.Connection) standin.Action {
			if c.Nth == 1 && c.Event == event {
				return action
			}
			return standin.Send
		}
	}
	rows := []struct {
		name     string
		noResume bool
		fault    func(standin.Connection) standin.Action
		resumed  bool
		outcome  outcome.Outcome // Empty for a complete answer.
		reason   outcome.Reason
	}{
		{name: "no fault"},
		{name: "no fault, no ids", noResume: true},
		{name: "connection breaks mid-stream", fault: onEvent(5, standin.Break), resumed: true},
		{name: "connection goes silent permanently", fault: onEvent(5, standin.Hang), resumed: true},
		{name: "connection goes silent before the first event", fault: onEvent(1, standin.Hang), resumed: true},
		{name: "connection breaks before the first event", fault: onEvent(1, standin.Break), resumed: true},
		{name: "connection closes before the end of the answer", fault: onEvent(5, standin.End), resumed: true},
		{name: "connection closes before the end of the answer, without resume", noResume: true, fault: onEvent(5, standin.End), outcome: outcome.Incomplete, reason: outcome.TargetLost},
		{name: "event sent twice", fault: onEvent(5, standin.Repeat)},
		{name: "event of a different answer", fault: onEvent(5, standin.Stray), outcome: outcome.Incomplete, reason: outcome.TargetInvalidResponse},
		{name: "connection breaks mid-stream, without resume", noResume: true, fault: onEvent(5, standin.Break), outcome: outcome.Incomplete, reason: outcome.TargetLost},
		{name: "connection goes silent, without resume", noResume: true, fault: onEvent(5, standin.Hang), outcome: outcome.Incomplete, reason: outcome.TargetSilent},
		{name: "connection breaks before the first event, without resume", noResume: true, fault: onEvent(1, standin.Break), outcome: outcome.Unknown, reason: outcome.TargetLost},
		{name: "each connection breaks after one event", resumed: true, fault: func(c standin.Connection) standin.Action {
			if c.Event > c.Nth && c.Nth < tokens {
				return standin.Break
			}
			return standin.Send
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			engine := standin.New(standin.Settings{NoResume: row.noResume})
			engine.SetFault(row.fault)
			server := httptest.NewServer(engine)
			defer server.Close()
			var resumes atomic.Int64
			client := New(body.NewBudget(0, 1), func() { resumes.Add(1) })
			stream, err := client.Open(context.Background(), newCall(server.URL), allow)
			var text string
			if err == nil {
				text, err = readAll(stream)
				require.NoError(t, stream.Close())
			}
			require.Equal(t, row.resumed, resumes.Load() > 0)
			require.Equal(t, map[string]int{"request-1": 1}, engine.Runs(), "the engine ran the request once")
			if row.outcome == "" {
				require.NoError(t, err)
				require.Equal(t, completeText(), text)
				return
			}
			require.Error(t, err)
			require.Equal(t, row.outcome, outcome.FailureOf(err).Outcome)
			require.Equal(t, row.reason, outcome.FailureOf(err).Reason)
			require.True(t, strings.HasPrefix(completeText(), text), "text is a prefix of the complete answer")
			require.NoError(t, client.Close())
		})
	}
}

// TestSlowEngineKeepsItsConnection makes an engine silent for several idle timeouts, before
// the first event and between two events. The engine does not support resuming, so a stream
// that closed its connection would lose the answer.
func TestSlowEngineKeepsItsConnection(t *testing.T) {
	for _, silentBefore := range []int{1, 5} {
		engine := standin.New(standin.Settings{NoResume: true})
		engine.SetFault(func(c standin.Connection) standin.Action {
			if c.Event == silentBefore {
				time.Sleep(5 * idleTimeout)
			}
			return standin.Send
		})
		server := httptest.NewServer(engine)
		stream, err := New(body.NewBudget(0, 1), func() {}).Open(context.Background(), newCall(server.URL), allow)
		require.NoError(t, err)
		text, err := readAll(stream)
		require.NoError(t, err)
		require.Equal(t, completeText(), text)
		require.NoError(t, stream.Close())
		server.Close()
	}
}

func TestClosedStreamIsCanceledAtTheEngine(t *testing.T) {
	engine := standin.New(standin.Settings{DecodePerToken: time.Millisecond})
	server := httptest.NewServer(engine)
	defer server.Close()
	client := New(body.NewBudget(0, 1), func() {})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Open(ctx, newCall(server.URL), allow)
	require.NoError(t, err)
	_, err = stream.Next()
	require.NoError(t, err)
	cancel()
	require.NoError(t, stream.Close())
	require.NoError(t, client.Close())
	require.True(t, engine.Canceled("request-1"))
}

func TestNothingIsSentWithoutPermission(t *testing.T) {
	engine := standin.New(standin.Settings{})
	server := httptest.NewServer(engine)
	defer server.Close()
	for range 50 {
		_, err := New(body.NewBudget(0, 1), func() {}).Open(context.Background(), newCall(server.URL), func() bool { return false })
		require.ErrorIs(t, err, ErrNotSent)
	}
	require.Empty(t, engine.Runs())
}

// faultyServer accepts connections and calls handle for each of them. It returns its URL and
// the number of accepted connections.
func faultyServer(t *testing.T, handle func(net.Conn)) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go handle(conn)
		}
	}()
	return "http://" + listener.Addr().String(), &accepted
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func TestConnectionFaultsBeforeTheResponse(t *testing.T) {
	refused := httptest.NewServer(http.NotFoundHandler())
	refused.Close()
	resetImmediately, _ := faultyServer(t, reset)
	resetAfterRequest, _ := faultyServer(t, func(conn net.Conn) {
		buffer := make([]byte, 4096)
		_, _ = conn.Read(buffer)
		reset(conn)
	})
	silent, _ := faultyServer(t, func(conn net.Conn) {})
	// A connection that is reset immediately may fail before or after the request is sent.
	// The gate is called only in the second case, and the error must match.
	rows := []struct {
		name             string
		address          string
		allowedGateCalls []int // The possible numbers of gate calls.
	}{
		{"connection refused", refused.URL, []int{0}},
		{"reset immediately", resetImmediately, []int{0, 1}},
		{"reset after the request", resetAfterRequest, []int{1}},
		{"accepted without an answer", silent, []int{1}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			gateCalls := 0
			_, err := New(body.NewBudget(0, 1), func() {}).Open(context.Background(), newCall(row.address), func() bool {
				gateCalls++
				return true
			})
			require.Contains(t, row.allowedGateCalls, gateCalls)
			if gateCalls == 0 {
				require.ErrorIs(t, err, ErrNotSent)
				return
			}
			require.NotErrorIs(t, err, ErrNotSent)
			require.Equal(t, outcome.Unknown, outcome.FailureOf(err).Outcome)
		})
	}
}

// TestStaleConnectionIsNotRetried sends a request on an idle connection that the engine has
// closed. If the request body could be rewound, the HTTP transport would retry the request.
func TestStaleConnectionIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	engine := standin.New(standin.Settings{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && runs.Add(1) == 2 {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				reset(conn)
			}
			return
		}
		engine.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := New(body.NewBudget(0, 1), func() {})
	stream, err := client.Open(context.Background(), newCall(server.URL), allow)
	require.NoError(t, err)
	_, err = readAll(stream)
	require.NoError(t, err)
	call := newCall(server.URL)
	call.ID = "request-2"
	_, err = client.Open(context.Background(), call, allow)
	require.Equal(t, outcome.Unknown, outcome.FailureOf(err).Outcome)
	require.Equal(t, int64(2), runs.Load(), "the request was not retried")
}

func TestRejectionIsPassedOn(t *testing.T) {
	engine := standin.New(standin.Settings{})
	engine.SetReject(http.StatusBadRequest)
	server := httptest.NewServer(engine)
	defer server.Close()
	_, err := New(body.NewBudget(0, 1), func() {}).Open(context.Background(), newCall(server.URL), allow)
	var rejection *Rejection
	require.ErrorAs(t, err, &rejection)
	require.Equal(t, http.StatusBadRequest, rejection.Status)
	require.Contains(t, string(rejection.Body), "rejected by the engine")
}

func TestAssemblerMergesChunks(t *testing.T) {
	rows := []struct {
		name   string
		chat   bool
		events []string
		want   string
	}{
		{
			"plain", false,
			[]string{`{"id":"a","model":"m","choices":[{"index":0,"text":"x"}]}`, `{"id":"a","model":"m","choices":[{"index":0,"text":"y","finish_reason":"stop"}]}`},
			`{"id":"a","object":"text_completion","created":0,"model":"m","choices":[{"index":0,"text":"xy","finish_reason":"stop","logprobs":null}]}`,
		},
		{
			"two choices out of order", true,
			[]string{`{"id":"a","choices":[{"index":1,"delta":{"content":"b"}}]}`, `{"id":"a","choices":[{"index":0,"delta":{"content":"a"}}]}`},
			`{"id":"a","object":"chat.completion","created":0,"model":"","choices":[{"index":0,"message":{"role":"assistant","content":"a"},"finish_reason":null,"logprobs":null},{"index":1,"message":{"role":"assistant","content":"b"},"finish_reason":null,"logprobs":null}]}`,
		},
		{
			"tool call in parts", true,
			[]string{`{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"lay","arguments":"{\"a\""}}]}}]}`, `{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}}]}`},
			`{"id":"a","object":"chat.completion","created":0,"model":"","choices":[{"index":0,"message":{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"lay","arguments":"{\"a\":1}"}}]},"finish_reason":null,"logprobs":null}]}`,
		},
		{
			"log probabilities", false,
			[]string{`{"id":"a","choices":[{"index":0,"text":"x","logprobs":{"tokens":["x"]}}]}`, `{"id":"a","choices":[{"index":0,"text":"y","logprobs":{"tokens":["y"]}}]}`},
			`{"id":"a","object":"text_completion","created":0,"model":"","choices":[{"index":0,"text":"xy","finish_reason":null,"logprobs":{"tokens":["x","y"]}}]}`,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			a := NewAssembler(row.chat)
			for _, event := range row.events {
				require.NoError(t, a.Add(Event{Data: []byte(event)}))
			}
			body, err := a.Answer()
			require.NoError(t, err)
			require.JSONEq(t, row.want, string(body))
		})
	}
}

// TestSlowDialIsNotGivenUp opens a connection that takes longer than the idle timeout, as on a host with little
// processor time. The idle timeout is about the engine, which has not got the request yet.
func TestSlowDialIsNotGivenUp(t *testing.T) {
	engine := standin.New(standin.Settings{})
	server := httptest.NewServer(engine)
	defer server.Close()
	client := New(body.NewBudget(0, 1), func() {})
	transport := client.http.Transport.(*http1.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-time.After(4 * idleTimeout):
		case <-ctx.Done():
		}
		return dial(ctx, network, address)
	}
	stream, err := client.Open(context.Background(), newCall(server.URL), allow)
	require.NoError(t, err)
	text, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, completeText(), text)
	require.NoError(t, stream.Close())
	require.NoError(t, client.Close())
}

// TestEngineThatIsSlowToResumeKeepsItsConnection reads an engine that answers after many idle timeouts and, until then,
// does not answer requests to resume either. The first connection is sound.
func TestEngineThatIsSlowToResumeKeepsItsConnection(t *testing.T) {
	engine := standin.New(standin.Settings{})
	ready := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-ready:
		case <-r.Context().Done():
			return
		}
		if r.Method == http.MethodPost {
			engine.ServeHTTP(w, r)
			return
		}
		<-r.Context().Done()
	}))
	defer server.Close()
	client := New(body.NewBudget(0, 1), func() {})
	time.AfterFunc(20*idleTimeout, func() { close(ready) })
	stream, err := client.Open(context.Background(), newCall(server.URL), allow)
	require.NoError(t, err)
	text, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, completeText(), text)
	require.Len(t, engine.Runs(), 1)
	require.NoError(t, stream.Close())
	server.CloseClientConnections()
	require.NoError(t, client.Close())
}
