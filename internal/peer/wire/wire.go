// Package wire defines the messages between a front, which holds the requests of callers, and the
// arbiter of a pool, which decides their order and their targets. The messages are sent as JSON
// lines on one stream in each direction.
package wire

import (
	"strconv"

	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// HostID identifies one run of a host process. A restarted process has a new HostID.
type HostID string

// RequestID identifies a request across all hosts. Request ids of callers are not unique and are
// never used for matching.
type RequestID string

// PrefixHash is the hash of a prefix of a prompt.
type PrefixHash uint64

// MaxPrefixParts bounds the parts of a prompt that are read from the header of a request. Ordinary
// requests have fewer than ten, but a header of 60 KiB has room for 30,000.
const MaxPrefixParts = 64

// String returns the hash in hexadecimal.
func (h PrefixHash) String() string { return strconv.FormatUint(uint64(h), 16) }

// Phase is the state of a request when a front registers it.
type Phase string

// The phases of a registered request.
const (
	Waiting Phase = "waiting"
	Running Phase = "running"
)

// Fingerprint is equal if a caller sends the same request again, and almost never equal for
// different requests.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// StreamID identifies a stream by the account and the id of the caller's request that began it.
type StreamID uint64

// Resumption says where a stream must go on.
type Resumption struct {
	// Stream is the stream that the caller resumes, 0 if the caller does not say or Version is known.
	Stream StreamID `json:"stream,omitempty"`
	// Version is the software version of the targets that began it. Bound is true if it is known.
	Version object.Generation `json:"version,omitempty"`
	Bound   bool              `json:"bound,omitempty"`
}

// Register registers a request with the arbiter. A front sends it for a new request, and again for
// each unfinished request when the arbiter of the pool changes.
type Register struct {
	ID      RequestID          `json:"id"`
	Pool    object.PoolName    `json:"pool"`
	Account object.AccountName `json:"account"`
	Tier    object.TierName    `json:"tier"`
	// Class is the tier of the kind of request, if the tier of the account replaces it. It orders
	// the requests within the tier. Empty means the same as Tier.
	Class        object.TierName `json:"class,omitempty"`
	PromptTokens int             `json:"prompt-tokens"`
	OutputTokens int             `json:"output-tokens"`
	Prefixes     []PrefixHash    `json:"prefixes,omitempty"`
	// DeadlineMS is the time left until the deadline of the caller, or 0 if there is none.
	DeadlineMS int64 `json:"deadline-ms,omitempty"`
	// AnswerWithinMS is the time left in which the answer should begin, or 0 if there is no limit.
	AnswerWithinMS int64 `json:"begin-ms,omitempty"`
	// DispatchWithinMS is the time left in which the request should be dispatched to meet
	// AnswerWithinMS. It is 0 if there is no limit, and negative if the request is past its latency
	// objective.
	DispatchWithinMS int64 `json:"objective-ms,omitempty"`
	// MayRetry is true if the caller has time to retry after a refusal.
	MayRetry bool `json:"may-return,omitempty"`
	// CallerWaitMS is how long the caller still waits, or 0 if it did not set a timeout. The
	// deadline may be earlier.
	CallerWaitMS int64 `json:"caller-left-ms,omitempty"`
	// Fingerprint is the fingerprint of the caller's request, or 0 if the caller cannot retry it.
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// MaxWaitMS limits the wait for a grant. 0 means the limit of the tier.
	MaxWaitMS int64 `json:"max-wait-ms,omitempty"`
	// QuotaCost is the cost of the request in the quota of its account, or 0 if it was charged
	// before.
	QuotaCost float64 `json:"quota-cost,omitempty"`
	// Front is the front that holds the request. The arbiter sets it.
	Front HostID `json:"-"`
	// Zone is the availability zone of the front.
	Zone object.Zone `json:"zone,omitempty"`
	// Avoid lists the targets of earlier attempts of the request.
	Avoid []object.TargetName `json:"avoid,omitempty"`
	// WaitedMS is how long the request has waited at the front so far.
	WaitedMS int64 `json:"waited-ms,omitempty"`
	Phase    Phase `json:"phase"`
	// Attempt counts the registrations of the request. A decision carries the attempt that it
	// answers.
	Attempt int `json:"attempt,omitempty"`
	// Target is the target that runs the request. It is set in phase running only.
	Target object.TargetName `json:"target,omitempty"`
	// Moved is true if the request was registered with another arbiter before.
	Moved bool `json:"moved,omitempty"`
	// PrefixTokens holds the number of tokens of each prefix part in Prefixes. It is empty if unknown.
	PrefixTokens []int `json:"prefix-tokens,omitempty"`
	// Stream is the stream that the request begins, 0 if it is none that can be resumed. Resumption is set if it continues
	// one.
	Stream     StreamID    `json:"stream,omitempty"`
	Resumption *Resumption `json:"resumption,omitempty"`
}

// Finish notifies the arbiter that a granted request has ended.
type Finish struct {
	ID   RequestID       `json:"id"`
	Pool object.PoolName `json:"pool"`
	// Dispatched is false if the grant was not used.
	Dispatched bool `json:"dispatched"`
	// Unreachable is true if no connection to the target could be opened.
	Unreachable bool `json:"unreachable,omitempty"`
	// Rejected is true if the target has refused the request and has not run it.
	Rejected bool `json:"rejected,omitempty"`
	// Failed is true if the target ended the answer early, returned an error of its own or did not
	// answer.
	Failed bool `json:"failed,omitempty"`
	// Begun is true if the answer was complete. Earlier builds also set it if at least two events arrived, and
	// their arbiters take it as a proof that no prefix of the prompt crashes targets.
	Begun bool `json:"begun,omitempty"`
	// Broken is true if neither a complete answer nor a complete error arrived.
	Broken bool `json:"broken,omitempty"`
	// Expired is true if the answer was not complete at the deadline.
	Expired bool `json:"expired,omitempty"`
	// ConnectionKept is true if the connection to the target is idle now and can be used again.
	ConnectionKept bool `json:"connection-kept,omitempty"`
	// Completed is true if the answer was complete and reported no error.
	Completed    bool `json:"completed,omitempty"`
	PromptTokens int  `json:"prompt-tokens,omitempty"`
	OutputTokens int  `json:"output-tokens,omitempty"`
	// FirstTokenMS is the time from sending the request to the first token, in milliseconds.
	FirstTokenMS int64 `json:"first-token-ms,omitempty"`
	// DecodeUS is the mean time between tokens in microseconds.
	DecodeUS int64 `json:"decode-us,omitempty"`
	// TotalUS is the time from sending the request to the end of an answer that is not a stream, in
	// microseconds.
	TotalUS int64 `json:"total-us,omitempty"`
}

// HasBegun reports whether a part of the answer arrived.
func (f Finish) HasBegun() bool { return f.Begun || f.OutputTokens > 0 }

// Withdraw removes a waiting request from the arbiter.
type Withdraw struct {
	ID   RequestID       `json:"id"`
	Pool object.PoolName `json:"pool"`
}

// Used reports the recent quota usage of the requests of a front. A front sends it before its first
// registration at an arbiter, which may have no record of this usage.
type Used struct {
	// AgeMS is the time for which the front has recorded its usage.
	AgeMS int64 `json:"age-ms"`
	// StepMS is the length of one step of the costs.
	StepMS   int64         `json:"step-ms"`
	Accounts []AccountUsed `json:"accounts,omitempty"`
}

// AccountUsed is the usage of one account, in the unit of its quota.
type AccountUsed struct {
	Account object.AccountName `json:"account"`
	// Costs is the usage by step, newest first.
	Costs []float64 `json:"costs"`
	// Others is the usage by all other fronts in one window of the quota, as the former arbiter
	// reported it OthersAgeMS ago. It is 0 if unknown.
	Others      float64 `json:"others,omitempty"`
	OthersAgeMS int64   `json:"others-age-ms,omitempty"`
}

// RequestRate is a number of requests per second.
type RequestRate float64

// RateNotice is what an answer of a target says about the rate limit of the target. The two ages
// bound the time at which the target sent the answer.
type RateNotice struct {
	// PerSecond is the number of requests per second that the target accepts from all hosts together.
	// 0 means that the answer names no limit.
	PerSecond RequestRate `json:"per-second,omitempty"`
	// SentAgeUS is the time since the request was sent, in microseconds.
	SentAgeUS int64 `json:"sent-age-us,omitempty"`
	// AnsweredAgeUS is the time since the answer arrived, in microseconds.
	AnsweredAgeUS int64 `json:"answered-age-us,omitempty"`
}

// TargetNotice carries between hosts what a target has reported about itself in an answer. A front
// sends it to the arbiter of the pool, which forwards it to all its fronts.
type TargetNotice struct {
	Pool   object.PoolName   `json:"pool"`
	Target object.TargetName `json:"target"`
	// StartedMS identifies the run of the target by its start time, in Unix milliseconds.
	StartedMS int64 `json:"started-ms,omitempty"`
	// Leaving is true if the target accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Moved is true if another target has the address now.
	Moved bool `json:"moved,omitempty"`
	// PauseMS is how long the target asks to receive no new requests, or 0 if it does not ask so.
	PauseMS int64 `json:"quiet-ms,omitempty"`
	// Rate is nil if the notice says nothing about a rate limit.
	Rate *RateNotice `json:"rate,omitempty"`
}

// CauseKind is the kind of a Cause.
type CauseKind string

// The kinds of causes.
const (
	// PrefixCause is a prefix of prompts. It has no text, as builds that know no other kind write none.
	PrefixCause CauseKind = ""
	// RequestCause is one request that its caller sends again and again, by its fingerprint.
	RequestCause CauseKind = "request"
)

// Cause is what requests that crash their targets may have in common.
type Cause struct {
	Kind CauseKind
	Hash uint64
}

// String returns the hash in hexadecimal.
func (c Cause) String() string { return strconv.FormatUint(c.Hash, 16) }

// PrefixState is what is known about a cause that may crash targets.
type PrefixState string

// The states of a cause.
const (
	// PrefixSuspect means that requests with the cause run one at a time.
	PrefixSuspect PrefixState = "suspect"
	// PrefixHeld means that requests with the cause are refused.
	PrefixHeld PrefixState = "held"
	// PrefixCleared means that the cause does not crash targets, or was released by an operator.
	PrefixCleared PrefixState = "cleared"
)

// PrefixNotice carries between hosts that requests with a cause crash targets. An arbiter sends it to its fronts,
// which send it to the next arbiter.
type PrefixNotice struct {
	Pool object.PoolName `json:"pool"`
	// Kind and Prefix are the cause. Earlier builds read any cause as a prefix, which no prompt has.
	Kind   CauseKind  `json:"kind,omitempty"`
	Prefix PrefixHash `json:"prefix"`
	// Version increases with each change. The notice with the highest version applies.
	Version int         `json:"version"`
	State   PrefixState `json:"state"`
	// Crashes is the number of crashes that were counted, Isolated the number of them by requests that
	// ran one at a time, and Requests the number of different requests, up to the one that matters.
	Crashes  int `json:"crashes,omitempty"`
	Isolated int `json:"isolated,omitempty"`
	Requests int `json:"requests,omitempty"`
	// ShareUnknown is true if the prefix was held before its share of all requests was known.
	ShareUnknown bool `json:"share-unknown,omitempty"`
	// Checks is the number of requests that were granted since the cause is held, or since a request has crashed as
	// many targets as one may. NextCheckMS is the time until the next one, 0 if there is none.
	Checks      int   `json:"checks,omitempty"`
	NextCheckMS int64 `json:"next-check-ms,omitempty"`
}

// Cause returns the cause that the notice is about.
func (n PrefixNotice) Cause() Cause { return Cause{n.Kind, uint64(n.Prefix)} }

// Grant permits the front to dispatch a request to a target.
type Grant struct {
	Attempt int               `json:"attempt,omitempty"` // Of the registration.
	ID      RequestID         `json:"id"`
	Target  object.TargetName `json:"target"`
	// WaitedMS is how long the request has waited, as measured by the arbiter.
	WaitedMS int64 `json:"waited-ms,omitempty"`
	// RateCounted is true if the arbiter has counted the grant against the rate limit of the target.
	RateCounted bool `json:"rate-counted,omitempty"`
	// OthersUsed is how much of the quota of the account all other fronts have used in its last window,
	// as far as the arbiter knows.
	OthersUsed float64 `json:"others-used,omitempty"`
	// Watch is true if a cause of the request is suspect or held, and the arbiter grants it nevertheless.
	Watch bool `json:"watch,omitempty"`
	// Resumption is set if the request continues a stream, with the version at which it must. Earlier builds grant such
	// requests anywhere and leave it out.
	Resumption *Resumption `json:"resumption,omitempty"`
}

// Refuse notifies the front that a waiting request will not be run.
type Refuse struct {
	Attempt      int            `json:"attempt,omitempty"` // Of the registration.
	ID           RequestID      `json:"id"`
	Reason       outcome.Reason `json:"reason"`
	RetryAfterMS int64          `json:"retry-after-ms"`
}

// Cancel preempts a running request in favor of a higher tier.
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
	// Notice is read as a heartbeat by builds that do not support it.
	Notice *TargetNotice `json:"notice,omitempty"`
	// Prefix is read as a heartbeat by builds that do not support it.
	Prefix *PrefixNotice `json:"prefix,omitempty"`
	// Left is true if new requests of the front go to another arbiter from now on.
	Left bool `json:"left,omitempty"`
}

// Down is one message from an arbiter to a front; one field is set, or none for a
// heartbeat.
type Down struct {
	Grant  *Grant  `json:"grant,omitempty"`
	Refuse *Refuse `json:"refuse,omitempty"`
	Cancel *Cancel `json:"cancel,omitempty"`
	// Notice is read as a heartbeat by builds that do not support it.
	Notice *TargetNotice `json:"notice,omitempty"`
	// Prefix is read as a heartbeat by builds that do not support it.
	Prefix *PrefixNotice `json:"prefix,omitempty"`
}
