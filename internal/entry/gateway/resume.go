package gateway

import (
	"github.com/sirupsen/logrus"

	"redwinglock/internal/state/object"
)

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
