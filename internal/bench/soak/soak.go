// Package soak runs the program as separate processes, injects random faults from outside
// and checks the guarantees of the system against what callers and targets observed.
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

// Options configure one run.
type Options struct {
	// Program is the path of the redwinglock binary, Settings the template of its settings.
	Program  string
	Settings string
	// Older and OlderSettings are another build and its template. Half of the hosts start with
	// them; see site.Spec.
	Older, OlderSettings string
	Seed                 uint64
	Hosts                int
	Faults               int
	// FaultPeriod is the period in which faults start, counted from the start of the load.
	// Only a fault that follows another may start later.
	FaultPeriod time.Duration
	// Logs is the directory for the logs of a run with violations. Empty: no logs are saved.
	Logs string
}

// Result is the outcome of one run. Broken lists the violations.
type Result struct {
	Broken   []string
	Requests int
	Served   int
	Runs     int
	// Stalls counts how often this machine did not schedule the processes in time.
	Stalls int
}

// soak is the state of one run.
type soak struct {
	options     Options
	site        *site.Site
	record      *Record
	callers     *standin.Callers
	supervisors map[string]*supervisor
	// burst is the number of active load bursts.
	burst      atomic.Int32
	background sync.WaitGroup
	// replacing are the replacements of targets that requests have crashed.
	replacing sync.WaitGroup

	mu            sync.Mutex
	activeTargets []*site.Target
	targetCount   int

	configMu      sync.Mutex
	configVersion int64
}

const (
	// faultFreeTime is the time at the end of a run, after recovery, in which requests must
	// be served.
	faultFreeTime = 3 * time.Second
	// burstFactor is the factor on the request rate during a burst.
	burstFactor = 4
	// earlyLeaveOdds says that on average the caller of one in this many requests
	// disconnects early.
	earlyLeaveOdds = 25
	// probeInterval is the time between two probes of the configuration of a host, and
	// between two checks for recovery.
	probeInterval = 200 * time.Millisecond
	// maxOversleep is the maximum time by which a sleep may overrun before this counts as a
	// stall of the machine.
	maxOversleep       = 250 * time.Millisecond
	stallCheckInterval = 50 * time.Millisecond
)

// Run runs the load and the faults of one seed and checks the guarantees.
func Run(o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "redwinglock-soak")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	s := &soak{options: o, record: newRecord(), supervisors: map[string]*supervisor{}, configVersion: 1}
	if err := s.start(dir); err != nil {
		return nil, err
	}
	s.runLoad()
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
	first := s.configuration()
	var err error
	s.site, err = site.New(site.Spec{
		Program: s.options.Program, Settings: s.options.Settings, Older: s.options.Older, OlderSettings: s.options.OlderSettings, Dir: dir, Hosts: s.options.Hosts, Config: first,
		Bounds: site.Bounds{QuotaWindow: quotaWindow, QuotaOverage: quotaOverage, QuotaSlack: quotaSlack, RepeatSlack: retrySlack},
	})
	if err != nil {
		return err
	}
	s.record.recordVersion(version{number: first.Version, path: probePath(first.Version), acked: time.Now()})
	s.record.tokensPerEvent = eventTokens
	s.record.olderHosts = s.options.Older != ""
	s.record.accounts = map[string]string{mainKey: mainAccount, tightKey: tightAccount}
	s.record.limits = map[string]limit{tightAccount: tightLimit}
	for _, r := range first.Routes {
		s.record.routes[r.PathPrefix+"x"] = r
	}
	for _, spec := range targetSpecs() {
		s.addTarget(spec)
	}
	for _, h := range s.site.Hosts {
		s.supervisors[h.Name] = newSupervisor(h, s.record)
		if hasLargeConfig(s.options.Seed) {
			h.ToStore.SetWidth(narrowLink)
			h.Peers.SetWidth(narrowLink)
		}
	}
	s.callers = standin.NewCallers(s.options.Seed, s.site.Directories(), s.site.Dial)
	return nil
}

// runLoad runs the load with the planned faults, waits for recovery, and continues the load
// without faults for faultFreeTime.
func (s *soak) runLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(len(requestKinds))))
	for _, k := range completeKinds(requestKinds) {
		seed := random.Uint64()
		load.Go(func() { s.send(ctx, k, rand.New(rand.NewPCG(seed, seed))) })
	}
	for _, h := range s.site.Hosts {
		load.Go(func() { s.probe(ctx, h) })
	}
	load.Go(func() { s.watchStalls(ctx) })
	load.Go(func() { s.sendPoison(ctx) })
	load.Go(func() { s.sendReturning(ctx) })
	start := time.Now()
	s.background.Go(func() { s.runRateLimits(start) })
	s.background.Go(func() { s.runRestores(start) })
	for _, f := range drawPlan(s.options.Seed, s.options.Faults, s.options.FaultPeriod) {
		time.Sleep(time.Until(start.Add(f.at)))
		s.background.Go(func() { s.inject(f) })
	}
	s.background.Wait()
	s.awaitRecovery()
	s.record.faultFreeSince = time.Now()
	time.Sleep(faultFreeTime)
	cancel()
	load.Wait()
	s.replacing.Wait()
}

// awaitRecovery waits until all hosts are ready and list each other, at most recoveryTime.
func (s *soak) awaitRecovery() {
	deadline := time.Now().Add(recoveryTime)
	listed := map[*site.Host]map[string]bool{}
	for _, h := range s.site.Hosts {
		listed[h] = map[string]bool{}
	}
	for time.Now().Before(deadline) {
		ready := 0
		for _, h := range s.site.Hosts {
			if h.IsReady() && s.listsAllHosts(h, listed[h]) {
				ready++
			}
		}
		if ready == len(s.site.Hosts) {
			time.Sleep(settleTime)
			return
		}
		time.Sleep(probeInterval)
	}
	s.record.recordViolation("hosts are not ready again after the last fault")
}

// listsAllHosts reports whether a host lists all hosts, except one that it has listed before: the host
// of the arbiter is on a part of the lists only. listed collects the hosts that it has listed.
func (s *soak) listsAllHosts(h *site.Host, listed map[string]bool) bool {
	addresses := h.Addresses()
	for _, address := range addresses {
		listed[address] = true
	}
	return len(addresses) >= len(s.site.Hosts)-1 && len(listed) == len(s.site.Hosts)
}

// finish stops the site and checks the guarantees.
func (s *soak) finish() ([]string, error) {
	for _, sv := range s.supervisors {
		sv.close()
	}
	err := errors.Join(s.callers.Close(), s.site.Close())
	if err != nil {
		return nil, fmt.Errorf("stop the site: %w", err)
	}
	s.record.attempts = s.callers.Attempts()
	s.record.runs = s.site.Ledger.Runs()
	broken := s.record.Check()
	if len(broken) > 0 && s.options.Logs != "" {
		if err := s.saveLogs(broken); err != nil {
			return nil, err
		}
	}
	return broken, nil
}

// saveLogs writes the violations, the plan and the logs of all hosts.
func (s *soak) saveLogs(broken []string) error {
	dir := filepath.Join(s.options.Logs, fmt.Sprintf("seed-%d", s.options.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory of logs: %w", err)
	}
	var plan strings.Builder
	for _, f := range drawPlan(s.options.Seed, s.options.Faults, s.options.FaultPeriod) {
		fmt.Fprintln(&plan, f)
	}
	for _, l := range drawRateLimits(s.options.Seed, s.options.FaultPeriod) {
		fmt.Fprintln(&plan, l)
	}
	for _, r := range drawRestores(s.options.Seed, s.options.FaultPeriod) {
		fmt.Fprintln(&plan, r)
	}
	text := strings.Join(broken, "\n") + "\n\n" + plan.String()
	errs := []error{os.WriteFile(filepath.Join(dir, "broken.txt"), []byte(text), 0o644)}
	for _, h := range s.site.Hosts {
		errs = append(errs, os.WriteFile(filepath.Join(dir, h.Name+".log"), []byte(h.Log()), 0o644))
	}
	return errors.Join(errs...)
}

// send sends requests of one kind at random times until ctx is done, and waits for their
// answers.
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
		if random.IntN(earlyLeaveOdds) == 0 {
			leave = time.Duration(1+random.IntN(300)) * time.Millisecond
		}
		requests.Go(func() { s.callers.SendWithRetry(context.WithoutCancel(ctx), k, leave) })
	}
}

// probe requests the probe routes of the two newest configurations from one host until ctx is
// done.
func (s *soak) probe(ctx context.Context, h *site.Host) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		s.record.mu.Lock()
		newest := s.record.versions[max(len(s.record.versions)-2, 0):]
		s.record.mu.Unlock()
		for _, v := range newest {
			k := &standin.Kind{Name: probeKind, Execution: "idempotent", Service: services, Deadline: time.Second, Host: callersHost, Path: v.path, Key: mainKey}
			requests.Go(func() { s.callers.SendTo(context.WithoutCancel(ctx), k, h.Callers, k.Deadline, 0) })
		}
	}
}

// watchStalls records when this machine does not schedule its processes in time. A stall
// counts as a fault of the store and of all hosts, because the time bounds do not hold then.
func (s *soak) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallCheckInterval)
		if time.Since(before) < stallCheckInterval+maxOversleep {
			continue
		}
		s.record.mu.Lock()
		stall := interval{from: before, to: time.Now()}
		s.record.storeFaults = append(s.record.storeFaults, stall)
		for _, h := range s.site.Hosts {
			s.record.hostFaults[h.Callers] = append(s.record.hostFaults[h.Callers], stall)
		}
		s.record.stalls++
		s.record.mu.Unlock()
	}
}
