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
	// slack is what all hosts may repeat in a window beside the share.
	slack float64
	// hosts returns how many hosts share the slack.
	hosts func() int

	mu    sync.Mutex
	pools map[object.PoolName]*repeatCount
}

// repeatCount holds the budget of one pool as a bucket that requests fill.
type repeatCount struct {
	level float64
	at    time.Time
}

func newRepeatBudget(share, slack float64, hosts func() int) *repeatBudget {
	return &repeatBudget{share: share, slack: slack, hosts: hosts, pools: map[object.PoolName]*repeatCount{}}
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

const (
	// savedPart is the part of the slack that can be saved up for one moment, and refillPart
	// the part that comes back in a window. What is left is for hosts that are not seen.
	savedPart  = 0.5
	refillPart = 0.25
)

// capacity bounds what can be saved up for one moment.
func (b *repeatBudget) capacity() float64 { return max(savedPart*b.ownSlack(), 1) }

// ownSlack is the part of the slack that is this host's.
func (b *repeatBudget) ownSlack() float64 { return b.slack / float64(max(b.hosts(), 1)) }

func (b *repeatBudget) count(pool object.PoolName, now time.Time) *repeatCount {
	count := b.pools[pool]
	if count == nil {
		count = &repeatCount{level: refillPart * b.ownSlack(), at: now}
		b.pools[pool] = count
	}
	elapsed := now.Sub(count.at)
	count.at = now
	count.level = min(count.level+refillPart*b.ownSlack()*elapsed.Seconds()/repeatWindow.Seconds(), b.capacity())
	return count
}
