// Package wire defines the messages between a front, which holds callers' requests,
// and the arbiter of a pool, which decides their order and their targets. They travel as JSON lines on one stream in each direction.
package wire

import (
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// HostID identifies one run of one process: a restart gets a new one.
type HostID string

// RequestID identifies a request across all hosts. Callers' own request ids are not
// unique and are never used for matching.
type RequestID string

// PrefixHash is the hash of a leading part of a prompt.
type PrefixHash uint64

// Phase is the state of a request when a front registers it.
type Phase string

// The phases of a registered request.
const (
	Waiting Phase = "waiting"
	Running Phase = "running"
)

// Fingerprint is the same for two visits of a caller with the same request, and hardly ever for
// requests that differ.
type Fingerprint uint64

// Register tells the arbiter about a request. A front sends it for a new request,
// and again for each unfinished one when the arbiter of the pool has changed.
type Register struct {
	ID      RequestID          `json:"id"`
	Pool    object.PoolName    `json:"pool"`
	Account object.AccountName `json:"account"`
	Tier    object.TierName    `json:"tier"`
	// Class is the tier of the kind of request, if that of the account replaces it: it
	// orders the requests within the tier. Empty: the same as the tier.
	Class        object.TierName `json:"class,omitempty"`
	PromptTokens int             `json:"prompt-tokens"`
	OutputTokens int             `json:"output-tokens"`
	Prefixes     []PrefixHash    `json:"prefixes,omitempty"`
	// DeadlineMS is the time left until the deadline of the caller, 0 if it has none.
	DeadlineMS int64 `json:"deadline-ms,omitempty"`
	// BeginMS is the time left within which the answer should begin, 0 if none is set.
	BeginMS int64 `json:"begin-ms,omitempty"`
	// ObjectiveMS is the time left within which the request should be sent for that, 0 if
	// none is set and negative if it has passed.
	ObjectiveMS int64 `json:"objective-ms,omitempty"`
	// MayReturn says that the caller has time to come back when the request is refused.
	MayReturn bool `json:"may-return,omitempty"`
	// CallerLeftMS is how long the caller waits from now on, 0 if it did not say. The deadline
	// may lie before that.
	CallerLeftMS int64 `json:"caller-left-ms,omitempty"`
	// Fingerprint is that of the caller's request, 0 for one that cannot come back.
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// MaxWaitMS bounds the wait for a grant, 0 for the bound of the tier.
	MaxWaitMS int64 `json:"max-wait-ms,omitempty"`
	// QuotaCost is what the request uses of the quota of its account; 0 for a request that
	// was charged before.
	QuotaCost float64 `json:"quota-cost,omitempty"`
	// Front is the front that holds the request. The arbiter fills it in.
	Front HostID `json:"-"`
	// Zone is the availability zone of the front.
	Zone object.Zone `json:"zone,omitempty"`
	// Avoid are targets that the request was sent to before.
	Avoid []object.TargetName `json:"avoid,omitempty"`
	// WaitedMS is how long the request has waited already.
	WaitedMS int64 `json:"waited-ms,omitempty"`
	Phase    Phase `json:"phase"`
	// Attempt counts the registrations of the request; decisions name the one they answer.
	Attempt int `json:"attempt,omitempty"`
	// Target is where the request runs, set in phase running only.
	Target object.TargetName `json:"target,omitempty"`
	// Moved says that another arbiter knew the request before.
	Moved bool `json:"moved,omitempty"`
}

// Finish tells the arbiter that a granted request has ended.
type Finish struct {
	ID   RequestID       `json:"id"`
	Pool object.PoolName `json:"pool"`
	// Dispatched is false if the grant was not used.
	Dispatched bool `json:"dispatched"`
	// Unreachable is true if no connection to the target could be opened.
	Unreachable bool `json:"unreachable,omitempty"`
	// Rejected is true if the target has refused the request and not run it.
	Rejected bool `json:"rejected,omitempty"`
	// Failed is true if the target broke off, answered with an error of its own or not at all.
	Failed bool `json:"failed,omitempty"`
	// Broken is true if no whole answer came, also not an error.
	Broken bool `json:"broken,omitempty"`
	// Expired is true if there was no whole answer when the time was up.
	Expired      bool  `json:"expired,omitempty"`
	Completed    bool  `json:"completed,omitempty"`
	PromptTokens int   `json:"prompt-tokens,omitempty"`
	OutputTokens int   `json:"output-tokens,omitempty"`
	FirstTokenMS int64 `json:"first-token-ms,omitempty"`
	// DecodeUS is the mean time between tokens in microseconds.
	DecodeUS int64 `json:"decode-us,omitempty"`
	// TotalUS is the time of a whole plain answer in microseconds.
	TotalUS int64 `json:"total-us,omitempty"`
}

// Withdraw tells the arbiter that a waiting request is no longer wanted.
type Withdraw struct {
	ID   RequestID       `json:"id"`
	Pool object.PoolName `json:"pool"`
}

// Used tells an arbiter what the requests of a front have used of quotas lately. It comes
// before the first registration at an arbiter, which may be new to the front.
type Used struct {
	// AgeMS is for how long the front has kept count.
	AgeMS int64 `json:"age-ms"`
	// StepMS is the length of the steps of the costs.
	StepMS   int64         `json:"step-ms"`
	Accounts []AccountUsed `json:"accounts,omitempty"`
}

// AccountUsed is what one account has used, in the unit of its quota.
type AccountUsed struct {
	Account object.AccountName `json:"account"`
	// Costs are the uses by step, the newest first.
	Costs []float64 `json:"costs"`
}

// TargetNotice tells the arbiter of a pool what a target has said of itself in an answer.
type TargetNotice struct {
	Pool   object.PoolName   `json:"pool"`
	Target object.TargetName `json:"target"`
	// StartedMS names the run of the target: when it started, in Unix milliseconds.
	StartedMS int64 `json:"started-ms,omitempty"`
	// Leaving targets take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Moved says that another target has the address.
	Moved bool `json:"moved,omitempty"`
	// QuietMS is for how long the target wants no requests.
	QuietMS int64 `json:"quiet-ms,omitempty"`
}

// Grant permits the front to dispatch a request to a target.
type Grant struct {
	Attempt int               `json:"attempt,omitempty"` // Of the registration.
	ID      RequestID         `json:"id"`
	Target  object.TargetName `json:"target"`
	// WaitedMS is how long the request has waited as the arbiter knows.
	WaitedMS int64 `json:"waited-ms,omitempty"`
}

// Refuse tells the front that a waiting request will not be run.
type Refuse struct {
	Attempt      int            `json:"attempt,omitempty"` // Of the registration.
	ID           RequestID      `json:"id"`
	Reason       outcome.Reason `json:"reason"`
	RetryAfterMS int64          `json:"retry-after-ms"`
}

// Cancel tells the front to stop a running request in favour of a higher tier.
type Cancel struct {
	Attempt int       `json:"attempt,omitempty"` // Of the registration.
	ID      RequestID `json:"id"`
}

// Up is one message from a front to an arbiter; one field is set, or none for a
// heartbeat.
type Up struct {
	Register *Register `json:"register,omitempty"`
	Finish   *Finish   `json:"finish,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Used     *Used     `json:"used,omitempty"`
	// Notice is read as a heartbeat by builds that do not know it.
	Notice *TargetNotice `json:"notice,omitempty"`
	// Left says that the new requests of the front go to another arbiter from now on.
	Left bool `json:"left,omitempty"`
}

// Down is one message from an arbiter to a front; one field is set, or none for a
// heartbeat.
type Down struct {
	Grant  *Grant  `json:"grant,omitempty"`
	Refuse *Refuse `json:"refuse,omitempty"`
	Cancel *Cancel `json:"cancel,omitempty"`
}
