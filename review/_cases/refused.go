package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"redwinglock/platform/standin"
)

const (
	// bookingsPerSecond is the rate of kiln-booking on the sheet, bookingTime the work of one.
	bookingsPerSecond = 24
	bookingTime       = 15 * time.Millisecond
	bookingDeadline   = 1500 * time.Millisecond
	bookingTimeout    = 800
	// ledgerWorkers and ledgerSlots are those of the plain service on the sheet.
	ledgerWorkers = 3
	ledgerSlots   = 6
	// greyFrom and greyFor are when all workers fail a part of their requests, greyPart how many, as on the day
	// trouble-1 of the site file.
	greyFrom = 2 * time.Second
	greyFor  = 4 * time.Second
	greyPart = 0.45

	refusedDuration = 8 * time.Second
	secondPart      = "+" // Ends the id of a client's retry.
)

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// runRefused lets the workers fail a part of the bookings that they run. They say nothing of not having run them.
func runRefused(l *lab) error {
	var runs ledger
	started := time.Now()
	for n := range ledgerWorkers {
		respond := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(bookingTime)
			since := time.Since(started)
			if l.trouble && since > greyFrom && since < greyFrom+greyFor && rand.Float64() < greyPart {
				seal(w, r)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "booked, but the receipt could not be printed")
				return
			}
			respondOK(w, r)
		}
		if err := l.startWorker(fmt.Sprint("i-", n+1), "ledger", ledgerSlots, &runs, respond); err != nil {
			return err
		}
	}
	l.store.Configure(standin.Config{
		Version:  3,
		Routes:   []standin.Route{{Name: "r-booking", Host: callerHost, PathPrefix: "/booking/", Kind: "non_idempotent", TimeoutMS: bookingTimeout, TargetLatencyMS: 100, Priority: 2, Service: "ledger", MaxAttempts: 1}},
		Services: []standin.Service{{Name: "ledger"}},
		Tenants:  []standin.Tenant{{Name: "tenant-1", APIKeys: []string{callerKey}}},
	})
	if err := l.startHosts(2); err != nil {
		return err
	}
	started = time.Now()
	answers := sendBookings(l)
	return checkRefused(l, answers, runs.all())
}

// sendBookings sends bookings at a steady rate. A client sends a booking once more after a promise that it has not run.
func sendBookings(l *lab) map[string]clientAnswer {
	answers := map[string]clientAnswer{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	send := func(n int, id string) clientAnswer {
		r := &clientRequest{id: id, method: http.MethodPost, path: "/booking/7", deadline: bookingDeadline, body: []byte("one blank"), header: map[string]string{headerJob: fmt.Sprint("job-", n)}}
		a := sendOnce(l.hosts[n%len(l.hosts)], r)
		mu.Lock()
		defer mu.Unlock()
		answers[id] = a
		return a
	}
	ticker := time.NewTicker(time.Second / bookingsPerSecond)
	defer ticker.Stop()
	for n := range int(refusedDuration.Seconds() * bookingsPerSecond) {
		<-ticker.C
		clients.Go(func() {
			id := fmt.Sprintf("%016x", n+1)
			if a := send(n, id); a.err == nil && isPromise(a.status) {
				send(n, id+secondPart)
			}
		})
	}
	clients.Wait()
	return answers
}

// checkRefused checks the rule REFUSED: what was answered with a promise has not run.
func checkRefused(l *lab, answers map[string]clientAnswer, runs []run) error {
	runsOf, jobs := map[string][]run{}, map[string]int{}
	for _, r := range runs {
		runsOf[r.id] = append(runsOf[r.id], r)
		jobs[r.job]++
	}
	broken := 0
	for _, id := range slices.Sorted(maps.Keys(answers)) {
		a := answers[id]
		for _, r := range runsOf[id] {
			l.record("request %s (%s) was run by %s", id, r.job, r.worker)
		}
		l.record("request %s was answered with %s", id, a.String())
		if a.err != nil || !isPromise(a.status) || len(runsOf[id]) == 0 {
			continue
		}
		broken++
		l.record("REFUSED broken: request %s has run and was answered with a promise that it has not", id)
	}
	twice := 0
	for _, n := range jobs {
		if n > 1 {
			twice++
		}
	}
	l.record("%d requests sent, %d runs, %d answered with a promise though they had run, %d bookings made twice", len(answers), len(runs), broken, twice)
	if broken > 0 {
		return fmt.Errorf("REFUSED: %d requests: %w", broken, errBroken)
	}
	return nil
}
