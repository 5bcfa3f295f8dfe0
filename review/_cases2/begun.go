package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"redwinglock/platform/standin"
)

const (
	// begunShare is the part of the requests that crash workers, begunRate the number of all requests a second.
	begunShare = 0.05
	begunRate  = 20.0
	// begunEvents is the number of events that a worker writes before it crashes.
	begunEvents = 2
)

// playBegun lets requests come of which one part of the prompt crashes each worker just after it has begun to write
// its answer. Sound requests of the same route, key and first part come all the time.
func playBegun(r *record, trouble bool) (int, error) {
	s, err := newSite(r, smallConfig(), []string{"a", "b"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	number := 0
	seen := &arrivals{}
	var add func() error
	add = func() error {
		mu.Lock()
		number++
		id := fmt.Sprintf("i-m%d", number)
		mu.Unlock()
		_, err := s.newStreamTarget(id, 7, func(t *streamTarget) {
			t.poisonEvents, t.arrivals = begunEvents, seen
			t.crash = func() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				r.printf("worker %s crashes, crash %d", id, len(crashes))
				mu.Unlock()
				_ = t.server.Close()
				time.AfterFunc(entryTime, func() { s.store.Delete(headerNames["entry-prefix"] + id) })
				time.AfterFunc(downTime, func() { _ = add() })
			}
		})
		return err
	}
	for range poisonTargets {
		if err := add(); err != nil {
			return exitNotRun, err
		}
	}
	if err := s.startAll(); err != nil {
		return exitNotRun, err
	}
	sound := &standin.Kind{
		Name: "sound", Execution: "stream", Service: "models", PromptTokens: 543, OutputTokens: 60, Deadline: 15 * time.Second,
		Host: "a.example", Path: "/explain/x", Key: "key-1",
	}
	poison := *sound
	poison.Name, poison.Part = "poison", standin.PoisonPart
	var directories []string
	for _, h := range s.hosts {
		directories = append(directories, h.directory)
	}
	callers := standin.NewCallers(uint64(os.Getpid()), directories, func(address string) string { return address })
	callers.TokensPerEvent = eventSize
	defer callers.Close()
	if !until(20*time.Second, func() bool {
		return callers.SendTo(context.Background(), sound, s.hosts[0].callers, 5*time.Second, 0).Succeeded()
	}) {
		return exitNotRun, errors.New("the hosts do not serve")
	}
	var sending sync.WaitGroup
	send := func(k *standin.Kind, rate float64, end time.Time) {
		sending.Go(func() {
			for time.Now().Before(end) {
				sending.Go(func() { callers.SendWithRetry(context.Background(), k, 0) })
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		})
	}
	poisonFrom := time.Now().Add(calmTime)
	end := poisonFrom.Add(poisonTime)
	send(sound, begunRate*(1-begunShare), end)
	time.Sleep(calmTime)
	if trouble {
		r.printf("from now on, %.0f of 100 requests have the part %s", begunShare*100, standin.PoisonPart)
		send(&poison, begunRate*begunShare, end)
	}
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range seen.all {
		if len(crashes) >= freeCrashes && a.at.After(crashes[freeCrashes-1].Add(contact)) {
			late++
			r.printf("request %s with the part reaches %s, %.2f s after the fifth crash", a.request, a.target, a.at.Sub(crashes[freeCrashes-1]).Seconds())
		}
	}
	sent, begun, cut := 0, 0, 0
	for _, a := range callers.Attempts() {
		if a.Kind.Name != "sound" || a.Sent.Before(poisonFrom) {
			continue
		}
		sent++
		if len(a.Events) > 0 {
			begun++
		}
		if len(a.Events) > 0 && !a.Whole {
			cut++
		}
	}
	r.printf("crashes: %d; requests with the part that reached workers: %d, of them later than the contact time after the fifth crash: %d", len(crashes), len(seen.all), late)
	r.printf("sound requests beside them: %d sent, %d begun, %d of these cut", sent, begun, cut)
	if late > freeArrivals {
		return exitBroken, nil
	}
	return exitHeld, nil
}
