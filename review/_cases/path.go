package main

import (
	"fmt"
	"net/http"
	"strings"

	"redwinglock/platform/standin"
)

// runPath sends requests whose path begins with two slashes.
func runPath(l *lab) error {
	var runs ledger
	for n := range ledgerWorkers {
		if err := l.startWorker(fmt.Sprint("i-", n+1), "ledger", ledgerSlots, &runs, respondOK); err != nil {
			return err
		}
	}
	l.store.Configure(standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{Name: "r-all", Host: callerHost, PathPrefix: "/", Kind: "non_idempotent", TimeoutMS: bookingTimeout, TargetLatencyMS: 100, Priority: 2, Service: "ledger", MaxAttempts: 1},
		},
		Services: []standin.Service{{Name: "ledger"}},
		Tenants:  []standin.Tenant{{Name: "tenant-1", APIKeys: []string{callerKey}}},
	})
	if err := l.startHosts(2); err != nil {
		return err
	}
	sent := map[string]string{}
	for n := range 20 {
		path := fmt.Sprintf("/release/blanks/%d?count=1", n)
		if l.trouble {
			path = "/" + path
		}
		r := &clientRequest{id: fmt.Sprintf("%016x", n+1), method: http.MethodPost, path: path, deadline: bookingDeadline, body: []byte("one blank")}
		sent[r.id] = path
		a := sendOnce(l.hosts[n%len(l.hosts)], r)
		l.record("request %s for %s: %s", r.id, path, a.String())
	}
	return checkPath(l, sent, runs.all())
}

// checkPath checks the rule UNASKED: what a worker runs has the path and the query that the client sent.
func checkPath(l *lab, sent map[string]string, runs []run) error {
	broken := 0
	for _, r := range runs {
		path, query, _ := strings.Cut(sent[r.id], "?")
		if r.path == path && r.query == query && r.host == callerHost {
			continue
		}
		broken++
		l.record("request %s was sent for %s at %s, %s ran %s at %s (request target %q)", r.id, sent[r.id], callerHost, r.worker, r.path+"?"+r.query, r.host, r.target)
	}
	l.record("%d requests sent, %d runs, %d with a changed path or host", len(sent), len(runs), broken)
	if broken > 0 {
		return fmt.Errorf("UNASKED: %d requests: %w", broken, errBroken)
	}
	if len(runs) != len(sent) {
		return fmt.Errorf("%d of %d requests were run", len(runs), len(sent))
	}
	return nil
}
