package gateway

import (
	"errors"
	"net/http"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/state/object"
)

// allowReuse lets a call use a recent connection to its target, if the settings allow it. A response
// with the id of another request is then skipped. One without an id may belong to this request, so it
// is not.
func (s *Server) allowReuse(call *passthrough.Call, r *request) {
	if !s.common.Settings.Gateway.ReuseConnections {
		return
	}
	call.ReuseRecent = true
	call.RequestID = r.info.ID
	call.IsStray = func(response *http.Response) bool {
		id := s.dialect.ReadReply(response.StatusCode, response.Header).ID
		return id != "" && id != r.info.ID
	}
}

// recordReuseFailure logs that a reused connection has failed before the answer, after which this host
// opens only new connections to the target for some time.
func (s *Server) recordReuseFailure(r *request, target *object.Target, err error) {
	var failed *passthrough.ReusedConnectionError
	if !errors.As(err, &failed) {
		return
	}
	r.log.WithError(err).WithField("target", target.Name).Info("Reused connection failed before the answer.")
}
