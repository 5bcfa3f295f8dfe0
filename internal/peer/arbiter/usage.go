package arbiter

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
)

// usage remembers what the requests of this front have used of quotas, for arbiters that
// are new to it.
type usage struct {
	since time.Time

	mu       sync.Mutex
	accounts map[object.AccountName]*shard.UseWindow
	// told is the link whose arbiter knows the use before the grants of its own.
	told link
}

func newUsage() *usage {
	return &usage{since: time.Now(), accounts: map[object.AccountName]*shard.UseWindow{}}
}

// note counts a request that was granted.
func (u *usage) note(account object.AccountName, cost float64) {
	if cost <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	window := u.accounts[account]
	if window == nil {
		window = shard.NewUseWindow(time.Now())
		u.accounts[account] = window
	}
	window.Add(time.Now(), cost)
}

// tell sends the use to an arbiter to which requests go from now on, and tells the one
// before that they do.
func (u *usage) tell(l link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.told == l {
		return
	}
	if u.told != nil && !u.told.failed() {
		u.told.send(wire.Up{Left: true})
	}
	u.told = l
	now := time.Now()
	used := &wire.Used{AgeMS: now.Sub(u.since).Milliseconds(), StepMS: shard.UseStep.Milliseconds()}
	for name, window := range u.accounts {
		costs := window.Recent(now, shard.UseSpan)
		if window.Sum(now, shard.UseSpan) == 0 {
			delete(u.accounts, name)
			continue
		}
		used.Accounts = append(used.Accounts, wire.AccountUsed{Account: name, Costs: costs})
	}
	l.send(wire.Up{Used: used})
}
