package gateway

import (
	"context"
	"time"

	"redwinglock/internal/state/outcome"
)

const (
	// startLimit is the age of a host up to which requests wait until it has joined the others.
	startLimit = 3 * time.Second
	// joinTimeout bounds how long requests of an older host wait for that.
	joinTimeout = 400 * time.Millisecond
)

// awaitStart delays a request until this host may register it with an arbiter. Before that, this host would treat
// itself as the arbiter of every pool. It returns the refusal of a request that must not wait any longer: another host
// may serve it.
func (s *Server) awaitStart(caller context.Context, r *request) error {
	if s.board.HasJoined() && s.arbiters.HasStarted() {
		return nil
	}
	s.awaitingStart.Add(1)
	defer s.awaitingStart.Add(-1)
	ctx, cancel := s.stop.startContext(caller, s.startDeadline(r))
	defer cancel()
	if s.awaitJoin(ctx) && s.arbiters.AwaitStart(ctx) {
		return nil
	}
	if s.stop.hasBegun() {
		return outcome.Refuse(outcome.HostStopping, stoppingRetryAfter, "this host is stopping and has not joined the others")
	}
	return outcome.Refuse(outcome.NoConfiguration, noConfigurationRetryAfter, "this host has just started and has not joined the others yet")
}

// startDeadline returns until when a request waits for the start of this host.
func (s *Server) startDeadline(r *request) time.Time {
	deadline := s.createdAt.Add(startLimit)
	if shortest := r.arrived.Add(joinTimeout); deadline.Before(shortest) {
		deadline = shortest
	}
	// A refused caller needs time to try another host.
	if halfTime := r.arrived.Add(r.info.Timeout / 2); r.info.Timeout > 0 && halfTime.Before(deadline) {
		deadline = halfTime
	}
	return deadline
}

// awaitJoin waits until this host has contacted the other hosts and reports whether requests may go on. Hosts that do
// not wait for the link to an arbiter go on without the others after joinTimeout.
func (s *Server) awaitJoin(ctx context.Context) bool {
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	select {
	case <-s.board.Joined():
	case <-joinCtx.Done():
	}
	return ctx.Err() == nil || s.board.HasJoined()
}

// AwaitingStart returns the number of requests that wait until this host may register them with an arbiter.
func (s *Server) AwaitingStart() int64 { return s.awaitingStart.Load() }
