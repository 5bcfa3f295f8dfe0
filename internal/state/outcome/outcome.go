// Package outcome holds the closed list of ways in which a request can fail and
// what each of them tells the caller about whether the request was run.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome says what is known about the execution of a failed request.
type Outcome string

// The outcomes of a failed request.
const (
	// NotRun means that no byte of the request reached a target.
	NotRun Outcome = "not-run"
	// Incomplete means that the request ran and its answer was cut short.
	Incomplete Outcome = "incomplete"
	// Unknown means that the request was dispatched and nothing more is known.
	Unknown Outcome = "unknown"
)

// Reason is one entry of the closed list of refusal reasons.
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
	KeyInUse              Reason = "idempotency-key-in-use"
	KeyReused             Reason = "idempotency-key-reused"
	CallerGone            Reason = "caller-gone"
	Preempted             Reason = "preempted"
	TargetsFull           Reason = "targets-full"
	TargetRefused         Reason = "target-refused"
	TargetLost            Reason = "target-lost"
	TargetSilent          Reason = "target-silent"
	TargetInvalidResponse Reason = "target-invalid-response"
)

// statusByReason is the HTTP status that goes with each reason.
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
	KeyInUse:              http.StatusConflict,
	KeyReused:             http.StatusUnprocessableEntity,
	CallerGone:            499,
	Preempted:             http.StatusBadGateway,
	TargetsFull:           http.StatusServiceUnavailable,
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

// newType creates an error type without stack traces, which would cost more than
// the refusal itself when the fleet is overrun.
func newType(name string) *errorx.Type {
	return namespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}

// Failure is the answer to a request that was not completed.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	Field   string // Field of the request at fault, empty if none.
	Message string
	// RetryAfter is the time after which a repeat makes sense; zero if a repeat
	// of the same request cannot succeed or may run the request a second time.
	RetryAfter time.Duration
}

// Status returns the HTTP status of the failure.
func (f Failure) Status() int {
	if status, ok := statusByReason[f.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Err returns the failure as an error of the type that belongs to its outcome.
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

// Invalid returns an error for a request whose named field is wrong.
func Invalid(field, format string, args ...any) error {
	message := field + ": " + fmt.Sprintf(format, args...)
	return Failure{Outcome: NotRun, Reason: InvalidRequest, Field: field, Message: message}.Err()
}

// Lost returns an error for a request that was dispatched and not completed.
func Lost(result Outcome, reason Reason, format string, args ...any) error {
	return Failure{Outcome: result, Reason: reason, Message: fmt.Sprintf(format, args...)}.Err()
}

// Describe returns the failure carried by err. An error that carries none is
// reported as unknown, which never claims more than is known.
func Describe(err error) Failure {
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
