package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// errHostEnds is the cancellation cause of requests that are left at the end of a planned stop.
var errHostEnds = errors.New("the host ends")

// StopSchedule is the schedule of a planned stop. Its times are ages of the stop: they are measured from its begin.
type StopSchedule struct {
	// ServeStreams and ServeCalls are how long all streams, and all plain calls, are accepted. A later request is
	// accepted only if its deadline passes before AnswersEnd.
	ServeStreams, ServeCalls time.Duration
	// AnswersEnd is when the requests that are left get their final answers.
	AnswersEnd time.Duration
}

// accepts reports whether a request that comes at an age of the stop, with some time left to its deadline, is
// accepted: this host must not end it before its deadline.
func (p StopSchedule) accepts(execution object.Execution, age, timeLeft time.Duration) bool {
	serveAll := p.ServeCalls
	if execution == object.Stream {
		serveAll = p.ServeStreams
	}
	return age < serveAll || age+timeLeft <= p.AnswersEnd
}

// stopState is the planned stop of this host.
type stopState struct {
	begun atomic.Pointer[begunStop]
	// beginning is done once the stop has begun.
	beginning context.Context
	begin     context.CancelFunc
	// ending is done once the requests that are left are ended.
	ending context.Context
	end    context.CancelFunc
}

// begunStop is a stop that has begun. age returns for how long it has lasted.
type begunStop struct {
	schedule StopSchedule
	age      func() time.Duration
}

func newStopState() stopState {
	beginning, begin := context.WithCancel(context.Background())
	ending, end := context.WithCancel(context.Background())
	return stopState{beginning: beginning, begin: begin, ending: ending, end: end}
}

// BeginStop begins the planned stop of this host. age returns for how long the stop has lasted.
func (s *Server) BeginStop(schedule StopSchedule, age func() time.Duration) {
	s.stop.begun.Store(&begunStop{schedule, age})
	s.stop.begin()
}

// EndRequests gives the requests that are left their final answers: those that were not sent are refused, the others
// may have run. Streams that have begun are cut.
func (s *Server) EndRequests() { s.stop.end() }

// hasEnded reports whether the requests that are left are being ended.
func (t *stopState) hasEnded() bool { return t.ending.Err() != nil }

// hasBegun reports whether the stop has begun.
func (t *stopState) hasBegun() bool { return t.beginning.Err() != nil }

// accepts reports whether a request is accepted now.
func (t *stopState) accepts(r *request) bool {
	stop := t.begun.Load()
	return stop == nil || stop.schedule.accepts(r.route.Execution, stop.age(), time.Until(r.deadline))
}

// logFields returns what the log says of a request that ends while this host stops.
func (t *stopState) logFields(r *request) logrus.Fields {
	stop := t.begun.Load()
	if stop == nil {
		return nil
	}
	age := stop.age()
	fields := logrus.Fields{"stop-age": age.String(), "accepted-at-stop-age": (age - time.Since(r.arrived)).String()}
	if !r.deadline.IsZero() {
		fields["deadline-left"] = time.Until(r.deadline).String()
	}
	return fields
}

// requestContext returns the context of a request that ends at its deadline, or when this host ends.
func (t *stopState) requestContext(caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return withStop(caller, t.ending, deadline)
}

// startContext returns the context of a request that waits for the start of this host, which a stop makes futile.
func (t *stopState) startContext(caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return withStop(caller, t.beginning, deadline)
}

// withStop returns a context that ends at a deadline, or with errHostEnds once another context is done.
func withStop(parent, stop context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	stopping, cancelCause := context.WithCancelCause(parent)
	ctx, cancel := context.WithDeadline(stopping, deadline)
	stopWaiting := context.AfterFunc(stop, func() { cancelCause(errHostEnds) })
	return ctx, func() {
		stopWaiting()
		cancel()
		cancelCause(nil)
	}
}

// refuseAtEnd returns the refusal of a request that was not sent before this host ended, or the given error if that is
// not the cause.
func refuseAtEnd(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), errHostEnds) {
		return err
	}
	return errNotSentBeforeEnd()
}

// errNotSentBeforeEnd returns the refusal of a request that was not sent before this host ended.
func errNotSentBeforeEnd() error {
	return outcome.Refuse(outcome.HostStopping, stoppingRetryAfter, "this host ended before the request was sent")
}
