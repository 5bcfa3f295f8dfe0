package main

import (
	"errors"
	"net"
	"sync"
	"time"
)

// turnedAway is how long the store turns one host away.
const turnedAway = 9 * time.Second

// playJoin stops and starts a host in a planned way. As it starts, the store begins to turn this host away; it serves
// the others. Callers that keep the address of the host send requests to it. A moment later the host is stopped in a
// planned way once more.
func playJoin(r *record, trouble bool) (int, error) {
	s, err := newSite(r, smallConfig(), []string{"a", "a", "b", "b", "c", "c"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	if err := s.addSmallTargets(800, 4); err != nil {
		return exitNotRun, err
	}
	if err := s.startAll(); err != nil {
		return exitNotRun, err
	}
	if !s.warmUp() {
		return exitNotRun, errors.New("the hosts do not serve")
	}
	time.Sleep(4 * time.Second)
	h := s.hosts[0]
	s.stopHost(h)
	if trouble {
		h.storeFault.Store(storeBusy)
		r.printf("from now on the store answers 503 to %s and serves the others", h.name)
	}
	began := time.Now()
	if err := s.startHost(h); err != nil {
		return exitNotRun, err
	}
	if !until(5*time.Second, h.accepts) {
		return exitNotRun, errors.New("the host accepts no connection")
	}
	r.printf("%s accepts connections, %.2f s after its start", h.name, time.Since(began).Seconds())
	var mu sync.Mutex
	var results []result
	var callers sync.WaitGroup
	for n := range 12 {
		c := call{id: newID(), method: "POST", hostName: "a.example", path: "/slow-confirm/x", key: "key-1", deadline: 15 * time.Second, body: "x"}
		if n%2 == 0 {
			c = call{id: newID(), method: "GET", hostName: "a.example", path: "/slow/x", key: "key-1", deadline: 15 * time.Second}
		}
		callers.Go(func() {
			got := c.send(h.callers)
			r.printf("caller, %s: %v", c.path, got)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		})
		time.Sleep(50 * time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stopHost(h)
	}()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for ready := false; ; time.Sleep(250 * time.Millisecond) {
			select {
			case <-stopped:
				return
			default:
			}
			if now := h.isReady(); now != ready {
				ready = now
				r.printf("%s answers the readiness check with 200: %v", h.name, ready)
			}
		}
	}()
	if trouble {
		time.Sleep(max(turnedAway-time.Since(began), 0))
		h.storeFault.Store(storeServes)
		r.printf("the store serves %s again, %.1f s after it began to turn it away", h.name, time.Since(began).Seconds())
	}
	callers.Wait()
	<-stopped
	<-watched
	ran := map[string]bool{}
	for _, run := range s.ledger.Runs() {
		ran[run.RequestID] = true
	}
	broken, answered := 0, 0
	for _, got := range results {
		if got.closed && got.ended.Sub(got.sent) > lossSlack {
			broken++
			r.printf("request %s was closed without an answer; a target has run it: %v", got.id, ran[got.id])
			continue
		}
		answered++
	}
	r.printf("requests: %d closed without an answer by the host, %d others", broken, answered)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// lossSlack is the bound loss_slack_ms of a small deployment.
const lossSlack = 200 * time.Millisecond

// accepts reports whether the host accepts connections of callers.
func (h *host) accepts() bool {
	conn, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
