// Package store is an in-memory stand-in for the platform's key-value service. It serves the
// part of the etcd v3 JSON gateway that redwinglock uses.
package store

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault describes how the store fails.
type Fault struct {
	// Down rejects all calls with status 503.
	Down bool
	// LoseAnswers applies writes but aborts the connection instead of answering them.
	LoseAnswers bool
	// Delay delays each call.
	Delay time.Duration
}

// Store is an in-memory store. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	values   map[string]value
	revision int64
	leases   int64
	changed  chan struct{}
	fault    Fault
	calls    map[string]int
}

type value struct {
	data        []byte
	modRevision int64
}

// New creates an empty store.
func New() *Store {
	return &Store{values: map[string]value{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFault sets the faults of the next calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

type jsonNumber int64

// UnmarshalJSON implements json.Unmarshaler. Like the etcd gateway, it accepts a number and a
// string with a number.
func (n *jsonNumber) UnmarshalJSON(text []byte) error {
	if unquoted, err := strconv.Unquote(string(text)); err == nil {
		text = []byte(unquoted)
	}
	parsed, err := strconv.ParseInt(string(text), 10, 64)
	*n = jsonNumber(parsed)
	return err
}

type (
	keyOnly struct {
		Key []byte `json:"key"`
	}
	put struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	}
	op struct {
		Range  *keyOnly `json:"request_range"`
		Put    *put     `json:"request_put"`
		Delete *keyOnly `json:"request_delete_range"`
	}
	txn struct {
		Compare []struct {
			Key         []byte     `json:"key"`
			ModRevision jsonNumber `json:"mod_revision"`
		} `json:"compare"`
		Success []op `json:"success"`
		Failure []op `json:"failure"`
	}
	keyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value"`
		ModRevision string `json:"mod_revision"`
	}
	rangeResponse struct {
		KVs []keyValue `json:"kvs,omitempty"`
	}
	opResponse struct {
		Range *rangeResponse `json:"response_range,omitempty"`
	}
	txnResponse struct {
		Succeeded bool         `json:"succeeded"`
		Responses []opResponse `json:"responses"`
	}
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	time.Sleep(fault.Delay)
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v3/kv/txn":
		s.serveTxn(w, r, fault)
	case "/v3/lease/grant":
		s.mu.Lock()
		s.leases++
		id := s.leases
		s.mu.Unlock()
		respond(w, map[string]string{"ID": strconv.FormatInt(id, 10)})
	case "/v3/watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request, fault Fault) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, wrote := s.apply(t)
	if wrote && fault.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	respond(w, response)
}

func (s *Store) apply(t txn) (txnResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := txnResponse{Succeeded: true, Responses: []opResponse{}}
	for _, c := range t.Compare {
		if s.values[string(c.Key)].modRevision != int64(c.ModRevision) {
			response.Succeeded = false
		}
	}
	ops := t.Success
	if !response.Succeeded {
		ops = t.Failure
	}
	wrote := false
	for _, o := range ops {
		var answer opResponse
		switch {
		case o.Range != nil:
			answer.Range = s.read(o.Range.Key)
		case o.Put != nil:
			wrote = true
			s.values[string(o.Put.Key)] = value{o.Put.Value, s.revision + 1}
		case o.Delete != nil:
			wrote = true
			delete(s.values, string(o.Delete.Key))
		}
		response.Responses = append(response.Responses, answer)
	}
	if wrote {
		s.revision++
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return response, wrote
}

func (s *Store) read(key []byte) *rangeResponse {
	stored, ok := s.values[string(key)]
	if !ok {
		return &rangeResponse{}
	}
	return &rangeResponse{KVs: []keyValue{{key, stored.data, strconv.FormatInt(stored.modRevision, 10)}}}
}

// serveWatch sends an event for each change of the watched key. Changes in quick succession may
// share one event.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Create keyOnly `json:"create_request"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	control := http.NewResponseController(w)
	_, _ = w.Write([]byte(`{"result":{"created":true}}` + "\n"))
	_ = control.Flush()
	s.mu.Lock()
	last := s.values[string(request.Create.Key)].modRevision
	s.mu.Unlock()
	for {
		s.mu.Lock()
		current := s.values[string(request.Create.Key)].modRevision
		changed := s.changed
		s.mu.Unlock()
		if current != last {
			last = current
			if _, err := w.Write([]byte(`{"result":{"events":[{}]}}` + "\n")); err != nil {
				return
			}
			_ = control.Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func respond(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
