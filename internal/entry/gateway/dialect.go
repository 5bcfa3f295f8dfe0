package gateway

import (
	"net/http"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// Dialect translates the headers and paths that callers and targets use.
type Dialect interface {
	// ReadRequest decodes the headers of a caller's request. If a header is invalid, it returns an
	// error that names it, together with the fields that it could read.
	ReadRequest(h http.Header) (RequestInfo, error)
	// WriteDispatch changes the headers of a caller's request into those for a target.
	WriteDispatch(h http.Header, d Dispatch)
	// ReadReply decodes the status and headers of a target's response.
	ReadReply(status int, h http.Header) Reply
	// ReadinessPath is the path of the readiness check of this host.
	ReadinessPath() string
	// ResolvePath is the path of the list of addresses for callers.
	ResolvePath() string
	// WriteResolve encodes a list of addresses and how long callers may cache it.
	WriteResolve(addresses []string, ttl time.Duration) ([]byte, error)
}

// RequestInfo is the content of the headers of a caller's request.
type RequestInfo struct {
	// ID is the caller's id of the request. It is logged, and a response is valid only if the target
	// returns the same id.
	ID  string
	Key string
	// Timeout is how long the caller waits for the answer, 0 if not given.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, and OutputTokens the limit on the length of the
	// answer. Both are 0 if not given.
	PromptTokens, OutputTokens int
	// ExpectedOutput is an estimate of the length of the answer in tokens, 0 if not given.
	ExpectedOutput int
	Prefixes       []wire.PrefixHash
	// PrefixTokens holds the number of tokens of each part in Prefixes. It is nil if one is unknown.
	PrefixTokens []int
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// Resumes is the id of the caller's request that brought the first event of the stream that it resumes, empty if not
	// given.
	Resumes string
}

// Tokens returns the size of the request in tokens, 0 if not given.
func (d *RequestInfo) Tokens() int { return d.PromptTokens + d.OutputTokens }

// Dispatch holds the data that is added to a caller's request for a target.
type Dispatch struct {
	Target  object.TargetName
	Account object.AccountName
	// TimeLeft is the remaining time until the answer must be complete.
	TimeLeft time.Duration
	// LastEventID is set when a stream is resumed.
	LastEventID string
}

// Reply is the content of the status and headers of a target's response.
type Reply struct {
	// NotRun is set if the target has not run the request and will not run it.
	NotRun bool
	// SaysNotRun is set if callers take the status for a promise that the request has not run, but the target
	// does not say so.
	SaysNotRun bool
	// Misdirected is set if the address now belongs to another target.
	Misdirected bool
	// Leaving is set if the target finishes its current requests and accepts no new ones.
	Leaving bool
	// RetryAfter is the unparsed number of seconds for which a target that refused the request
	// accepts no requests, empty if not given.
	RetryAfter string
	// RateLimit is the unparsed rate limit of the target in requests per second, as often as the
	// response names it, nil if it names none.
	RateLimit []string
	// ID is the id of the request that was answered.
	ID string
	// Sealed is set if the response has the seal by which a target proves that it sent it.
	Sealed bool
}
