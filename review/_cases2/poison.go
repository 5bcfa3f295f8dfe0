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
	// poisonTargets is the number of targets of the model service.
	poisonTargets = 18
	// poisonShare is the part of the requests of the service that have the part that crashes targets.
	poisonShare = 0.35
	// calmTime is the time before the first request with the part that crashes targets, poisonTime the time in which
	// such requests come.
	calmTime   = 8 * time.Second
	poisonTime = 30 * time.Second
	// downTime is the time from the crash of a target until it is back, entryTime that until the entry of the crashed
	// one is removed: three heartbeats.
	downTime  = 3 * time.Second
	entryTime = 3600 * time.Millisecond
	// contact is the bound contact_ms.
	contact = 3 * time.Second
	// freeCrashes and freeArrivals are the numbers in the rule.
	freeCrashes, freeArrivals = 5, 3
)

// fleet restarts targets that crash.
type fleet struct {
	*site
	mu      sync.Mutex
	crashes []time.Time
	number  int
	closed  bool
	restart sync.WaitGroup
	// down is the time from the crash of a target until it is back.
	down time.Duration
}

// close stops the restarts.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.restart.Wait()
}

func (f *fleet) add() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.number++
	spec := standin.TargetSpec{
		ID: fmt.Sprintf("i-m%d", f.number), Service: "models", Zone: []string{"a", "b"}[f.number%2], Slots: 7, Queue: 42,
		Engine: &standin.EngineSpec{Step: 5 * time.Millisecond, PromptTokensPerMS: 49.6, TokensPerEvent: 4},
	}
	target, err := standin.NewTarget(spec, newIP()+":0", f.store, f.ledger)
	if err != nil {
		return err
	}
	f.targets = append(f.targets, target)
	target.OnPoison(func() { f.crash(target) })
	target.Register(target.Address())
	return nil
}

func (f *fleet) crash(target *standin.Target) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	number := len(f.crashes)
	f.mu.Unlock()
	f.printf("target %s crashes, crash %d", target.ID, number)
	f.restart.Go(func() {
		_ = target.Close()
		time.AfterFunc(entryTime, target.Leave)
		time.Sleep(f.down)
		if err := f.add(); err != nil {
			f.printf("target not started again: %v", err)
		}
	})
}

func (f *fleet) fifthCrash() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < freeCrashes {
		return time.Time{}
	}
	return f.crashes[freeCrashes-1]
}

// playPoison lets requests come of which one part of the prompt crashes each target that begins to answer it. Sound
// requests of the same route, key and first part come all the time.
func playPoison(r *record, trouble bool) (int, error) {
	s, err := newSite(r, smallConfig(), []string{"a", "b"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	f := &fleet{site: s, down: downTime}
	for range poisonTargets {
		if err := f.add(); err != nil {
			return exitNotRun, err
		}
	}
	defer f.close()
	if err := s.startAll(); err != nil {
		return exitNotRun, err
	}
	const perSecond = 20.0
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
	callers.TokensPerEvent = 4
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
	begin := time.Now()
	soundRate := perSecond * (1 - poisonShare)
	poisonFrom := begin.Add(calmTime)
	end := poisonFrom.Add(poisonTime)
	send(sound, soundRate, end)
	time.Sleep(calmTime)
	if trouble {
		r.printf("from now on, %.0f of 100 requests have the part %s", poisonShare*100, standin.PoisonPart)
		send(&poison, perSecond*poisonShare, end)
	}
	sending.Wait()
	return f.judgePoison(callers, poisonFrom, trouble)
}

// judgePoison checks the two rules on parts of prompts that crash workers.
func (f *fleet) judgePoison(callers *standin.Callers, poisonFrom time.Time, trouble bool) (int, error) {
	runs := f.ledger.Runs()
	attempts := map[string]*standin.Attempt{}
	for _, a := range callers.Attempts() {
		attempts[a.ID] = a
	}
	fifth := f.fifthCrash()
	f.printf("crashes: %d", len(f.crashes))
	late, cut := 0, 0
	for _, run := range runs {
		if run.Poison && !fifth.IsZero() && run.Arrived.After(fifth.Add(contact)) {
			late++
			f.printf("request %s with the part arrives at %s, %.2f s after the fifth crash", run.RequestID, run.Target, run.Arrived.Sub(fifth).Seconds())
		}
	}
	count := func(from, to time.Time) (sent, begun int) {
		for _, a := range callers.Attempts() {
			if a.Kind.Name != "sound" || a.Sent.Before(from) || !a.Sent.Before(to) {
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
		return sent, begun
	}
	calmSent, calmBegun := count(poisonFrom.Add(-calmTime+time.Second), poisonFrom)
	from := poisonFrom.Add(2 * contact)
	if !fifth.IsZero() {
		from = fifth.Add(2 * contact)
	}
	cut = 0
	troubleSent, troubleBegun := count(from, poisonFrom.Add(poisonTime))
	f.printf("sound requests in calm: %d sent, %d begun; later than two contact times after the fifth crash: %d sent, %d begun, %d of these cut", calmSent, calmBegun, troubleSent, troubleBegun, cut)
	f.printf("requests with the part that arrived later than the contact time after the fifth crash: %d", late)
	if calmSent < 20 || troubleSent < 20 {
		return exitNotRun, errors.New("too few sound requests")
	}
	lost := float64(troubleBegun)/float64(troubleSent) < 0.5*float64(calmBegun)/float64(calmSent)
	f.printf("LOST broken: %v; BUDGET broken: %v", lost, late > freeArrivals)
	if lost || late > freeArrivals {
		return exitBroken, nil
	}
	return exitHeld, nil
}
