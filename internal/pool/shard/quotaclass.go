package shard

import (
	"time"

	"redwinglock/internal/state/object"
)

// minQuotaShare is the fraction of its quota that each class of an account may use regardless of
// the demand of more urgent classes.
const minQuotaShare = 0.15

// classUsage is the usage of an account's quota by one class of requests to one pool.
type classUsage struct {
	pool  object.PoolName
	class int
	// requested is the cost of all requests, admitted that of the admitted ones.
	requested, admitted *UsageWindow
}

// class returns the usage of the request's class.
func (u *accountUsage) class(now time.Time, c quotaCharge) *classUsage {
	for _, k := range u.classes {
		if k.pool == c.pool && k.class == c.class {
			return k
		}
	}
	k := &classUsage{pool: c.pool, class: c.class, requested: NewUsageWindow(now), admitted: NewUsageWindow(now)}
	u.classes = append(u.classes, k)
	return k
}

// classUsedAndLimit records the cost of a request. It returns the cost admitted in the window
// for the class and less urgent ones, and the limit for that cost. The limit excludes what more
// urgent classes of the account requested at the same pool in the last window.
func (u *accountUsage) classUsedAndLimit(now time.Time, window time.Duration, limit float64, c quotaCharge) (classUsed, classLimit float64) {
	own := u.class(now, c)
	own.requested.Add(now, c.cost)
	if own.admitted.Sum(now, window)+c.cost <= limit*minQuotaShare {
		return 0, limit
	}
	classLimit = limit
	for _, k := range u.classes {
		switch {
		case k.pool != c.pool:
		case k.class > c.class:
			classLimit -= k.requested.Sum(now, window)
		default:
			classUsed += k.admitted.Sum(now, window)
		}
	}
	return classUsed, max(classLimit, 0)
}
