package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwinglock/platform/standin"
)

const (
	// draftBytes is the size of a request, just under max_body_bytes of the configuration.
	draftBytes = 4194304 - 1024
	// draftsPerSecond is the usual rate at one machine, burstFactor how much it rises.
	draftsPerSecond = 6
	burstFactor     = 2.5
	burstFrom       = 3 * time.Second
	burstFor        = 6 * time.Second
	// firstEvent is the time to the first event of an answer, within the objective. The others follow at draftGap.
	firstEvent    = 400 * time.Millisecond
	draftEvents   = 40
	draftGap      = 50 * time.Millisecond
	draftDeadline = 15 * time.Second
	engineWorkers = 6
	engineSlots   = 7

	// keptConnections is the number of connections that clients have used before and keep.
	keptConnections = 80

	burstDuration = 12 * time.Second
	// maxLostOnKept is the number of requests of kept connections that may be lost.
	maxLostOnKept = 3
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 10 * time.Millisecond
)

// runBurst lets many clients send large prompts at once. The platform ends a process that needs more memory than its
// machine has.
func runBurst(l *lab) error {
	var runs ledger
	for n := range engineWorkers {
		if err := l.startWorker(fmt.Sprint("i-", n+1), "engines", engineSlots, &runs, respondEvents); err != nil {
			return err
		}
	}
	l.store.Configure(standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{
				Name: "r-draft", Host: callerHost, PathPrefix: "/draft/", Kind: "stream", TimeoutMS: draftDeadline.Milliseconds(), TargetLatencyMS: 500, GapTargetMS: 200,
				Priority: 0, Service: "engines", MaxAttempts: 1,
			},
			{Name: "r-status", Host: callerHost, PathPrefix: "/status/", Kind: "idempotent", TimeoutMS: 800, TargetLatencyMS: 100, Priority: 1, Service: "engines", MaxAttempts: 1},
		},
		Services: []standin.Service{{Name: "engines", Engine: &standin.ServiceEngine{Slots: engineSlots}}},
		Tenants:  []standin.Tenant{{Name: "tenant-1", APIKeys: []string{callerKey}}},
	})
	if err := l.startHosts(1); err != nil {
		return err
	}
	h := l.hosts[0]
	kept, err := openConnections(h)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { l.endAboveMemory(h, ended) })
	answers := l.sendDrafts(h, kept)
	close(ended)
	watch.Wait()
	return l.checkLost(answers, runs.all())
}

// openConnections opens the connections that clients keep, and uses each of them once.
func openConnections(h *host) (chan *connection, error) {
	kept := make(chan *connection, keptConnections)
	for n := range keptConnections {
		c, err := connect(h)
		if err != nil {
			return nil, err
		}
		a := c.send(&clientRequest{id: fmt.Sprintf("f%015x", n), method: http.MethodGet, path: "/status/7", deadline: time.Second})
		if a.err != nil || a.status != http.StatusOK {
			return nil, fmt.Errorf("first request of a connection: %s", a.String())
		}
		kept <- c
	}
	return kept, nil
}

// checkLost checks the rule LOST: what came on a kept connection and was passed on to a worker is answered.
func (l *lab) checkLost(answers map[string]clientAnswer, runs []run) error {
	hasRun := map[string]bool{}
	for _, r := range runs {
		hasRun[r.id] = true
	}
	lost, partial, refused := 0, 0, 0
	for _, id := range slices.Sorted(maps.Keys(answers)) {
		a := answers[id]
		l.record("request %s, run by a worker: %v, answered with %s", id, hasRun[id], a.String())
		switch {
		case a.err == nil && a.status != http.StatusOK:
			refused++
		case a.err == nil || !hasRun[id]:
		case a.status == 0:
			lost++
			l.record("lost: request %s was passed on to a worker, and its kept connection ended without an answer", id)
		default:
			partial++
		}
	}
	l.record("%d requests sent, %d refused, %d passed on and ended in the answer, %d passed on and ended without an answer", len(answers), refused, partial, lost)
	if lost > maxLostOnKept {
		return fmt.Errorf("LOST: %d requests: %w", lost, errBroken)
	}
	return nil
}

// respondEvents answers with a stream of events.
func respondEvents(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/draft/") {
		respondOK(w, r)
		return
	}
	time.Sleep(firstEvent)
	seal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range draftEvents {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 45)); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		time.Sleep(draftGap)
	}
}

// endAboveMemory kills a process as the platform does: when it needs more memory than the machine has.
func (l *lab) endAboveMemory(h *host, ended <-chan struct{}) {
	highest := 0
	defer func() { l.record("%s needed %d MB at most, its machine has %d MB", h.name, highest, memoryMB) }()
	for {
		select {
		case <-ended:
			return
		case <-h.ended:
			return
		case <-time.After(memoryInterval):
		}
		used := residentMB(h.command.Process.Pid)
		highest = max(highest, used)
		if used > memoryMB {
			l.record("%s needs %d MB: the platform ends it", h.name, used)
			_ = h.signal(syscall.SIGKILL) // It may have ended.
			return
		}
	}
}

// residentMB returns the memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(content) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// sendDrafts sends large prompts on kept connections and returns the answers.
func (l *lab) sendDrafts(h *host, kept chan *connection) map[string]clientAnswer {
	body := bytes.Repeat([]byte("x"), draftBytes)
	answers := map[string]clientAnswer{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	started := time.Now()
	for n := 1; time.Since(started) < burstDuration && !h.hasEnded(); n++ {
		c := <-kept
		clients.Go(func() {
			r := &clientRequest{id: fmt.Sprintf("%016x", n), method: http.MethodPost, path: "/draft/7", deadline: draftDeadline, body: body, header: map[string]string{names.Tokens: "2890,160", names.Model: "m"}}
			a := c.send(r)
			kept <- c
			mu.Lock()
			defer mu.Unlock()
			answers[r.id] = a
		})
		rate := float64(draftsPerSecond)
		if since := time.Since(started); l.trouble && since > burstFrom && since < burstFrom+burstFor {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	clients.Wait()
	return answers
}
