package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/fleet/service"
	"redwinglock/internal/platform/claims"
	"redwinglock/internal/state/outcome"
)

// storeRetryAfter is the retry hint while the store is not reachable.
const storeRetryAfter = 2 * time.Second

// claim is the claim of a request on its idempotency key. It is nil if the request needs none.
type claim struct {
	claims      *claims.Claims
	key         claims.Key
	token       string
	fingerprint string
}

// claim claims the idempotency key of a non-idempotent request. It returns nil if the request
// needs no claim. If the key was claimed before, it returns true: then it has answered the request
// with the stored answer, or returns why there is none.
func (s *Server) claim(c *gin.Context, r *request, nonIdempotent bool) (*claim, bool, error) {
	if !nonIdempotent {
		return nil, false, nil
	}
	if r.idempotencyKey == "" {
		return nil, false, outcome.Invalid(HeaderIdempotencyKey, "is needed for a non-idempotent request")
	}
	own := &claim{
		claims:      s.claims,
		key:         claims.KeyFor(r.account.Name, r.idempotencyKey),
		token:       string(r.id),
		fingerprint: fingerprint(c, r),
	}
	ctx, cancel := r.context(c)
	defer cancel()
	other, err := s.claims.Acquire(ctx, own.key, own.token, own.fingerprint)
	if err != nil {
		r.log.WithError(err).Warn("Claim of the idempotency key not confirmed.")
		if !errors.Is(err, claims.ErrStoreNotCalled) {
			s.claims.Release(own.key, own.token, own.fingerprint)
		}
		return nil, false, outcome.Refuse(outcome.StoreUnavailable, storeRetryAfter, "the idempotency key cannot be claimed now")
	}
	if other == nil {
		return own, false, nil
	}
	return nil, true, s.replay(c, own, other)
}

// replay answers a retried request by the record of the earlier one with the same key.
func (s *Server) replay(c *gin.Context, own *claim, other *claims.Record) error {
	if other.Fingerprint != own.fingerprint {
		return outcome.Failure{
			Outcome: outcome.NotRun, Reason: outcome.KeyReused, Field: HeaderIdempotencyKey,
			Message: HeaderIdempotencyKey + ": was used for a different request",
		}.Err()
	}
	c.Header(HeaderReplayed, "true")
	switch {
	case other.State == claims.Answered && other.BodyStored:
		c.Data(other.Status, other.ContentType, other.Body)
		return nil
	case other.State == claims.Answered:
		return outcome.NotCompleted(outcome.Incomplete, outcome.KeyInUse, "the request was run and answered with status %d; the answer was not kept", other.Status)
	case other.State == claims.Failed:
		return outcome.NotCompleted(other.Failure, other.Reason, "the request was sent before and failed")
	}
	return outcome.Failure{
		Outcome: outcome.Unknown, Reason: outcome.KeyInUse, RetryAfter: time.Second,
		Message: "a request with this key is running, or its host was lost while it ran",
	}.Err()
}

// fingerprint returns a digest of the method, the URI and the body of a request.
func fingerprint(c *gin.Context, r *request) string {
	digest := sha256.New()
	digest.Write([]byte(c.Request.Method + " " + c.Request.URL.RequestURI() + "\n"))
	digest.Write(r.body)
	return hex.EncodeToString(digest.Sum(nil))
}

// end records the outcome of the request. If the request did not run, it releases the key.
func (c *claim) end(err error, answer *service.Answer) {
	if c == nil {
		return
	}
	record := claims.Record{State: claims.Answered, Token: c.token, Fingerprint: c.fingerprint, Status: http.StatusOK}
	if err != nil {
		failure := outcome.FailureOf(err)
		if failure.Outcome == outcome.NotRun {
			c.claims.Release(c.key, c.token, c.fingerprint)
			return
		}
		record.State = claims.Failed
		record.Failure = failure.Outcome
		record.Reason = failure.Reason
	} else if answer != nil {
		record.Status = answer.Status
		record.ContentType = answer.Header.Get("Content-Type")
		record.Body = answer.Body
		record.BodyStored = true
	}
	c.claims.Record(c.key, record)
}
