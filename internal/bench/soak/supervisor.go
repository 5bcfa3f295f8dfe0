package soak

import (
	"fmt"
	"sync"
	"time"

	"redwinglock/internal/standin/site"
)

// supervisor restarts the process of one host after each planned exit. It reports unplanned
// exits and stops that take too long.
type supervisor struct {
	host   *site.Host
	record *Record

	mu sync.Mutex
	// exitRequestedAt is the time at which the exit of the process was requested, zero if it
	// is to run.
	exitRequestedAt time.Time
	downtime        time.Duration
	closed          bool
	started         chan struct{} // Closed when the process runs again or the supervisor ends.
	done            sync.WaitGroup
}

func newSupervisor(h *site.Host, r *Record) *supervisor {
	s := &supervisor{host: h, record: r, started: make(chan struct{})}
	r.recordStart(h.Callers)
	s.done.Go(s.run)
	return s
}

// restart ends the process with the given function and waits until it runs again. A process
// that is already exiting gets the signal, too.
func (s *supervisor) restart(downtime time.Duration, end func()) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	if s.exitRequestedAt.IsZero() {
		s.exitRequestedAt = time.Now()
	}
	s.downtime = downtime
	started := s.started
	s.mu.Unlock()
	end()
	<-started
}

// close kills the process without a restart.
func (s *supervisor) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.host.Kill()
	s.done.Wait()
}

func (s *supervisor) run() {
	for {
		p := s.host.Process()
		err := p.Wait()
		exitedAt := time.Now()
		s.mu.Lock()
		requestedAt, downtime, closed := s.exitRequestedAt, s.downtime, s.closed
		s.mu.Unlock()
		if closed {
			s.notifyStarted()
			return
		}
		s.checkExit(err, requestedAt, exitedAt)
		time.Sleep(downtime)
		if err := s.host.Start(); err != nil {
			s.record.recordViolation(err.Error())
			s.notifyStarted()
			return
		}
		s.record.recordStart(s.host.Callers)
		s.notifyStarted()
	}
}

// checkExit reports an unplanned exit. It also reports a planned stop that was slow or
// failed while the host had no fault.
func (s *supervisor) checkExit(err error, requestedAt, exitedAt time.Time) {
	if requestedAt.IsZero() {
		s.record.recordViolation(fmt.Sprintf("%s exited unexpectedly: %v", s.host.Name, err))
		return
	}
	s.record.mu.Lock()
	hasFault := overlaps(s.record.hostFaults[s.host.Callers], requestedAt.Add(-settleTime), exitedAt)
	s.record.mu.Unlock()
	if hasFault {
		return
	}
	if err != nil {
		s.record.recordViolation(fmt.Sprintf("%s did not stop cleanly: %v", s.host.Name, err))
	}
	if duration := exitedAt.Sub(requestedAt); duration > stopTime {
		s.record.recordViolation(fmt.Sprintf("%s took %v to stop", s.host.Name, duration))
	}
}

// notifyStarted wakes the callers of restart.
func (s *supervisor) notifyStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exitRequestedAt = time.Time{}
	close(s.started)
	s.started = make(chan struct{})
}
