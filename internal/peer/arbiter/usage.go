package arbiter

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// usage records the quota usage of the requests of this front. The front reports it to an arbiter
// that starts to receive its requests.
type usage struct {
	startedAt time.Time

	mu       sync.Mutex
	accounts map[object.AccountName]*shard.UsageWindow
	// reportedTo is the link whose arbiter has received the usage before its own grants.
	reportedTo link
}

func newUsage() *usage {
	return &usage{startedAt: time.Now(), accounts: map[object.AccountName]*shard.UsageWindow{}}
}

// record adds the cost of a granted request.
func (u *usage) record(account object.AccountName, cost float64) {
	if cost <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	window := u.accounts[account]
	if window == nil {
		window = shard.NewUsageWindow(time.Now())
		u.accounts[account] = window
	}
	window.Add(time.Now(), cost)
}

// reportTo sends the usage, and the notices of targets that the board holds, to the arbiter that
// receives the requests from now on, and notifies the previous arbiter that the front has left it.
func (u *usage) reportTo(l link, b *board.Board) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reportedTo == l {
		return
	}
	if u.reportedTo != nil && !u.reportedTo.failed() {
		u.reportedTo.send(wire.Up{Left: true})
	}
	u.reportedTo = l
	now := time.Now()
	used := &wire.Used{AgeMS: now.Sub(u.startedAt).Milliseconds(), StepMS: shard.UsageStep.Milliseconds()}
	for name, window := range u.accounts {
		costs := window.Recent(now, shard.MaxUsageWindow)
		if window.Sum(now, shard.MaxUsageWindow) == 0 {
			delete(u.accounts, name)
			continue
		}
		used.Accounts = append(used.Accounts, wire.AccountUsed{Account: name, Costs: costs})
	}
	l.send(wire.Up{Used: used})
	for _, n := range b.Notices().Notices(now) {
		l.send(wire.Up{Notice: &n})
	}
}
