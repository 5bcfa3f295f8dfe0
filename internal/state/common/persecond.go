package common

import (
	"sync"
	"time"
)

// RateLimit limits the number of events in each second, with fixed windows. It is safe for
// concurrent use.
type RateLimit struct {
	// Limit is the maximum number of events in one second.
	Limit int

	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// Allow counts an event and reports whether it is within the limit.
func (r *RateLimit) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart = now
		r.count = 0
	}
	r.count++
	return r.count <= r.Limit
}
