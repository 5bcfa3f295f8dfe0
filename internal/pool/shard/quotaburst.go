package shard

import (
	"maps"
	"math"
	"time"

	"redwinglock/internal/state/object"
)

const (
	// excessStep is the step to which an excess is rounded up, so that few changes are stored.
	excessStep = 0.1
	// minExcess is the least excess that counts.
	minExcess = 0.02
	// burstCheckInterval is the time between two checks of the usage of an account.
	burstCheckInterval = 10 * time.Millisecond
	// burstRefresh is the time after which the unknown usage of an account is computed again, and frontGrowth the growth of
	// the number of fronts.
	burstRefresh = 50 * time.Millisecond
	frontGrowth  = 1.1
)

// QuotaExcess is by how much an account exceeds an even usage of its quota, as a fraction of its limit, from 0 to 1. An
// arbiter without a record of the usage takes what it does not know for evenly spread over the window, and would grant too much
// after a burst.
type QuotaExcess float64

// burst is the highest excess of an account within a window.
type burst struct {
	excess    QuotaExcess
	at        time.Time
	checkedAt time.Time
}

// currentExcess returns the highest excess over an even usage in the last part of the window, of any length.
func (u *accountUsage) currentExcess(now time.Time) QuotaExcess {
	limit := u.limit.active(now, u.window)
	if u.window == 0 || limit <= 0 {
		return 0
	}
	steps := float64(u.window / UsageStep)
	u.granted.advance(now)
	sum, most := 0.0, 0.0
	for age := range u.granted.stepCount(u.window) {
		sum += u.granted.costAt(age)
		most = max(most, sum/limit-float64(age+1)/steps)
	}
	if most < minExcess {
		return 0
	}
	return QuotaExcess(min(math.Ceil(most/excessStep)*excessStep, 1))
}

// updateBurst checks the usage. An excess counts for a window.
func (u *accountUsage) updateBurst(now time.Time) {
	excess := u.currentExcess(now)
	if excess >= u.burst.excess || now.Sub(u.burst.at) >= u.window {
		u.burst.excess, u.burst.at = excess, now
	}
}

// checkBurst looks for an excess that grows, of which hosts that start later must hear at once.
func (q *Quotas) checkBurst(now time.Time, u *accountUsage) {
	if now.Sub(u.burst.checkedAt) < burstCheckInterval {
		return
	}
	u.burst.checkedAt = now
	before := u.burst.excess
	u.updateBurst(now)
	if u.burst.excess <= before {
		return
	}
	select {
	case q.burstGrew <- struct{}{}:
	default:
	}
}

// BurstGrew returns a channel that receives a value when the excess of an account grows.
func (q *Quotas) BurstGrew() <-chan struct{} { return q.burstGrew }

// Bursts returns the accounts with an excess. Until this arbiter has served for some time, what is stored counts, too.
func (q *Quotas) Bursts(now time.Time) map[object.AccountName]QuotaExcess {
	q.mu.Lock()
	defer q.mu.Unlock()
	bursts := map[object.AccountName]QuotaExcess{}
	if q.servingSince.IsZero() || now.Sub(q.servingSince) < MaxUsageWindow {
		for name, stored := range q.storedBursts {
			bursts[name] = stored.excess
		}
	}
	for name, u := range q.accounts {
		u.updateBurst(now)
		if u.burst.excess > bursts[name] {
			bursts[name] = u.burst.excess
		}
	}
	return bursts
}

// storedBurst is an excess that an arbiter has stored. seenAt is when this one learned of it, zero if before it served.
type storedBurst struct {
	excess QuotaExcess
	seenAt time.Time
}

// SetStoredBursts sets what is stored about bursts.
func (q *Quotas) SetStoredBursts(now time.Time, bursts map[object.AccountName]QuotaExcess) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.storedBursts, func(name object.AccountName, _ storedBurst) bool { return bursts[name] == 0 })
	for name, excess := range bursts {
		stored, found := q.storedBursts[name]
		if !found && !q.servingSince.IsZero() {
			stored.seenAt = now
		}
		stored.excess = excess
		q.storedBursts[name] = stored
	}
}

// unknownUsage returns the fraction of the limit that may have been used and is unknown. To what a front may have used evenly
// before it started, the excess that was stored by then is added.
func (q *Quotas) unknownUsage(now time.Time, window time.Duration, account object.AccountName) float64 {
	unknown := q.unknownFraction(now, window)
	stored, found := q.storedBursts[account]
	if unknown == 0 || !found {
		return unknown
	}
	u := &q.account(now, account).burstUnknown
	fronts := len(q.countingSince)
	if float64(fronts) > frontGrowth*float64(u.fronts) || u.excess != stored.excess || now.Sub(u.at) >= burstRefresh {
		*u = burstUnknown{q.sumUnknown(now, window, stored), now, fronts, stored.excess}
	}
	return u.fraction
}

// burstUnknown is the unknown usage of an account with a stored excess. It is kept for a short time, because there may be
// hundreds of fronts.
type burstUnknown struct {
	fraction float64
	at       time.Time
	// fronts and excess are the number of fronts and the excess for which it was computed.
	fronts int
	excess QuotaExcess
}

// sumUnknown computes the unknown usage of an account with a stored excess.
func (q *Quotas) sumUnknown(now time.Time, window time.Duration, stored storedBurst) float64 {
	sum := 0.0
	for _, startedAt := range q.countingSince {
		part := q.unknownOf(now, window, startedAt).Seconds() / window.Seconds()
		if part > 0 && !stored.seenAt.After(startedAt) {
			part = min(part+float64(stored.excess), 1)
		}
		sum += part
	}
	return sum / float64(len(q.countingSince))
}
