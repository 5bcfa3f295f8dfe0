package shard

import (
	"time"

	"redwinglock/internal/state/object"
)

// minQuotaShare is the part of its quota that each class of an account may use, whatever more
// urgent ones need.
const minQuotaShare = 0.15

// classUse is the part of one class of requests to one pool in the quota of an account.
type classUse struct {
	pool  object.PoolName
	class int
	// asked is what requests have asked for, and admitted what they were admitted.
	asked, admitted *UseWindow
}

// class returns the part of the class of a request.
func (u *quotaUse) class(now time.Time, c charge) *classUse {
	for _, k := range u.classes {
		if k.pool == c.pool && k.class == c.class {
			return k
		}
	}
	k := &classUse{pool: c.pool, class: c.class, asked: NewUseWindow(now), admitted: NewUseWindow(now)}
	u.classes = append(u.classes, k)
	return k
}

// classPart notes what a request asks for, and returns what its class and the less urgent ones
// have been admitted in the window, and how much of it they may use: more urgent requests of
// the account at the same pool are left what these asked for in the last window.
func (u *quotaUse) classPart(now time.Time, window time.Duration, limit float64, c charge) (used, left float64) {
	own := u.class(now, c)
	own.asked.Add(now, c.cost)
	if own.admitted.Sum(now, window)+c.cost <= limit*minQuotaShare {
		return 0, limit
	}
	left = limit
	for _, k := range u.classes {
		switch {
		case k.pool != c.pool:
		case k.class > c.class:
			left -= k.asked.Sum(now, window)
		default:
			used += k.admitted.Sum(now, window)
		}
	}
	return used, max(left, 0)
}
