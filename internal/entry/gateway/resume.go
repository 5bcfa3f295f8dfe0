package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// isResumable reports whether the answer is a stream that may go on at another target.
func (r *request) isResumable() bool {
	return r.route.Execution == object.Stream && r.route.Resumable
}

// streamOf returns the stream that the caller's request with an id has begun, 0 if there is no id. Callers of one account
// share their ids.
func (r *request) streamOf(id string) wire.StreamID {
	if id == "" {
		return 0
	}
	account := ""
	if r.account != nil {
		account = string(r.account.Name)
	}
	return wire.StreamID(digest.OfUntrusted([]byte(id), account))
}

// registerStream adds to a registration which stream the request begins, or where it must continue one.
func (r *request) registerStream(w *wire.Register) {
	switch {
	case !r.isResumable():
	case r.isBound:
		w.Resumption = &wire.Resumption{Version: r.version, Bound: true}
	case r.info.LastEventID != "":
		w.Resumption = &wire.Resumption{Stream: r.streamOf(r.info.Resumes)}
	default:
		w.Stream = r.streamOf(r.info.ID)
	}
}

// bindVersion makes the rest of an answer, of which the caller has got a part, come from targets of the same version.
func (r *request) bindVersion(version object.Generation) {
	if !r.isBound {
		r.version, r.isBound = version, true
	}
}

// checkVersion decides whether a request may be sent to a granted target. It binds a request that continues a stream to the
// version that the arbiter knows. It returns false if the target has another one, and an error if the version is not known.
func (s *Server) checkVersion(r *request, ticket *arbiter.Ticket, target *object.Target) (bool, error) {
	if !r.isResumable() || !s.isDiscovered(r.pool) || r.info.LastEventID == "" && !r.isBound {
		return true, nil
	}
	if known := ticket.Resumption(); known != nil {
		r.bindVersion(known.Version)
	}
	if sole, found := s.board.Origins(r.pool).Sole(time.Now()); found {
		r.bindVersion(sole) // The arbiter may be of an earlier build.
	}
	if !r.isBound {
		return false, outcome.Refuse(outcome.StreamUnknown, 0, "it is not known which version began the stream")
	}
	return r.version == target.Generation, nil
}

// isDiscovered reports whether the targets of a pool come from service discovery. Those of other pools have no software
// versions.
func (s *Server) isDiscovered(pool object.PoolName) bool {
	view := s.board.Config().Pool(pool)
	return view != nil && view.Discovered
}

// logResumption logs and counts a request that continues a stream.
func (s *Server) logResumption(r *request, target *object.Target, a *answer) {
	by := "host"
	switch {
	case a.started:
	case r.info.LastEventID != "":
		by = "caller"
	default:
		return
	}
	s.common.Metrics.Tagged(map[string]string{"by": by}).Counter("streams_resumed").Inc(1)
	r.log.WithFields(logrus.Fields{
		"by": by, "resumes": r.info.Resumes, "target": target.Name, "version": target.Generation, "events": a.events.count,
	}).Info("Stream resumed.")
}
