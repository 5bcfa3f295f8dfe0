// Package soak runs the real program as separate processes, disturbs them from outside at
// random and checks from what callers and targets see that the promises hold.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/standin/site"
	"redwinglock/platform/standin"
)

// Options are those of one run.
type Options struct {
	// Program is the built redwinglock, Settings the template of its settings.
	Program  string
	Settings string
	// Older is another build with its template, by which half of the hosts begin; see site.Spec.
	Older, OlderSettings string
	Seed                 uint64
	Hosts                int
	Faults               int
	// Lasting is the time in which faults begin.
	Lasting time.Duration
	// Logs is where the logs of a run with broken promises are kept.
	Logs string
}

// Result is that of one run.
type Result struct {
	Broken   []string
	Requests int
	Served   int
	Runs     int
	// Stalls is how often this machine did not run the processes in time.
	Stalls int
}

// soak is one run.
type soak struct {
	options Options
	site    *site.Site
	record  *Record
	callers *standin.Callers
	keepers map[string]*keeper
	// burst is the number of bursts under way.
	burst      atomic.Int32
	background sync.WaitGroup

	mu          sync.Mutex
	inUse       []*site.Target
	targetCount int

	configMu      sync.Mutex
	configVersion int64
}

const (
	// calmTime is the time at the end in which requests must be served.
	calmTime = 3 * time.Second
	// burstFactor is how many times more requests come in a burst.
	burstFactor = 4
	// leaveShare is the part of the callers, one in this many, that leave early.
	leaveShare = 25
	// probePause is the time between two probes of the configuration of a host.
	probePause = 200 * time.Millisecond
	// stallTime is the longest sleep too long at which this machine counts as undisturbed.
	stallTime  = 250 * time.Millisecond
	stallCheck = 50 * time.Millisecond
)

// Run plays one seed.
func Run(o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "redwinglock-soak")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	s := &soak{options: o, record: newRecord(), keepers: map[string]*keeper{}, configVersion: 1}
	if err := s.start(dir); err != nil {
		return nil, err
	}
	s.play()
	broken, err := s.finish()
	if err != nil {
		return nil, err
	}
	result := &Result{Broken: broken, Requests: len(s.record.attempts), Runs: len(s.record.runs), Stalls: s.record.stalls}
	for _, a := range s.record.attempts {
		if a.Succeeded() {
			result.Served++
		}
	}
	return result, nil
}

func (s *soak) start(dir string) error {
	first := configuration(s.configVersion)
	var err error
	s.site, err = site.New(site.Spec{
		Program: s.options.Program, Settings: s.options.Settings, Older: s.options.Older, OlderSettings: s.options.OlderSettings, Dir: dir, Hosts: s.options.Hosts, Config: first,
		Bounds: site.Bounds{QuotaWindow: quotaWindow, QuotaOverage: quotaOverage, QuotaSlack: quotaSlack, RepeatSlack: repeatSlack},
	})
	if err != nil {
		return err
	}
	s.record.noteVersion(version{number: first.Version, path: probePath(first.Version), acked: time.Now()})
	s.record.tokensPerEvent = eventTokens
	s.record.accounts = map[string]string{mainKey: mainAccount, tightKey: tight}
	s.record.limits = map[string]limit{tight: tightLimit}
	for _, r := range first.Routes {
		s.record.routes[r.PathPrefix+"x"] = r
	}
	for _, spec := range targetSpecs() {
		s.addTarget(spec)
	}
	for _, h := range s.site.Hosts {
		s.keepers[h.Name] = newKeeper(h, s.record)
	}
	s.callers = standin.NewCallers(s.options.Seed, s.site.Directories(), s.site.Dial)
	return nil
}

// play runs the load with the planned faults, then without.
func (s *soak) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(len(kinds))))
	for _, k := range fillIn(kinds) {
		seed := random.Uint64()
		load.Go(func() { s.send(ctx, k, rand.New(rand.NewPCG(seed, seed))) })
	}
	for _, h := range s.site.Hosts {
		load.Go(func() { s.probe(ctx, h) })
	}
	load.Go(func() { s.watchStalls(ctx) })
	began := time.Now()
	for _, f := range drawPlan(s.options.Seed, s.options.Faults, s.options.Lasting) {
		time.Sleep(time.Until(began.Add(f.at)))
		s.background.Go(func() { s.inject(f) })
	}
	s.background.Wait()
	s.awaitRecovery()
	s.record.calmFrom = time.Now()
	time.Sleep(calmTime)
	cancel()
	load.Wait()
}

// awaitRecovery waits until all hosts are ready again, for as long as recovery may take.
func (s *soak) awaitRecovery() {
	deadline := time.Now().Add(recoverTime)
	for time.Now().Before(deadline) {
		ready := 0
		for _, h := range s.site.Hosts {
			if h.IsReady() && len(h.Addresses()) == len(s.site.Hosts) {
				ready++
			}
		}
		if ready == len(s.site.Hosts) {
			time.Sleep(contactTime)
			return
		}
		time.Sleep(probePause)
	}
	s.record.noteFault("hosts are not ready again after the last fault")
}

// finish ends the site and checks the promises.
func (s *soak) finish() ([]string, error) {
	for _, k := range s.keepers {
		k.close()
	}
	err := errors.Join(s.callers.Close(), s.site.Close())
	if err != nil {
		return nil, fmt.Errorf("end the site: %w", err)
	}
	s.record.attempts = s.callers.Attempts()
	s.record.runs = s.site.Ledger.Runs()
	broken := s.record.Check()
	if len(broken) > 0 && s.options.Logs != "" {
		if err := s.keepLogs(broken); err != nil {
			return nil, err
		}
	}
	return broken, nil
}

// keepLogs writes what broke, the plan and the logs of all hosts.
func (s *soak) keepLogs(broken []string) error {
	dir := filepath.Join(s.options.Logs, fmt.Sprintf("seed-%d", s.options.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("keep logs: %w", err)
	}
	var plan strings.Builder
	for _, f := range drawPlan(s.options.Seed, s.options.Faults, s.options.Lasting) {
		fmt.Fprintln(&plan, f)
	}
	text := strings.Join(broken, "\n") + "\n\n" + plan.String()
	errs := []error{os.WriteFile(filepath.Join(dir, "broken.txt"), []byte(text), 0o644)}
	for _, h := range s.site.Hosts {
		errs = append(errs, os.WriteFile(filepath.Join(dir, h.Name+".log"), []byte(h.Log()), 0o644))
	}
	return errors.Join(errs...)
}

// send sends requests of one kind at random times until ctx ends, and waits for them.
func (s *soak) send(ctx context.Context, k *standin.Kind, random *rand.Rand) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		rate := k.PerSecond
		if s.burst.Load() > 0 {
			rate *= burstFactor
		}
		select {
		case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		var leave time.Duration
		if random.IntN(leaveShare) == 0 {
			leave = time.Duration(1+random.IntN(300)) * time.Millisecond
		}
		requests.Go(func() { s.callers.SendWithRetry(context.WithoutCancel(ctx), k, leave) })
	}
}

// probe asks one host for the newest route and the one before it, until ctx ends.
func (s *soak) probe(ctx context.Context, h *site.Host) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		time.Sleep(probePause)
		s.record.mu.Lock()
		newest := s.record.versions[max(len(s.record.versions)-2, 0):]
		s.record.mu.Unlock()
		for _, v := range newest {
			k := &standin.Kind{Name: probeKind, Execution: "idempotent", Service: services, Deadline: time.Second, Host: callersHost, Path: v.path, Key: mainKey}
			requests.Go(func() { s.callers.SendTo(context.WithoutCancel(ctx), k, h.Callers, k.Deadline, 0) })
		}
	}
}

// watchStalls notes when this machine did not run its processes in time: then no process of
// the site counts as undisturbed.
func (s *soak) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallCheck)
		if time.Since(before) < stallCheck+stallTime {
			continue
		}
		s.record.mu.Lock()
		stall := span{from: before, to: time.Now()}
		s.record.store = append(s.record.store, stall)
		for _, h := range s.site.Hosts {
			s.record.hosts[h.Callers] = append(s.record.hosts[h.Callers], stall)
		}
		s.record.stalls++
		s.record.mu.Unlock()
	}
}
