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

// storeRetryAfter is the retry hint while the store cannot be reached.
const storeRetryAfter = 2 * time.Second

// claim is the idempotency key of a request that is held while it runs. A nil claim
// belongs to a request that needs none.
type claim struct {
	claims      *claims.Claims
	key         claims.Key
	token       string
	fingerprint string
}

// claim takes the idempotency key of a non-idempotent request. If the key was used
// before, it answers with what is known and returns true, or returns the failure.
func (s *Server) claim(c *gin.Context, r *request, nonIdempotent bool) (*claim, bool, error) {
	if !nonIdempotent {
		return nil, false, nil
	}
	if r.idempotencyKey == "" {
		return nil, false, outcome.Invalid(HeaderIdempotencyKey, "is needed for a non-idempotent request")
	}
	held := &claim{
		claims:      s.claims,
		key:         claims.KeyFor(r.account.Name, r.idempotencyKey),
		token:       string(r.id),
		fingerprint: fingerprint(c, r),
	}
	ctx, cancel := r.context(c)
	defer cancel()
	other, err := s.claims.Acquire(ctx, held.key, held.token, held.fingerprint)
	if err != nil {
		r.log.WithError(err).Warn("Claim not confirmed.")
		if !errors.Is(err, claims.ErrNotAsked) {
			s.claims.Release(held.key, held.token, held.fingerprint)
		}
		return nil, false, outcome.Refuse(outcome.StoreUnavailable, storeRetryAfter, "the idempotency key cannot be claimed now")
	}
	if other == nil {
		return held, false, nil
	}
	return nil, true, s.replay(c, held, other)
}

// replay answers a repeated request with what is known about the first one.
func (s *Server) replay(c *gin.Context, held *claim, other *claims.Record) error {
	if other.Fingerprint != held.fingerprint {
		return outcome.Failure{
			Outcome: outcome.NotRun, Reason: outcome.KeyReused, Field: HeaderIdempotencyKey,
			Message: HeaderIdempotencyKey + ": was used for a different request",
		}.Err()
	}
	c.Header(HeaderReplayed, "true")
	switch {
	case other.State == claims.Answered && other.Kept:
		c.Data(other.Status, other.ContentType, other.Body)
		return nil
	case other.State == claims.Answered:
		return outcome.Lost(outcome.Incomplete, outcome.KeyInUse, "the request was run and answered with status %d; the answer was not kept", other.Status)
	case other.State == claims.Failed:
		return outcome.Lost(other.Failure, other.Reason, "the request was sent before and failed")
	}
	return outcome.Failure{
		Outcome: outcome.Unknown, Reason: outcome.KeyInUse, RetryAfter: time.Second,
		Message: "a request with this key is running, or its host was lost while it ran",
	}.Err()
}

// fingerprint identifies the content of a request.
func fingerprint(c *gin.Context, r *request) string {
	digest := sha256.New()
	digest.Write([]byte(c.Request.Method + " " + c.Request.URL.RequestURI() + "\n"))
	digest.Write(r.body)
	return hex.EncodeToString(digest.Sum(nil))
}

// end records how the request ended. A request that was not run gives its key back.
func (h *claim) end(err error, answer *service.Answer) {
	if h == nil {
		return
	}
	record := claims.Record{State: claims.Answered, Token: h.token, Fingerprint: h.fingerprint, Status: http.StatusOK}
	if err != nil {
		failure := outcome.Describe(err)
		if failure.Outcome == outcome.NotRun {
			h.claims.Release(h.key, h.token, h.fingerprint)
			return
		}
		record.State = claims.Failed
		record.Failure = failure.Outcome
		record.Reason = failure.Reason
	} else if answer != nil {
		record.Status = answer.Status
		record.ContentType = answer.Header.Get("Content-Type")
		record.Body = answer.Body
		record.Kept = true
	}
	h.claims.Record(h.key, record)
}
