package gateway

import (
	"net/http"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// Dialect knows the headers and paths that callers and targets use.
type Dialect interface {
	// ReadDemand decodes the headers of a caller's request. It fills in what it can and
	// returns an error that names a header that is wrong.
	ReadDemand(h http.Header) (Demand, error)
	// WriteDispatch turns the headers of a caller into those for a target.
	WriteDispatch(h http.Header, d Dispatch)
	// ReadReply decodes the status and headers of a target's answer.
	ReadReply(status int, h http.Header) Reply
	// ReadinessPath is the path at which the readiness of this host is asked for.
	ReadinessPath() string
	// ResolvePath is the path at which callers ask which addresses to use.
	ResolvePath() string
	// WriteResolve encodes addresses and how long they may be kept.
	WriteResolve(addresses []string, ttl time.Duration) ([]byte, error)
}

// Demand is what the headers of a caller's request say.
type Demand struct {
	// ID is the caller's id of the request, for logs and to match answers.
	ID  string
	Key string
	// Left is the time that the caller will wait, 0 if it did not say.
	Left time.Duration
	// PromptTokens and OutputTokens are the size of a generation, 0 if not given.
	PromptTokens, OutputTokens int
	// ExpectedOutput is an estimate of the tokens of the answer, 0 if not given.
	ExpectedOutput int
	Prefixes       []wire.PrefixHash
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
}

// Tokens returns the size of the request, 0 if not given.
func (d *Demand) Tokens() int { return d.PromptTokens + d.OutputTokens }

// Dispatch is what a target is told beside the caller's request.
type Dispatch struct {
	Target  object.TargetName
	Account object.AccountName
	// Left is the time until the answer must be complete.
	Left time.Duration
	// LastEventID is set when a stream is resumed.
	LastEventID string
}

// Reply is what the status and headers of a target's answer say.
type Reply struct {
	// NotRun says that the target has not run the request and will not.
	NotRun bool
	// Wrong says that another target has the address now.
	Wrong bool
	// Leaving says that the target finishes what it has and wants nothing new.
	Leaving bool
	// RetryAfter is how long a target that has refused wants no requests, as it was sent.
	RetryAfter string
	// ID is the id of the request that was answered.
	ID string
	// Sealed answers bear the target's proof that they are its own.
	Sealed bool
}
