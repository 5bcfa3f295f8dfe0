package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"redwinglock/platform/standin"
)

const (
	// endlessHeads is the number of connections of the uncontrolled clients, and endlessHeadBytes what each of them
	// sends of a head that never ends. It is below the limit of a head.
	endlessHeads     = 300
	endlessHeadBytes = 40 << 10
	// attackTime is how long the uncontrolled clients go on. A connection that is closed is opened again.
	attackTime = 25 * time.Second
)

// smallConfig is a configuration with one plain service and one model service.
func smallConfig() standin.Config {
	return standin.Config{
		Version:  7,
		Services: []standin.Service{{Name: "orders"}, {Name: "models", Engine: &standin.ServiceEngine{Slots: 7}}},
		Routes: []standin.Route{
			{Name: "r-confirm", Host: "a.example", PathPrefix: "/confirm/", Kind: "non_idempotent", TimeoutMS: 800, TargetLatencyMS: 100, Priority: 2, Service: "orders", MaxAttempts: 1},
			{Name: "r-status", Host: "a.example", PathPrefix: "/status/", Kind: "idempotent", TimeoutMS: 800, TargetLatencyMS: 100, Priority: 2, Service: "orders", MaxAttempts: 2},
			{Name: "r-slow", Host: "a.example", PathPrefix: "/slow/", Kind: "idempotent", TimeoutMS: 15000, TargetLatencyMS: 100, Priority: 2, Service: "orders", MaxAttempts: 2},
			{Name: "r-slow-confirm", Host: "a.example", PathPrefix: "/slow-confirm/", Kind: "non_idempotent", TimeoutMS: 15000, TargetLatencyMS: 100, Priority: 2, Service: "orders", MaxAttempts: 1},
			{Name: "r-explain", Host: "a.example", PathPrefix: "/explain/", Kind: "stream", TimeoutMS: 15000, TargetLatencyMS: 300, Priority: 2, Service: "models", MaxAttempts: 2, StreamResume: true, GapTargetMS: 200},
			{Name: "r-quote", Host: "a.example", PathPrefix: "/quote/", Kind: "stream", TimeoutMS: 4000, TargetLatencyMS: 400, Priority: 1, Service: "models", MaxAttempts: 1, GapTargetMS: 200},
		},
		Tenants: []standin.Tenant{{Name: "t-1", APIKeys: []string{"key-1"}}, {Name: "t-2", APIKeys: []string{"key-2"}}},
	}
}

// addSmallTargets starts three targets of the plain service and some of the model service.
func (s *site) addSmallTargets(answerBytes, models int) error {
	var errs []error
	for n := range 3 {
		errs = append(errs, s.addTarget(standin.TargetSpec{
			ID: fmt.Sprintf("i-o%d", n), Service: "orders", Zone: "a", Slots: 6, Queue: 24, Work: 15 * time.Millisecond, AnswerBytes: answerBytes,
		}))
	}
	for n := range models {
		errs = append(errs, s.addTarget(standin.TargetSpec{
			ID: fmt.Sprintf("i-m%d", n), Service: "models", Zone: "a", Slots: 7, Queue: 42,
			Engine: &standin.EngineSpec{Step: 5 * time.Millisecond, PromptTokensPerMS: 49.6, TokensPerEvent: 4},
		}))
	}
	return errors.Join(errs...)
}

// statusCall returns a small idempotent request.
func statusCall() call {
	return call{id: newID(), method: "GET", hostName: "a.example", path: "/status/x", key: "key-1", deadline: 1500 * time.Millisecond}
}

// warmUp sends requests until each host serves.
func (s *site) warmUp() bool {
	for _, h := range s.hosts {
		if !until(20*time.Second, func() bool { return statusCall().send(h.callers).status == 200 }) {
			return false
		}
	}
	return true
}

// playHeads lets uncontrolled clients hold connections on each of which a head without end has begun. Ordinary callers
// send small requests meanwhile.
func playHeads(r *record, trouble bool) (int, error) {
	s, err := newSite(r, smallConfig(), []string{"a"})
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
	h := s.hosts[0]
	if !s.warmUp() {
		return exitNotRun, errors.New("the hosts do not serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	if trouble {
		part := "GET /status/x HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("a: "+strings.Repeat("b", 60)+"\r\n", endlessHeadBytes/65)
		r.printf("%d clients begin heads that never end; each has sent %d bytes", endlessHeads, len(part))
		for range endlessHeads {
			clients.Go(func() { holdHead(h.callers, part, stop) })
		}
		time.Sleep(2 * time.Second)
	}
	answered, lost := 0, 0
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(attackTime)
	for range 8 {
		callers.Go(func() {
			for time.Now().Before(end) {
				got := statusCall().send(h.callers)
				r.printf("ordinary caller: %v", got)
				mu.Lock()
				if got.status == 200 && got.whole {
					answered++
				} else {
					lost++
				}
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	r.printf("the host says that it is ready: %v; its peak memory: %d KB", h.isReady(), h.residentPeakKB())
	close(stop)
	clients.Wait()
	r.printf("ordinary requests: %d answered, %d not answered", answered, lost)
	if lost > answered {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// holdHead keeps a connection open on which a head has begun, and sends a further line each second. It opens a new one
// when the host has closed it.
func holdHead(address, part string, stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			_, err = io.WriteString(conn, part)
			for err == nil {
				buffer := make([]byte, 1)
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				if _, readErr := conn.Read(buffer); readErr != nil && !isTimeout(readErr) {
					break
				}
				select {
				case <-stop:
					conn.Close()
					return
				default:
				}
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
				_, err = io.WriteString(conn, "c: d\r\n")
			}
			conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
