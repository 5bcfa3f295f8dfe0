package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/platform/standin"
)

// streamTarget is a small model worker whose events have the size that the sheet of a small deployment allows. It
// stops work when its connection closes or the deadline that it receives has passed.
type streamTarget struct {
	id      string
	server  *http.Server
	address string
	slots   int64
	// running is the number of requests at work.
	running atomic.Int64
	began   atomic.Int64
	// poisonEvents is the number of events of an answer to a prompt with the part that crashes workers after which
	// this one crashes, 0 if no prompt crashes it. crash is called once then.
	poisonEvents int
	crashed      atomic.Bool
	crash        func()
	arrivals     *arrivals
}

// arrivals are the requests with the part that crashes workers that reached a worker.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

type arrival struct {
	request, target string
	at              time.Time
}

func (a *arrivals) add(r arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, r)
}

const (
	// eventBytes is the largest event of the sheet, eventTime the time for its four tokens.
	eventBytes = 300
	eventTime  = 20 * time.Millisecond
	eventSize  = 4
)

// newStreamTarget starts a worker and registers it. prepare, which may be nil, is called before it serves.
func (s *site) newStreamTarget(id string, slots int, prepare func(*streamTarget)) (*streamTarget, error) {
	listener, err := net.Listen("tcp", newIP()+":0")
	if err != nil {
		return nil, err
	}
	t := &streamTarget{id: id, address: listener.Addr().String(), slots: int64(slots)}
	t.server = &http.Server{Handler: t}
	s.addServer(t.server)
	if prepare != nil {
		prepare(t)
	}
	go func() { _ = t.server.Serve(listener) }() // Ends with the case.
	entry, err := json.Marshal(map[string]any{
		"service": "models", "address": t.address, "zone": "a", "version": "1", "slots": slots, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	s.store.Put(headerNames["entry-prefix"]+id, entry)
	return t, nil
}

// ServeHTTP implements http.Handler.
func (t *streamTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set(headerNames["request-id"], r.Header.Get(headerNames["request-id"]))
	if instance := r.Header.Get(headerNames["instance"]); instance != "" && instance != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.running.Add(1) > t.slots {
		t.running.Add(-1)
		header.Set(headerNames["not-executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	t.began.Add(1)
	isPoison := t.poisonEvents > 0 && strings.Contains(r.Header.Get(headerNames["prefix"]), ","+standin.PoisonPart+":")
	if isPoison {
		t.arrivals.add(arrival{r.Header.Get(headerNames["request-id"]), t.id, time.Now()})
	}
	left, _ := strconv.Atoi(r.Header.Get(headerNames["deadline"]))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	_, output, _ := strings.Cut(r.Header.Get(headerNames["tokens"]), ",")
	tokens, _ := strconv.Atoi(output)
	header.Set("Content-Type", "text/event-stream")
	header.Set(headerNames["seal"], t.id+"."+r.Header.Get(headerNames["request-id"]))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for number := after + 1; number <= tokens/eventSize; number++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-deadline:
			panic(http.ErrAbortHandler)
		}
		text := fmt.Sprintf("id: %d\ndata: ", number)
		_ = control.SetWriteDeadline(time.Now().Add(5 * time.Second)) // An answer that is not read for some seconds is cut off.
		if _, err := fmt.Fprint(w, text, strings.Repeat("x", eventBytes-len(text)-2), "\n\n"); err != nil {
			panic(http.ErrAbortHandler)
		}
		if control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		if isPoison && number-after >= t.poisonEvents {
			if t.crashed.CompareAndSwap(false, true) {
				go t.crash()
			}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
}
