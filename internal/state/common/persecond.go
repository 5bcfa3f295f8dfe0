package common

import (
	"sync"
	"time"
)

// PerSecond counts what happens in each second and bounds it. It is safe for concurrent use.
type PerSecond struct {
	// Limit is the number of events that are allowed in one second.
	Limit int

	mu     sync.Mutex
	second time.Time
	taken  int
}

// Allow counts an event and reports whether it is within the limit.
func (p *PerSecond) Allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.second) >= time.Second {
		p.second = now
		p.taken = 0
	}
	p.taken++
	return p.taken <= p.Limit
}
