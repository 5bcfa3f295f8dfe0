package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwinglock/platform/standin"
)

const (
	// grace is the time from SIGTERM to SIGKILL, grace_s on the sheets.
	grace = 8 * time.Second
	// excusedUntil is the time after SIGTERM up to which requests are sent that may be cut near the end of the grace time.
	excusedUntil = 3 * time.Second
	// noteTimeout is the timeout of the route, as for packing-note on the sheet. noteDeadline is what a client has left
	// of it in its second attempt.
	noteTimeout  = 4 * time.Second
	noteDeadline = 3600 * time.Millisecond
	// noteEvents events at noteGap take less than noteDeadline.
	noteEvents = 34
	noteGap    = 100 * time.Millisecond
	// sendFrom and sendUntil are when notes are sent, after SIGTERM; sendGap is the time between two of them.
	sendFrom  = 3050 * time.Millisecond
	sendUntil = 3950 * time.Millisecond
	sendGap   = 20 * time.Millisecond
)

// note is a stream that a client has asked for.
type note struct {
	clientAnswer
	sent, ended time.Duration // Since SIGTERM.
}

// runStop stops a machine while clients that still have its address ask for streams.
func runStop(l *lab) error {
	var runs ledger
	for n := range engineWorkers {
		if err := l.startWorker(fmt.Sprint("i-", n+1), "engines", engineSlots, &runs, respondNote); err != nil {
			return err
		}
	}
	l.store.Configure(standin.Config{
		Version: 3,
		Routes: []standin.Route{{
			Name: "r-note", Host: callerHost, PathPrefix: "/note/", Kind: "stream", TimeoutMS: noteTimeout.Milliseconds(), TargetLatencyMS: 400, GapTargetMS: 200,
			Priority: 1, Service: "engines", MaxAttempts: 1,
		}},
		Services: []standin.Service{{Name: "engines", Engine: &standin.ServiceEngine{Slots: engineSlots}}},
		Tenants:  []standin.Tenant{{Name: "tenant-1", APIKeys: []string{callerKey}}},
	})
	if err := l.startHosts(2); err != nil {
		return err
	}
	h := l.hosts[0]
	if l.trouble {
		if err := h.signal(syscall.SIGTERM); err != nil {
			return err
		}
		l.record("SIGTERM sent to %s", h.name)
	}
	stopped := time.Now()
	killer := time.AfterFunc(grace, func() {
		if l.trouble && !h.hasEnded() {
			l.record("the grace time is over: SIGKILL")
			_ = h.signal(syscall.SIGKILL) // It may have ended.
		}
	})
	defer killer.Stop()
	notes := sendNotes(h, stopped)
	return l.checkStop(notes, runs.all())
}

// respondNote answers with a stream.
func respondNote(w http.ResponseWriter, r *http.Request) {
	seal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range noteEvents {
		time.Sleep(noteGap)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 45)); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// sendNotes asks for streams at a steady rate.
func sendNotes(h *host, stopped time.Time) map[string]note {
	notes := map[string]note{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	time.Sleep(sendFrom - time.Since(stopped))
	for n := 1; time.Since(stopped) < sendUntil; n++ {
		clients.Go(func() {
			r := &clientRequest{id: fmt.Sprintf("%016x", n), method: http.MethodPost, path: "/note/7", deadline: noteDeadline, body: []byte("crate 7"), header: map[string]string{names.Tokens: "1800,102", names.Model: "m"}}
			sent := time.Since(stopped)
			a := sendOnce(h, r)
			mu.Lock()
			defer mu.Unlock()
			notes[r.id] = note{a, sent, time.Since(stopped)}
		})
		time.Sleep(sendGap)
	}
	clients.Wait()
	return notes
}

// checkStop checks the rule LOST around a planned stop.
func (l *lab) checkStop(notes map[string]note, runs []run) error {
	hasRun := map[string]bool{}
	for _, r := range runs {
		hasRun[r.id] = true
	}
	lost, whole, refused := 0, 0, 0
	for _, id := range slices.Sorted(maps.Keys(notes)) {
		n := notes[id]
		l.record("request %s, sent %.3f s after SIGTERM, run by a worker: %v, ended %.3f s after SIGTERM, deadline at %.3f s: %s",
			id, n.sent.Seconds(), hasRun[id], n.ended.Seconds(), (n.sent + noteDeadline).Seconds(), n.clientAnswer.String())
		switch {
		case n.err == nil && n.status == http.StatusOK:
			whole++
		case n.err == nil:
			refused++
		case hasRun[id] && n.sent > excusedUntil && n.ended < n.sent+noteDeadline:
			lost++
			l.record("lost: request %s was passed on, and its connection ended before its deadline without a complete answer", id)
		}
	}
	l.record("%d requests sent, %d answered whole, %d refused, %d lost", len(notes), whole, refused, lost)
	if lost > 0 {
		return fmt.Errorf("LOST: %d requests: %w", lost, errBroken)
	}
	return nil
}
