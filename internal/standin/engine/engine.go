// Package engine is a stand-in for a model engine. It serves the completions API of OpenAI with
// streams that can be resumed and canceled.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings are the properties of an engine.
type Settings struct {
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// NoResume makes the engine send events without ids, reject attempts to resume a stream, and
	// cancel a stream when its client disconnects.
	NoResume bool
}

// Connection describes the connection and the event for which a fault function chooses an Action.
type Connection struct {
	ID    string
	Event int // Number of the next event, counted from 1.
	Nth   int // Number of the connection among those of the stream, counted from 1.
}

// Action is an action of the engine before it sends an event.
type Action int

// The actions.
const (
	Send   Action = iota
	Break         // Abort the connection.
	Hang          // Send nothing more on this connection and keep it open.
	Repeat        // Send the previous event again first.
	Stray         // Send an event of another answer first.
	End           // End the connection as if the answer were complete.
)

// Engine is a stand-in engine. It is an http.Handler.
type Engine struct {
	settings Settings

	mu       sync.Mutex
	streams  map[string]*stream
	runs     map[string]int
	canceled map[string]bool
	fault    func(Connection) Action
	reject   int
	// release is not nil while new answers are held; closing it releases them.
	release chan struct{}
}

type stream struct {
	id          string
	chat        bool
	model       string
	prompt      int
	events      [][]byte
	finished    bool
	canceled    bool
	connections int
	changed     chan struct{}
}

// New creates an engine.
func New(s Settings) *Engine {
	return &Engine{settings: s, streams: map[string]*stream{}, runs: map[string]int{}, canceled: map[string]bool{}}
}

// SetFault sets the function that decides what happens before each event.
func (e *Engine) SetFault(fault func(Connection) Action) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// SetReject makes the engine reject all requests with the given status. 0 accepts requests again.
func (e *Engine) SetReject(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reject = status
}

// Hold delays new answers until Release is called.
func (e *Engine) Hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release = make(chan struct{})
}

// Release starts the held answers.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.release != nil {
		close(e.release)
		e.release = nil
	}
}

// Runs returns the number of runs by request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// Canceled reports whether the stream with the id was canceled.
func (e *Engine) Canceled(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled[id]
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, isStream := strings.CutPrefix(r.URL.Path, "/v1/streams/")
	switch {
	case r.URL.Path == "/standin/runs":
		_ = json.NewEncoder(w).Encode(e.Runs())
	case r.URL.Path == "/standin/hold":
		e.Hold()
	case r.URL.Path == "/standin/release":
		e.Release()
	case isStream && r.Method == http.MethodDelete:
		e.cancel(id)
	case isStream:
		e.resume(w, r, id)
	case strings.HasSuffix(r.URL.Path, "/completions"):
		e.start(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled[id] = true
	if s := e.streams[id]; s != nil {
		s.canceled = true
		s.notify()
		delete(e.streams, id)
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil || e.settings.NoResume {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		http.Error(w, "Last-Event-ID: not a number", http.StatusBadRequest)
		return
	}
	e.serve(w, r, s, after)
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Model     string          `json:"model"`
		MaxTokens int             `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
		Prompt    json.RawMessage `json:"prompt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, `{"error":{"message":"body is not JSON"}}`, http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	reject := e.reject
	e.mu.Unlock()
	if reject != 0 {
		w.WriteHeader(reject)
		_, _ = w.Write([]byte(`{"error":{"message":"rejected by the engine","type":"invalid_request_error"}}`))
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = 16
	}
	id := r.Header.Get("X-Request-Id")
	s := &stream{
		id:      id,
		chat:    strings.Contains(r.URL.Path, "/chat/"),
		model:   request.Model,
		prompt:  (len(request.Messages)+len(request.Prompt))/4 + 1,
		changed: make(chan struct{}),
	}
	e.mu.Lock()
	e.runs[id]++
	e.streams[id] = s
	e.mu.Unlock()
	go e.generate(s, request.MaxTokens)
	e.serve(w, r, s, 0)
}

// generate produces the events of an answer, independent of its connections.
func (e *Engine) generate(s *stream, tokens int) {
	e.mu.Lock()
	release := e.release
	e.mu.Unlock()
	if release != nil {
		<-release
	}
	time.Sleep(time.Duration(s.prompt) * e.settings.PrefillPerToken)
	for i := range tokens {
		if i > 0 {
			time.Sleep(e.settings.DecodePerToken)
		}
		if !e.appendEvent(s, s.token(i, i == tokens-1)) {
			return
		}
	}
	usage := fmt.Sprintf(`{"id":"answer-%s","model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		s.id, s.model, s.prompt, tokens, s.prompt+tokens)
	e.appendEvent(s, []byte(usage))
	e.mu.Lock()
	defer e.mu.Unlock()
	s.finished = true
	s.notify()
}

func (e *Engine) appendEvent(s *stream, event []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.canceled {
		return false
	}
	s.events = append(s.events, event)
	s.notify()
	return true
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) token(i int, last bool) []byte {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	text := fmt.Sprintf("t%d ", i)
	if s.chat {
		return fmt.Appendf(nil, `{"id":"answer-%s","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}]}`,
			s.id, s.model, text, finish)
	}
	return fmt.Appendf(nil, `{"id":"answer-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`,
		s.id, s.model, text, finish)
}

// serve sends the events of a stream on one connection, starting with the one after the given
// number.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	e.mu.Lock()
	s.connections++
	nth := s.connections
	fault := e.fault
	e.mu.Unlock()
	for {
		e.mu.Lock()
		events, finished, canceled, changed := s.events, s.finished, s.canceled, s.changed
		e.mu.Unlock()
		for ; after < len(events); after++ {
			if fault != nil && !e.applyFault(w, r, s, events, after, fault(Connection{s.id, after + 1, nth})) {
				return
			}
			e.writeEvent(w, after+1, events[after])
		}
		_ = control.Flush()
		if finished && after == len(events) {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		if canceled {
			return
		}
		select {
		case <-r.Context().Done():
			if e.settings.NoResume {
				e.cancel(s.id)
			}
			return
		case <-changed:
		}
	}
}

// applyFault performs an action and reports whether the connection continues.
func (e *Engine) applyFault(w http.ResponseWriter, r *http.Request, s *stream, events [][]byte, i int, action Action) bool {
	switch action {
	case Send:
	case End:
		return false
	case Break:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case Hang:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return false
	case Repeat:
		if i > 0 {
			e.writeEvent(w, i, events[i-1])
		}
	case Stray:
		other := strings.Replace(string(events[i]), s.id, "other", 1)
		e.writeEvent(w, i+1, []byte(other))
	}
	return true
}

func (e *Engine) writeEvent(w http.ResponseWriter, id int, event []byte) {
	if !e.settings.NoResume {
		fmt.Fprintf(w, "id: %d\n", id)
	}
	fmt.Fprintf(w, "data: %s\n\n", event)
}
