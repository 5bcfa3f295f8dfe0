package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// maxNameBytes bounds request ids and idempotency keys in headers.
const maxNameBytes = 256

// request is one request of a caller. Its headers are validated, its body is not.
type request struct {
	id       wire.RequestID
	callerID string // The caller's own request id, used for logs only.
	snapshot *object.Snapshot
	account  *object.Account
	tier     object.TierName
	deadline time.Time // Zero if the caller set none.
	arrived  time.Time
	// nonIdempotent is set if the caller marked the request as non-idempotent.
	nonIdempotent bool
	// idempotencyKey is used for non-idempotent requests only.
	idempotencyKey string
	body           []byte
	log            *logrus.Entry
}

// handler serves a request of an authenticated account. If it returns an error, withRequest answers
// with that error, unless the handler has already written a part of the answer.
type handler func(c *gin.Context, r *request) error

// withRequest authenticates the account, checks the headers, reads the body and calls the handler.
// It answers errors.
func (s *Server) withRequest(h handler) gin.HandlerFunc {
	return func(c *gin.Context) {
		s.active.Add(1)
		s.inFlight.Add(1)
		defer s.active.Done()
		defer s.inFlight.Add(-1)
		r := &request{id: s.newID(), arrived: time.Now(), callerID: callerID(c)}
		c.Header(HeaderRequestID, r.callerID)
		err := s.read(c, r)
		if err == nil {
			err = s.runWithinLimits(c, r, h)
		}
		if err != nil && !c.Writer.Written() {
			s.fail(c, r, err)
		}
	}
}

// runWithinLimits calls the handler if the limits of the account allow the request.
func (s *Server) runWithinLimits(c *gin.Context, r *request, h handler) error {
	release, err := s.limits.admit(r.account)
	if err != nil {
		return err
	}
	defer release()
	return h(c, r)
}

// callerID returns the caller's request id, cut to maxNameBytes.
func callerID(c *gin.Context) string {
	id := c.GetHeader(HeaderRequestID)
	if len(id) > maxNameBytes {
		return id[:maxNameBytes]
	}
	return id
}

func (s *Server) read(c *gin.Context, r *request) error {
	if s.closed.Load() {
		return outcome.Refuse(outcome.HostStopping, time.Second, "this host is stopping; ask /v1/addresses for another")
	}
	r.snapshot = s.board.Config()
	if r.snapshot == nil {
		return outcome.Refuse(outcome.NoConfiguration, time.Second, "this host has no configuration yet")
	}
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if found {
		r.account = r.snapshot.AccountByKey(key)
	}
	if r.account == nil {
		return outcome.Refuse(outcome.UnknownAccount, 0, "Authorization: no account has this key")
	}
	if err := r.readHeaders(c); err != nil {
		return err
	}
	r.log = s.log.WithFields(logrus.Fields{"request": r.id, "caller-request": r.callerID, "account": r.account.Name, "tier": r.tier})
	return s.readBody(c, r)
}

func (r *request) readHeaders(c *gin.Context) error {
	r.tier = r.account.Tiers[0]
	if requested := c.GetHeader(HeaderTier); requested != "" {
		r.tier = object.TierName(requested)
		if !slices.Contains(r.account.Tiers, r.tier) {
			return outcome.Refuse(outcome.TierNotAllowed, 0, "%s: the account may not use this tier", HeaderTier)
		}
	}
	if text := c.GetHeader(HeaderDeadline); text != "" {
		deadline, err := parseDeadline(text, r.arrived)
		if err != nil {
			return outcome.Invalid(HeaderDeadline, "%v", err)
		}
		if !deadline.After(r.arrived) {
			return outcome.Refuse(outcome.DeadlinePassed, 0, "%s: the deadline has passed", HeaderDeadline)
		}
		r.deadline = deadline
	}
	switch c.GetHeader(HeaderNonIdempotent) {
	case "", "false":
	case "true":
		r.nonIdempotent = true
	default:
		return outcome.Invalid(HeaderNonIdempotent, "is neither true nor false")
	}
	r.idempotencyKey = c.GetHeader(HeaderIdempotencyKey)
	if len(r.idempotencyKey) > maxNameBytes {
		return outcome.Invalid(HeaderIdempotencyKey, "is longer than %d bytes", maxNameBytes)
	}
	return nil
}

// parseDeadline parses an RFC 3339 time or a duration such as "1500ms".
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if timeout, err := time.ParseDuration(text); err == nil {
		return now.Add(timeout), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errors.New("is neither a duration nor an RFC 3339 time")
	}
	return deadline, nil
}

func (s *Server) readBody(c *gin.Context, r *request) error {
	limit := s.common.Settings.Callers.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.Refuse(outcome.RequestTooLarge, 0, "body: is larger than %d bytes", limit)
	}
	if err != nil {
		return outcome.Invalid("body", "was cut off or sent too slowly")
	}
	r.body = body
	// The read timeout was for the body only; without this it would end a long answer.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
	return nil
}

// context returns the context of a request. It is canceled when the caller disconnects or the
// deadline passes.
func (r *request) context(c *gin.Context) (context.Context, context.CancelFunc) {
	if r.deadline.IsZero() {
		return context.WithCancel(c.Request.Context())
	}
	return context.WithDeadline(c.Request.Context(), r.deadline)
}

// registration returns the registration of the request with the arbiter.
func (r *request) registration(pool object.PoolName) wire.Register {
	w := wire.Register{ID: r.id, Pool: pool, Account: r.account.Name, Tier: r.tier, PromptTokens: 1}
	if !r.deadline.IsZero() {
		w.DeadlineMS = max(time.Until(r.deadline).Milliseconds(), 1)
	}
	return w
}

// errorBody is an error in the OpenAI format with additional fields of redwinglock.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Param        *string         `json:"param"`
	Code         string          `json:"code"`
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RetryAfterMS int64           `json:"retry-after-ms"`
}

func newErrorBody(f outcome.Failure) errorBody {
	detail := errorDetail{
		Message:      f.Message,
		Type:         errorType(f.Status()),
		Code:         string(f.Reason),
		Outcome:      f.Outcome,
		Reason:       f.Reason,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}
	if f.Field != "" {
		detail.Param = &f.Field
	}
	return errorBody{detail}
}

// errorType returns the OpenAI error type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// fail answers a request with its failure.
func (s *Server) fail(c *gin.Context, r *request, err error) {
	failure := outcome.FailureOf(err)
	s.countFailure(r, failure)
	if failure.RetryAfter > 0 {
		seconds := (failure.RetryAfter + time.Second - 1) / time.Second
		c.Header("Retry-After", fmt.Sprint(int64(seconds)))
		c.Header("Retry-After-Ms", fmt.Sprint(failure.RetryAfter.Milliseconds()))
	} else {
		// The published client libraries of the OpenAI API retry some statuses automatically. Here
		// a retry is useless or may run the request a second time.
		c.Header(HeaderShouldRetry, "false")
	}
	c.JSON(failure.Status(), newErrorBody(failure))
}

// countFailure counts a failure in the metrics and logs it.
func (s *Server) countFailure(r *request, f outcome.Failure) {
	s.common.CountRefusal(f.Reason)
	if r.log == nil {
		s.log.WithFields(logrus.Fields{"request": r.id, "outcome": f.Outcome, "reason": f.Reason}).Info("Request refused.")
		return
	}
	r.log.WithFields(logrus.Fields{"outcome": f.Outcome, "reason": f.Reason}).Info("Request failed.")
}

// rejectionJSON returns the body of the engine's error response, or nil if it is not JSON.
func rejectionJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	return nil
}
