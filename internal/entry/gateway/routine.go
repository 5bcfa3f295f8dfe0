package gateway

import (
	"sync"
	"time"
)

// routinePerSecond bounds the log lines about answered requests, so that under load those
// about refusals and failures have room.
const routinePerSecond = 100

// routineLimit counts the lines of the current second.
type routineLimit struct {
	mu     sync.Mutex
	second time.Time
	taken  int
}

func (l *routineLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second = now
		l.taken = 0
	}
	l.taken++
	return l.taken <= routinePerSecond
}
