package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/entry/upload"
	"redwinglock/internal/state/outcome"
)

// readBody reads the body of a request. It waits for the rest of it until the deadline of the request, or until this
// host ends.
func (s *Server) readBody(c *gin.Context, r *request) error {
	ctx, cancel := s.stop.requestContext(c.Request.Context(), r.deadline)
	defer cancel()
	endRead := context.AfterFunc(ctx, func() { _ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now()) })
	defer endRead()
	limit := s.common.Settings.Gateway.MaxBodyBytes
	body, err := s.bodies.Read(c.Request, limit)
	switch {
	case errors.Is(err, upload.ErrTooLarge):
		return outcome.Refuse(outcome.RequestTooLarge, 0, "body: is larger than %d bytes", limit)
	case errors.Is(err, upload.ErrNoMemory):
		return outcome.Refuse(outcome.NoMemory, noMemoryRetryAfter, "body: this host has no memory for it now")
	case err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the time was up before the whole body had arrived")
	case err != nil && ctx.Err() != nil:
		return refuseAtEnd(ctx, outcome.Refuse(outcome.CallerDisconnected, 0, "the caller did not send the whole body"))
	case err != nil:
		return outcome.Refuse(outcome.CallerDisconnected, 0, "the caller did not send the whole body")
	}
	r.body = body
	return nil
}
