package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// Decision is a Grant, Refuse, Cancel, Announce or ReportCrash.
type Decision interface {
	isDecision()
}

// Grant permits a waiting request to be dispatched to a target.
type Grant struct {
	ID     wire.RequestID
	Target object.TargetName
	Tier   object.TierName
	// Waited is the time in the queue.
	Waited time.Duration
	// RateCounted is set if the grant counts against a rate limit of the target.
	RateCounted bool
	// OthersUsed is the usage of the account's quota by all other fronts in its last window.
	OthersUsed float64
	// Watch is set if a prefix of the request is suspect or held.
	Watch bool
	// Resumption is set if the request continues a stream, with its version.
	Resumption *wire.Resumption
}

// Refuse ends a waiting request.
type Refuse struct {
	ID   wire.RequestID
	Tier object.TierName
	// Class is the tier of the kind of request. It differs from Tier if the tier of the account
	// replaces it.
	Class  object.TierName
	Reason outcome.Reason
	// RetryAfter is the suggested delay before a retry, including jitter.
	RetryAfter time.Duration
	// Waited is the time in the queue. Late reports whether the request was past its latency
	// objective.
	Waited time.Duration
	Late   bool
	// MayRetry reports whether the caller has time to retry.
	MayRetry bool
	// Quota is set if the request exceeds the quota of its account.
	Quota *QuotaState
}

// QuotaState holds the figures behind a refusal for a quota, in the unit of the quota.
type QuotaState struct {
	Account object.AccountName
	// Cost is the cost of the refused request.
	Cost float64
	// Used is the usage that counts in the current window: grants, admitted requests that wait, and
	// an allowance for unknown usage. Limit is the highest usage that is allowed.
	Used, Limit float64
	// ClassUsed is the usage of the request's class and of less urgent classes. ClassLimit is the
	// part of the limit that more urgent requests leave to them. Both are 0 if the quota has no
	// window.
	ClassUsed, ClassLimit float64
	// Elsewhere is the usage of fronts of which this arbiter has no record, as former arbiters knew it. Unknown is the
	// fraction of the limit that may have been used without a record.
	Elsewhere, Unknown float64
}

// Cancel stops a running request to free its slot for a higher tier.
type Cancel struct {
	ID   wire.RequestID
	Tier object.TierName
}

// Announce notifies all hosts of a prompt prefix that may crash targets.
type Announce struct {
	Notice wire.PrefixNotice
}

// ReportCrash reports that a target has crashed while it ran requests, for the log and the metrics.
type ReportCrash struct {
	Crash quarantine.Crash
}

func (Grant) isDecision()       {}
func (Refuse) isDecision()      {}
func (Cancel) isDecision()      {}
func (Announce) isDecision()    {}
func (ReportCrash) isDecision() {}
