package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/state/object"
)

// patience learns how long the callers of each route wait in all. A request whose caller
// has less time left has been refused before, and that time counts for its objective.
type patience struct {
	longest sync.Map // object.RouteName to *atomic.Int64, in nanoseconds.
}

func newPatience() *patience { return &patience{} }

// waitedBefore returns how long the caller has waited already, judged by the time that it
// has left.
func (p *patience) waitedBefore(route object.RouteName, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	value, known := p.longest.Load(route)
	if !known {
		value, _ = p.longest.LoadOrStore(route, &atomic.Int64{})
	}
	longest := value.(*atomic.Int64)
	for {
		most := longest.Load()
		if int64(left) <= most {
			return time.Duration(most) - left
		}
		if longest.CompareAndSwap(most, int64(left)) {
			return 0
		}
	}
}
