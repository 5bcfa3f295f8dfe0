package soak

import (
	"fmt"
	"syscall"
	"time"

	"redwinglock/internal/standin/proxy"
	"redwinglock/internal/standin/site"
	"redwinglock/platform/standin"
)

const (
	// longDelay is the delay that a slow link adds.
	longDelay = 150 * time.Millisecond
	// stopPause is the time between the stops of two hosts in a rolling stop.
	stopPause = 500 * time.Millisecond
	// configStormPause is the time between two changes in a series of rapid configuration
	// changes.
	configStormPause   = 100 * time.Millisecond
	configStormChanges = 8
)

// inject starts one fault and ends it after its duration.
func (s *soak) inject(f fault) {
	host := s.site.Hosts[f.number%len(s.site.Hosts)]
	switch f.kind {
	case killHost:
		s.killAndRestart(host, f.duration)
	case killAll:
		for _, h := range s.site.Hosts {
			s.background.Go(func() { s.killAndRestart(h, f.duration) })
		}
	case pauseHost:
		s.pauseHost(host, f.duration)
	case stopHost:
		s.stopAndRestart(host, f.duration)
	case stopAll:
		for _, h := range s.site.Hosts {
			s.background.Go(func() { s.stopAndRestart(h, f.duration) })
			time.Sleep(stopPause)
		}
	case reloadHost:
		_ = host.Process().Signal(syscall.SIGHUP) // The process may be down.
	case cutStore, resetStore, delayStore:
		s.injectLinkFault(host, host.ToStore, f)
	case cutPeers, resetPeers, delayPeers:
		s.injectLinkFault(host, host.Peers, f)
	case cutCallers, resetCallers, delayCallers:
		s.injectLinkFault(host, host.FromCallers, f)
	case failStore, compactStore, endLeases:
		s.injectStoreFault(f)
	case failTarget, crashTarget, drainTarget, cutTarget, resetTarget, delayTarget:
		s.injectTargetFault(f)
	case changeConfig:
		s.changeConfig()
	case stormConfig:
		for range configStormChanges {
			s.changeConfig()
			time.Sleep(configStormPause)
		}
	case burstLoad:
		s.burst.Add(1)
		time.Sleep(f.duration)
		s.burst.Add(-1)
	}
}

// killAndRestart kills the process of a host and restarts it after a pause.
func (s *soak) killAndRestart(h *site.Host, downtime time.Duration) {
	end := s.record.beginHostFault(h.Callers)
	defer end()
	s.supervisors[h.Name].restart(downtime, func() { h.Kill() })
}

// stopAndRestart requests a graceful shutdown of a host and restarts it after a pause.
func (s *soak) stopAndRestart(h *site.Host, downtime time.Duration) {
	end := s.record.beginHostStop(h.Callers)
	defer end()
	// The process may be down, so an error of the signal is ignored.
	s.supervisors[h.Name].restart(downtime, func() { _ = h.Process().Signal(syscall.SIGTERM) })
}

func (s *soak) pauseHost(h *site.Host, duration time.Duration) {
	end := s.record.beginHostFault(h.Callers)
	defer end()
	p := h.Process()
	_ = p.Signal(syscall.SIGSTOP) // The process may be down.
	time.Sleep(duration)
	_ = p.Signal(syscall.SIGCONT)
}

// injectLinkFault cuts, resets or delays a link from or to a host.
func (s *soak) injectLinkFault(h *site.Host, link *proxy.Proxy, f fault) {
	end := s.record.beginHostFault(h.Callers)
	defer end()
	applyLinkFault(link, f)
}

// applyLinkFault applies a fault to one link and restores the link after the duration of the
// fault. A reset has no duration.
func applyLinkFault(p *proxy.Proxy, f fault) {
	switch f.kind {
	case resetStore, resetPeers, resetCallers, resetTarget:
		p.Reset()
		return
	case delayStore, delayPeers, delayCallers, delayTarget:
		p.Set(proxy.Link{Delay: longDelay})
	default:
		cuts := []proxy.Link{{SilentUp: true}, {SilentDown: true}, {SilentUp: true, SilentDown: true}, {Refused: true}}
		link := cuts[f.variant%len(cuts)]
		p.Set(link)
		if link.Refused {
			p.Reset()
		}
	}
	time.Sleep(f.duration)
	p.Set(proxy.Link{})
}

func (s *soak) injectStoreFault(f fault) {
	end := s.record.beginStoreFault()
	defer end()
	switch f.kind {
	case compactStore:
		s.site.Store.Compact()
	case endLeases:
		s.site.Store.EndLeases()
	default:
		faults := []standin.Fault{standin.Busy, standin.Limited, standin.Silent, standin.Lossy, standin.Slow}
		s.site.Store.SetFault(faults[f.variant%len(faults)])
		time.Sleep(f.duration)
		s.site.Store.SetFault(standin.Healthy)
	}
}

// injectTargetFault applies a fault to one of the active targets.
func (s *soak) injectTargetFault(f fault) {
	t := s.pickTarget(f.number)
	if t == nil {
		return
	}
	if f.kind == drainTarget {
		s.drain(t)
		return
	}
	end := s.record.beginTargetFault(t.ID)
	defer end()
	switch f.kind {
	case failTarget:
		t.SetFault(standin.TargetFaults[f.variant%len(standin.TargetFaults)])
		time.Sleep(f.duration)
		t.SetFault(standin.TargetHealthy)
	case crashTarget:
		s.removeActiveTarget(t)
		_ = t.Close() // It also closes the connections of the target.
		time.Sleep(f.duration)
		t.Leave()
		s.addTarget(t.TargetSpec)
	default:
		applyLinkFault(t.Way, f)
	}
}

// drain replaces a target gracefully: a new target starts, then the old one drains.
func (s *soak) drain(t *site.Target) {
	s.removeActiveTarget(t)
	s.addTarget(t.TargetSpec)
	t.Drain(t.Way.Address())
	s.record.recordDrain(t.ID)
	time.Sleep(drainTime + settleTime)
	t.Leave()
	// Streams in flight may last longer than the time that the target allows for its drain.
	end := s.record.beginTargetFault(t.ID)
	defer end()
	_ = t.Close() // It also closes the connections of the target.
}

// pickTarget returns one of the active targets, nil if there is none.
func (s *soak) pickTarget(number int) *site.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.activeTargets) == 0 {
		return nil
	}
	return s.activeTargets[number%len(s.activeTargets)]
}

// removeActiveTarget removes a target from the list of active targets.
func (s *soak) removeActiveTarget(t *site.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.activeTargets {
		if other == t {
			s.activeTargets = append(s.activeTargets[:i:i], s.activeTargets[i+1:]...)
			return
		}
	}
}

func (s *soak) addTarget(spec standin.TargetSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetCount++
	spec.ID = fmt.Sprintf("target-%d", s.targetCount)
	spec.Zone = site.Zone(s.targetCount)
	spec.Version = versionOf(s.options.Seed, s.targetCount)
	t, err := s.site.AddTarget(spec)
	if err != nil {
		s.record.recordViolation(err.Error())
		return
	}
	t.OnCrash(func(r standin.Run) { s.crashByRequest(t, r) })
	s.activeTargets = append(s.activeTargets, t)
}

// configuration returns the present version of the configuration.
func (s *soak) configuration() standin.Config {
	if hasLargeConfig(s.options.Seed) {
		return largeConfiguration(s.configVersion)
	}
	return configuration(s.configVersion)
}

// changeConfig publishes the next configuration.
func (s *soak) changeConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.configVersion += 3
	c := s.configuration()
	s.site.Store.Configure(c)
	s.record.recordVersion(version{number: c.Version, path: probePath(c.Version), acked: time.Now()})
}
