package soak

import (
	"fmt"
	"sync"
	"time"

	"redwinglock/internal/standin/site"
)

// keeper starts the process of one host again after each planned end, and reports ends
// that nobody has planned and stops that take too long.
type keeper struct {
	host   *site.Host
	record *Record

	mu sync.Mutex
	// planned is when the process was told to end, zero while it is to run.
	planned time.Time
	pause   time.Duration
	closed  bool
	started chan struct{} // Closed when the process runs again.
	done    sync.WaitGroup
}

func newKeeper(h *site.Host, r *Record) *keeper {
	k := &keeper{host: h, record: r, started: make(chan struct{})}
	r.noteStart(h.Callers)
	k.done.Go(k.run)
	return k
}

// restart tells the process to end and waits until it runs again. A process that is
// already ending gets the signal, too.
func (k *keeper) restart(pause time.Duration, end func()) {
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return
	}
	if k.planned.IsZero() {
		k.planned = time.Now()
	}
	k.pause = pause
	started := k.started
	k.mu.Unlock()
	end()
	<-started
}

// close ends the process for good.
func (k *keeper) close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.host.Kill()
	k.done.Wait()
}

func (k *keeper) run() {
	for {
		p := k.host.Process()
		err := p.Wait()
		ended := time.Now()
		k.mu.Lock()
		planned, pause, closed := k.planned, k.pause, k.closed
		k.mu.Unlock()
		if closed {
			k.announce()
			return
		}
		k.judge(err, planned, ended)
		time.Sleep(pause)
		if err := k.host.Start(); err != nil {
			k.record.noteFault(err.Error())
			k.announce()
			return
		}
		k.record.noteStart(k.host.Callers)
		k.announce()
	}
}

// judge reports an end that was not planned, or a stop that was slow or failed with
// nothing else disturbed.
func (k *keeper) judge(err error, planned, ended time.Time) {
	if planned.IsZero() {
		k.record.noteFault(fmt.Sprintf("%s ended by itself: %v", k.host.Name, err))
		return
	}
	k.record.mu.Lock()
	disturbed := overlaps(k.record.hosts[k.host.Callers], planned.Add(-contactTime), ended)
	k.record.mu.Unlock()
	if disturbed {
		return
	}
	if err != nil {
		k.record.noteFault(fmt.Sprintf("%s did not stop cleanly: %v", k.host.Name, err))
	}
	if took := ended.Sub(planned); took > stopTime {
		k.record.noteFault(fmt.Sprintf("%s took %v to stop", k.host.Name, took))
	}
}

// announce tells those who wait that the process runs again.
func (k *keeper) announce() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planned = time.Time{}
	close(k.started)
	k.started = make(chan struct{})
}
