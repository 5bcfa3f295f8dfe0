package gateway

import (
	"sync"
	"time"

	"redwinglock/internal/state/object"
)

// retryWindow is the time window of the retry budget.
const retryWindow = 10 * time.Second

// retryBudget bounds how often this host retries requests, as a fraction of the requests of each
// pool. The retries of all hosts together stay within the sum of their budgets.
type retryBudget struct {
	// share is the number of retries that each request adds to the budget.
	share float64
	// slack is the number of retries that all hosts together may use in a window in addition to
	// the share.
	slack float64
	// hosts returns the number of hosts that divide the slack among themselves.
	hosts func() int

	mu    sync.Mutex
	pools map[object.PoolName]*retryBucket
}

// retryBucket is the token bucket of one pool. Requests and the passing of time add to it, and
// each retry removes one.
type retryBucket struct {
	level     float64
	updatedAt time.Time
}

func newRetryBudget(share, slack float64, hosts func() int) *retryBudget {
	return &retryBudget{share: share, slack: slack, hosts: hosts, pools: map[object.PoolName]*retryBucket{}}
}

// recordRequest adds the share of one request of a caller to the budget.
func (b *retryBudget) recordRequest(pool object.PoolName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(pool, now)
	bucket.level = min(bucket.level+b.share, b.capacity())
}

// consume removes one retry from the budget. It returns false if none is left.
func (b *retryBudget) consume(pool object.PoolName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(pool, now)
	if bucket.level < 1 {
		return false
	}
	bucket.level--
	return true
}

// available reports whether a retry is left, without consuming it.
func (b *retryBudget) available(pool object.PoolName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(pool, now).level >= 1
}

const (
	// burstPart is the fraction of the slack that can accumulate, and refillPart the fraction
	// that is refilled in a window. The remaining quarter is a reserve for hosts that are missing
	// from this host's list of members, since each host then takes too large a part of the slack.
	burstPart  = 0.5
	refillPart = 0.25
)

// capacity returns the maximum level of a bucket.
func (b *retryBudget) capacity() float64 { return max(burstPart*b.slackPerHost(), 1) }

// slackPerHost returns this host's part of the slack.
func (b *retryBudget) slackPerHost() float64 { return b.slack / float64(max(b.hosts(), 1)) }

// bucket returns the bucket of a pool, refilled up to now.
func (b *retryBudget) bucket(pool object.PoolName, now time.Time) *retryBucket {
	bucket := b.pools[pool]
	if bucket == nil {
		bucket = &retryBucket{level: refillPart * b.slackPerHost(), updatedAt: now}
		b.pools[pool] = bucket
	}
	elapsed := now.Sub(bucket.updatedAt)
	bucket.updatedAt = now
	bucket.level = min(bucket.level+refillPart*b.slackPerHost()*elapsed.Seconds()/retryWindow.Seconds(), b.capacity())
	return bucket
}
