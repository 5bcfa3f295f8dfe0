package gateway

import (
	"strconv"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/digest"
)

// fingerprint returns what stays the same when a caller sends its request again: all but the
// request id and the time that is left.
func (r *request) fingerprint() wire.Fingerprint {
	account := ""
	if r.account != nil {
		account = string(r.account.Name)
	}
	size := strconv.Itoa(r.demand.PromptTokens) + "," + strconv.Itoa(r.demand.OutputTokens)
	return wire.Fingerprint(digest.Of(account, string(r.route.Name), r.line, size, string(r.body)))
}

// callerLeft returns how long the caller still waits, 0 if it did not say.
func (r *request) callerLeft() time.Duration {
	if r.demand.Left == 0 {
		return 0
	}
	return max(r.demand.Left-time.Since(r.arrived), time.Millisecond)
}
