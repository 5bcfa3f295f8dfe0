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
	// longDelay is the delay of a slow link.
	longDelay = 150 * time.Millisecond
	// stopPause is the time between the stops of hosts in turn.
	stopPause = 500 * time.Millisecond
	// stormPause is the time between configurations in quick succession.
	stormPause   = 100 * time.Millisecond
	stormChanges = 8
)

// inject carries out one fault and ends it when its time is up.
func (s *soak) inject(f fault) {
	host := s.site.Hosts[f.number%len(s.site.Hosts)]
	switch f.kind {
	case killHost:
		s.kill(host, f.lasting)
	case killAll:
		for _, h := range s.site.Hosts {
			s.background.Go(func() { s.kill(h, f.lasting) })
		}
	case pauseHost:
		s.pauseHost(host, f.lasting)
	case stopHost:
		s.stop(host, f.lasting)
	case stopAll:
		for _, h := range s.site.Hosts {
			s.background.Go(func() { s.stop(h, f.lasting) })
			time.Sleep(stopPause)
		}
	case reloadHost:
		_ = host.Process().Signal(syscall.SIGHUP) // The process may be down.
	case cutStore, resetStore, delayStore:
		s.disturbLink(host, host.ToStore, f)
	case cutPeers, resetPeers, delayPeers:
		s.disturbLink(host, host.Peers, f)
	case cutCallers, resetCallers, delayCallers:
		s.disturbLink(host, host.FromCallers, f)
	case failStore, compactStore, endLeases:
		s.disturbStore(f)
	case failTarget, crashTarget, drainTarget, cutTarget, resetTarget, delayTarget:
		s.disturbTarget(f)
	case changeConfig:
		s.changeConfig()
	case stormConfig:
		for range stormChanges {
			s.changeConfig()
			time.Sleep(stormPause)
		}
	case burstLoad:
		s.burst.Add(1)
		time.Sleep(f.lasting)
		s.burst.Add(-1)
	}
}

// kill ends a host and starts it again later.
func (s *soak) kill(h *site.Host, pause time.Duration) {
	end := s.record.disturbHost(h.Callers)
	defer end()
	s.keepers[h.Name].restart(pause, func() { h.Kill() })
}

// stop tells a host to stop and starts it again when it has ended.
func (s *soak) stop(h *site.Host, pause time.Duration) {
	end := s.record.stopHost(h.Callers)
	defer end()
	s.keepers[h.Name].restart(pause, func() { _ = h.Process().Signal(syscall.SIGTERM) }) // It may be down.
}

func (s *soak) pauseHost(h *site.Host, lasting time.Duration) {
	end := s.record.disturbHost(h.Callers)
	defer end()
	p := h.Process()
	_ = p.Signal(syscall.SIGSTOP) // It may be down.
	time.Sleep(lasting)
	_ = p.Signal(syscall.SIGCONT)
}

// disturbLink cuts, resets or delays a way from or to a host.
func (s *soak) disturbLink(h *site.Host, way *proxy.Proxy, f fault) {
	end := s.record.disturbHost(h.Callers)
	defer end()
	disturb(way, f)
}

// disturb disturbs one way and heals it when the time of the fault is up.
func disturb(way *proxy.Proxy, f fault) {
	switch f.kind {
	case resetStore, resetPeers, resetCallers, resetTarget:
		way.Reset()
		return
	case delayStore, delayPeers, delayCallers, delayTarget:
		way.Set(proxy.Link{Delay: longDelay})
	default:
		cuts := []proxy.Link{{SilentUp: true}, {SilentDown: true}, {SilentUp: true, SilentDown: true}, {Refused: true}}
		link := cuts[f.variant%len(cuts)]
		way.Set(link)
		if link.Refused {
			way.Reset()
		}
	}
	time.Sleep(f.lasting)
	way.Set(proxy.Link{})
}

func (s *soak) disturbStore(f fault) {
	end := s.record.disturbStore()
	defer end()
	switch f.kind {
	case compactStore:
		s.site.Store.Compact()
	case endLeases:
		s.site.Store.EndLeases()
	default:
		faults := []standin.Fault{standin.Busy, standin.Limited, standin.Silent, standin.Lossy, standin.Slow}
		s.site.Store.SetFault(faults[f.variant%len(faults)])
		time.Sleep(f.lasting)
		s.site.Store.SetFault(standin.Healthy)
	}
}

// disturbTarget picks a target that is up and disturbs it.
func (s *soak) disturbTarget(f fault) {
	t := s.pickTarget(f.number)
	if t == nil {
		return
	}
	if f.kind == drainTarget {
		s.drain(t)
		return
	}
	end := s.record.disturbTarget(t.ID)
	defer end()
	switch f.kind {
	case failTarget:
		t.SetFault(standin.TargetFaults[f.variant%len(standin.TargetFaults)])
		time.Sleep(f.lasting)
		t.SetFault(standin.TargetHealthy)
	case crashTarget:
		s.retire(t)
		_ = t.Close() // Its connections end with it.
		time.Sleep(f.lasting)
		t.Leave()
		s.addTarget(t.TargetSpec)
	default:
		disturb(t.Way, f)
	}
}

// drain replaces a target in the planned way.
func (s *soak) drain(t *site.Target) {
	s.retire(t)
	s.addTarget(t.TargetSpec)
	t.Drain(t.Way.Address())
	s.record.noteDrain(t.ID)
	time.Sleep(drainTime + contactTime)
	t.Leave()
	// Streams that are under way may last longer than the target promises.
	end := s.record.disturbTarget(t.ID)
	defer end()
	_ = t.Close() // Its connections end with it.
}

// pickTarget returns one of the targets that are in use, nil if there is none.
func (s *soak) pickTarget(number int) *site.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inUse) == 0 {
		return nil
	}
	return s.inUse[number%len(s.inUse)]
}

// retire takes a target off the list of those in use.
func (s *soak) retire(t *site.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.inUse {
		if other == t {
			s.inUse = append(s.inUse[:i:i], s.inUse[i+1:]...)
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
	t, err := s.site.AddTarget(spec)
	if err != nil {
		s.record.noteFault(err.Error())
		return
	}
	s.inUse = append(s.inUse, t)
}

// changeConfig publishes the next configuration.
func (s *soak) changeConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.configVersion += 3
	c := configuration(s.configVersion)
	s.site.Store.Configure(c)
	s.record.noteVersion(version{number: c.Version, path: probePath(c.Version), acked: time.Now()})
}
