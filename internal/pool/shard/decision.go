package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// Decision is one of Grant, Refuse and Cancel.
type Decision interface {
	sealed()
}

// Grant permits a waiting request to be dispatched to a target.
type Grant struct {
	ID     wire.RequestID
	Target object.TargetName
	Tier   object.TierName
	Waited time.Duration
}

// Refuse ends a waiting request.
type Refuse struct {
	ID   wire.RequestID
	Tier object.TierName
	// Class is the tier of the kind of request.
	Class      object.TierName
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Waited is how long the request was queued, and Late tells whether it was out of time
	// for its objective.
	Waited time.Duration
	Late   bool
	// MayReturn tells whether the caller has the time to come back.
	MayReturn bool
	// Quota is set if the account has used up its quota.
	Quota *QuotaState
}

// QuotaState is what a refusal for a quota rested on, in the unit of the quota.
type QuotaState struct {
	Account object.AccountName
	// Cost is what the request would have used.
	Cost float64
	// Used is what the account has used in the last window, with what its waiting requests
	// will use and the part that nobody remembers, and Limit what it may.
	Used, Limit float64
	// ClassUsed is what the class of the request and less urgent ones have used of it, and
	// ClassLimit what more urgent requests leave to them; both 0 if there is no window.
	ClassUsed, ClassLimit float64
}

// Cancel stops a running request so that a higher tier gets its slot.
type Cancel struct {
	ID   wire.RequestID
	Tier object.TierName
}

func (Grant) sealed()  {}
func (Refuse) sealed() {}
func (Cancel) sealed() {}
