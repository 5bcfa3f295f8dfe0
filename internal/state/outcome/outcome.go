// Package outcome defines all the ways in which a request can fail. Each failure tells the
// caller whether the request may have run.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome states what is known about the execution of a failed request.
type Outcome string

// The outcomes of a failed request.
const (
	// NotRun means that no byte of the request reached a target.
	NotRun Outcome = "not-run"
	// Incomplete means that the request ran, but its answer was interrupted.
	Incomplete Outcome = "incomplete"
	// Unknown means that the request was dispatched and it is not known whether it ran.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable reason of a failure. The list of reasons is closed.
type Reason string

// The reasons that a caller can receive. docs/API.md lists them with their status.
const (
	InvalidRequest        Reason = "invalid-request"
	RequestTooLarge       Reason = "request-too-large"
	UnknownAccount        Reason = "unknown-account"
	UnknownModel          Reason = "unknown-model"
	UnknownPool           Reason = "unknown-pool"
	UnknownRoute          Reason = "unknown-route"
	TierNotAllowed        Reason = "tier-not-allowed"
	DeadlinePassed        Reason = "deadline-passed"
	DeadlineUnreachable   Reason = "deadline-unreachable"
	AccountLimit          Reason = "account-limit"
	QueueFull             Reason = "queue-full"
	QueueTimeout          Reason = "queue-timeout"
	NoTarget              Reason = "no-target"
	HostStopping          Reason = "host-stopping"
	NoConfiguration       Reason = "no-configuration"
	StoreUnavailable      Reason = "store-unavailable"
	NoMemory              Reason = "no-memory"
	KeyInUse              Reason = "idempotency-key-in-use"
	KeyReused             Reason = "idempotency-key-reused"
	CallerDisconnected    Reason = "caller-gone"
	Preempted             Reason = "preempted"
	TargetsFull           Reason = "targets-full"
	TargetsRateLimited    Reason = "targets-rate-limited"
	PromptHeld            Reason = "prompt-held"
	RequestHeld           Reason = "request-held"
	StreamUnknown         Reason = "stream-unknown"
	StreamVersionGone     Reason = "stream-version-gone"
	TargetRefused         Reason = "target-refused"
	TargetLost            Reason = "target-lost"
	TargetSilent          Reason = "target-silent"
	TargetInvalidResponse Reason = "target-invalid-response"
)

// statusByReason is the HTTP status for each reason.
var statusByReason = map[Reason]int{
	InvalidRequest:        http.StatusBadRequest,
	RequestTooLarge:       http.StatusRequestEntityTooLarge,
	UnknownAccount:        http.StatusUnauthorized,
	UnknownModel:          http.StatusNotFound,
	UnknownPool:           http.StatusNotFound,
	UnknownRoute:          http.StatusNotFound,
	TierNotAllowed:        http.StatusForbidden,
	DeadlinePassed:        http.StatusGatewayTimeout,
	DeadlineUnreachable:   http.StatusServiceUnavailable,
	AccountLimit:          http.StatusTooManyRequests,
	QueueFull:             http.StatusServiceUnavailable,
	QueueTimeout:          http.StatusServiceUnavailable,
	NoTarget:              http.StatusServiceUnavailable,
	HostStopping:          http.StatusServiceUnavailable,
	NoConfiguration:       http.StatusServiceUnavailable,
	StoreUnavailable:      http.StatusServiceUnavailable,
	NoMemory:              http.StatusServiceUnavailable,
	KeyInUse:              http.StatusConflict,
	KeyReused:             http.StatusUnprocessableEntity,
	CallerDisconnected:    499,
	Preempted:             http.StatusBadGateway,
	TargetsFull:           http.StatusServiceUnavailable,
	TargetsRateLimited:    http.StatusServiceUnavailable,
	PromptHeld:            http.StatusServiceUnavailable,
	RequestHeld:           http.StatusServiceUnavailable,
	StreamUnknown:         http.StatusServiceUnavailable,
	StreamVersionGone:     http.StatusServiceUnavailable,
	TargetRefused:         http.StatusBadGateway,
	TargetLost:            http.StatusBadGateway,
	TargetSilent:          http.StatusGatewayTimeout,
	TargetInvalidResponse: http.StatusBadGateway,
}

// Reasons returns every reason with its HTTP status.
func Reasons() map[Reason]int {
	all := make(map[Reason]int, len(statusByReason))
	for reason, status := range statusByReason {
		all[reason] = status
	}
	return all
}

var (
	namespace      = errorx.NewNamespace("redwinglock")
	notRunType     = newType("not-run")
	incompleteType = newType("incomplete")
	unknownType    = newType("unknown")

	propertyFailure = errorx.RegisterProperty("failure")
)

// newType creates an error type without stack traces. During overload, a stack trace would
// cost more than the refusal itself.
func newType(name string) *errorx.Type {
	return namespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}

// Failure describes a request that was not completed, for the answer to its caller.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	Field   string // Name of the invalid field of the request, empty if there is none.
	Message string
	// RetryAfter is the time after which the caller should retry. It is zero if a retry of the
	// same request cannot succeed or may run the request a second time.
	RetryAfter time.Duration
}

// Status returns the HTTP status of the failure.
func (f Failure) Status() int {
	if status, ok := statusByReason[f.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Err returns the failure as an error. The error type depends on the outcome.
func (f Failure) Err() error {
	errorType := unknownType
	switch f.Outcome {
	case NotRun:
		errorType = notRunType
	case Incomplete:
		errorType = incompleteType
	case Unknown:
	}
	return errorType.New("%s: %s", f.Reason, f.Message).WithProperty(propertyFailure, f)
}

// Refuse returns an error for a request that was not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) error {
	return Failure{Outcome: NotRun, Reason: reason, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}.Err()
}

// Invalid returns an error for a request with an invalid field.
func Invalid(field, format string, args ...any) error {
	message := field + ": " + fmt.Sprintf(format, args...)
	return Failure{Outcome: NotRun, Reason: InvalidRequest, Field: field, Message: message}.Err()
}

// NotCompleted returns an error for a request that was dispatched but not completed.
func NotCompleted(result Outcome, reason Reason, format string, args ...any) error {
	return Failure{Outcome: result, Reason: reason, Message: fmt.Sprintf(format, args...)}.Err()
}

// FailureOf returns the failure that err contains. For any other error, it returns a failure
// with outcome Unknown, which is always safe to assume.
func FailureOf(err error) Failure {
	var typed *errorx.Error
	if errors.As(err, &typed) {
		if value, ok := typed.Property(propertyFailure); ok {
			if failure, ok := value.(Failure); ok {
				return failure
			}
		}
	}
	return Failure{Outcome: Unknown, Reason: TargetLost, Message: err.Error()}
}
