package gateway

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/digest"
)

// fingerprint returns a digest by which a request is recognized that its caller sends again. It covers the account, the
// host name, the method, the URI and the body, but not what may differ in a retry, such as the request id, the time that
// the caller has left and the last event that it has. It is computed once, as the body does not change.
func (r *request) fingerprint() wire.Fingerprint {
	if r.digest != 0 {
		return r.digest
	}
	account := ""
	if r.account != nil {
		account = string(r.account.Name)
	}
	r.digest = wire.Fingerprint(digest.OfUntrusted(r.content(), account, r.hostName, r.requestLine))
	return r.digest
}

// causes returns what the request may have in common with others that crash targets.
func (r *request) causes() []wire.Cause {
	return quarantine.CausesOf(r.info.Prefixes, r.fingerprint())
}

// callerTimeLeft returns how long the caller still waits, 0 if it did not set a timeout.
func (r *request) callerTimeLeft() time.Duration {
	if r.info.Timeout == 0 {
		return 0
	}
	return max(r.info.Timeout-time.Since(r.arrived), time.Millisecond)
}
