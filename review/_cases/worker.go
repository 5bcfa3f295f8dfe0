package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a worker has run.
type run struct {
	worker, id, method string
	// target is the request target as the worker received it.
	target string
	// path and query are what the worker takes from it, host is the host that it was asked for.
	path, query, host string
	// job is what the client asks for, which its retries have in common.
	job string
	at  time.Time
}

// ledger holds what all workers have run.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns all runs.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// worker is a stand-in for a worker. It runs each request that names it.
type worker struct {
	id string
	// respond writes the answer to a request that the worker runs.
	respond func(w http.ResponseWriter, r *http.Request)
	ledger  *ledger
}

// headerJob names what a request asks for. Headers that the platform does not know are passed on.
const headerJob = "Job"

// startWorker starts a worker and registers it.
func (l *lab) startWorker(id, service string, slots int, runs *ledger, respond func(http.ResponseWriter, *http.Request)) error {
	listener, err := net.Listen("tcp", l.newIP()+":0")
	if err != nil {
		return fmt.Errorf("listen for worker: %w", err)
	}
	server := &http.Server{Handler: &worker{id, respond, runs}}
	go func() { _ = server.Serve(listener) }() // Ends with Close.
	l.closers = append(l.closers, server.Close)
	return l.register(id, service, listener.Addr().String(), slots)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	writer.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if r.Header.Get(names.Instance) != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The connection was closed before the whole request arrived.
	}
	w.ledger.add(run{
		worker: w.id, id: r.Header.Get(names.RequestID), method: r.Method, target: r.RequestURI,
		path: r.URL.Path, query: r.URL.RawQuery, host: r.Host, job: r.Header.Get(headerJob), at: time.Now(),
	})
	w.respond(writer, r)
}

// seal sets the signature of a worker.
func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Seal, "seal-"+r.Header.Get(names.RequestID))
}

// respondOK answers with status 200.
func respondOK(w http.ResponseWriter, r *http.Request) {
	seal(w, r)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get(names.RequestID)) // The machine may have gone.
}
