package common

import (
	"sync"
	"time"
)

// PerSecond limits the number of events in each second, with fixed windows. It is safe for
// concurrent use.
type PerSecond struct {
	// Limit is the maximum number of events in one second.
	Limit int

	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// Allow counts an event and reports whether it is within the limit.
func (p *PerSecond) Allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.windowStart) >= time.Second {
		p.windowStart = now
		p.count = 0
	}
	p.count++
	return p.count <= p.Limit
}
