package gateway

import (
	"sync"
	"time"

	"redwinglock/internal/state/object"
)

// repeatWindow is the time over which requests and repeats are counted.
const repeatWindow = 10 * time.Second

// repeatBudget bounds how often this host sends requests once more, as a share of the
// requests of each pool. All hosts together stay inside the sum of their budgets.
type repeatBudget struct {
	share float64
	// slack is what may be repeated in a window beside the share.
	slack float64

	mu    sync.Mutex
	pools map[object.PoolName]*repeatCount
}

// repeatCount holds the budget of one pool as a bucket that requests fill.
type repeatCount struct {
	level float64
	at    time.Time
}

func newRepeatBudget(share, slack float64) *repeatBudget {
	return &repeatBudget{share: share, slack: slack, pools: map[object.PoolName]*repeatCount{}}
}

// noteRequest counts a request of a caller.
func (b *repeatBudget) noteRequest(pool object.PoolName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := b.count(pool, now)
	count.level = min(count.level+b.share, b.capacity())
}

// take uses one repeat and reports whether there was one.
func (b *repeatBudget) take(pool object.PoolName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := b.count(pool, now)
	if count.level < 1 {
		return false
	}
	count.level--
	return true
}

// left reports whether a repeat could be used.
func (b *repeatBudget) left(pool object.PoolName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count(pool, now).level >= 1
}

// capacity bounds what can be saved up for one moment.
func (b *repeatBudget) capacity() float64 { return max(b.slack, 1) }

func (b *repeatBudget) count(pool object.PoolName, now time.Time) *repeatCount {
	count := b.pools[pool]
	if count == nil {
		count = &repeatCount{level: b.slack / 2, at: now}
		b.pools[pool] = count
	}
	elapsed := now.Sub(count.at)
	count.at = now
	count.level = min(count.level+b.slack/2*elapsed.Seconds()/repeatWindow.Seconds(), b.capacity())
	return count
}
