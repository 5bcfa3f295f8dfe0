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
	// others holds the usage of the other fronts that the arbiter reported last.
	others map[object.AccountName]othersUsed
	// reportedTo is the link whose arbiter has received the usage before its own grants.
	reportedTo link
}

// othersUsed is the usage of an account by all other fronts.
type othersUsed struct {
	cost float64
	at   time.Time
}

func newUsage() *usage {
	return &usage{startedAt: time.Now(), accounts: map[object.AccountName]*shard.UsageWindow{}, others: map[object.AccountName]othersUsed{}}
}

// recordOthers stores the usage of an account by all other fronts, as the arbiter reported it.
func (u *usage) recordOthers(account object.AccountName, cost float64) {
	if cost <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others[account] = othersUsed{cost, time.Now()}
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

// reportTo sends the usage, and the notices of targets that the arbiter may not know, to the arbiter
// that receives the requests from now on, and notifies the previous arbiter that the front has left it.
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
		costs := withoutTrailingZeros(window.Recent(now, shard.MaxUsageWindow))
		if len(costs) == 0 {
			delete(u.accounts, name)
			delete(u.others, name)
			continue
		}
		others := u.others[name]
		account := wire.AccountUsed{Account: name, Costs: costs, Others: others.cost}
		if others.cost > 0 {
			account.OthersAgeMS = now.Sub(others.at).Milliseconds()
		}
		used.Accounts = append(used.Accounts, account)
	}
	l.send(wire.Up{Used: used})
	for _, n := range b.Notices().NoticesFor(now, l.knownNotices()) {
		l.send(wire.Up{Notice: &n})
	}
	for _, n := range b.Prefixes().Notices(now) {
		l.send(wire.Up{Prefix: &n})
	}
}

// withoutTrailingZeros returns the costs without the oldest steps in which nothing was used. Hundreds of
// fronts may report to a new arbiter at the same time, so the message should be small.
func withoutTrailingZeros(costs []float64) []float64 {
	for len(costs) > 0 && costs[len(costs)-1] == 0 {
		costs = costs[:len(costs)-1]
	}
	return costs
}
