package main

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"redwinglock/platform/standin"
)

const (
	// sparseTime is how long requests with the part come, one in each sparsePause.
	sparseTime  = 95 * time.Second
	sparsePause = 5 * time.Second
	// soundPause is the time between two sound requests.
	soundPause = 4 * time.Second
)

// playSparse lets requests come, a few in a minute, of which one part of the prompt crashes each target that begins to
// answer it. The service has little else to do.
func playSparse(r *record, trouble bool) (int, error) {
	s, err := newSite(r, smallConfig(), []string{"a", "b"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	f := &fleet{site: s, down: 4 * time.Second}
	for range poisonTargets {
		if err := f.add(); err != nil {
			return exitNotRun, err
		}
	}
	defer f.close()
	if err := s.startAll(); err != nil {
		return exitNotRun, err
	}
	sound := &standin.Kind{
		Name: "sound", Execution: "stream", Service: "models", PromptTokens: 1800, OutputTokens: 24, Deadline: 4 * time.Second,
		Host: "a.example", Path: "/quote/x", Key: "key-1",
	}
	poison := *sound
	poison.Name, poison.Part = "poison", standin.PoisonPart
	var directories []string
	for _, h := range s.hosts {
		directories = append(directories, h.directory)
	}
	callers := standin.NewCallers(uint64(os.Getpid()), directories, func(address string) string { return address })
	callers.TokensPerEvent = 4
	defer callers.Close()
	if !until(20*time.Second, func() bool {
		return callers.SendTo(context.Background(), sound, s.hosts[0].callers, 4*time.Second, 0).Succeeded()
	}) {
		return exitNotRun, errors.New("the hosts do not serve")
	}
	time.Sleep(4 * time.Second)
	var sending sync.WaitGroup
	sending.Go(func() {
		for end := time.Now().Add(sparseTime); time.Now().Before(end); time.Sleep(soundPause) {
			sending.Go(func() { callers.SendWithRetry(context.Background(), sound, 0) })
		}
	})
	for end := time.Now().Add(sparseTime); time.Now().Before(end); time.Sleep(sparsePause) {
		k := sound
		if trouble {
			k = &poison
		}
		sending.Go(func() {
			a := callers.SendWithRetry(context.Background(), k, 0)
			r.printf("caller of the %s kind: request %s at %s: status %d, %d events, whole %v, %v", k.Name, a.ID, a.Address, a.Status, len(a.Events), a.Whole, a.Err)
		})
	}
	sending.Wait()
	fifth := f.fifthCrash()
	late, arrived := 0, 0
	for _, run := range s.ledger.Runs() {
		if !run.Poison {
			continue
		}
		arrived++
		if !fifth.IsZero() && run.Arrived.After(fifth.Add(contact)) {
			late++
			r.printf("request %s with the part arrives at %s, %.2f s after the fifth crash", run.RequestID, run.Target, run.Arrived.Sub(fifth).Seconds())
		}
	}
	r.printf("requests with the part that arrived at workers: %d, of them later than the contact time after the fifth crash: %d; crashes: %d", arrived, late, len(f.crashes))
	if late > freeArrivals {
		return exitBroken, nil
	}
	return exitHeld, nil
}
