package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
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
	limit := s.common.Settings.Gateway.MaxBodyBytes
	interrupt := interruptReads(ctx, c.Writer)
	body, err := s.bodies.Read(c.Request, limit)
	if interrupt.end() {
		c.Header("Connection", "close")
		if err == nil {
			body.Release()
		}
		return interruptedFailure(ctx)
	}
	switch {
	case errors.Is(err, upload.ErrTooLarge):
		return outcome.Refuse(outcome.RequestTooLarge, 0, "body: is larger than %d bytes", limit)
	case errors.Is(err, upload.ErrNoMemory):
		return outcome.Refuse(outcome.NoMemory, noMemoryRetryAfter, "body: this host has no memory for it now")
	case err != nil:
		return outcome.Refuse(outcome.CallerDisconnected, 0, "the caller did not send the whole body")
	}
	r.body = body
	return nil
}

// interruptedFailure returns the refusal of a request whose body was awaited until a context ended.
func interruptedFailure(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errHostEnds):
		return errNotSentBeforeEnd()
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the time was up before the whole body had arrived")
	}
	return outcome.Refuse(outcome.CallerDisconnected, 0, "the caller did not send the whole body")
}

// readInterrupt ends the reads from a caller's connection once a context is done. It has no effect after end, as the
// connection may carry another request then.
type readInterrupt struct {
	mu           sync.Mutex
	ended, fired bool
	// stop detaches the interrupt from the context.
	stop func() bool
}

func interruptReads(ctx context.Context, w http.ResponseWriter) *readInterrupt {
	i := &readInterrupt{}
	i.stop = context.AfterFunc(ctx, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.ended {
			i.fired = true
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		}
	})
	return i
}

// end reports whether the reads were ended. Nothing more can be read from the connection then.
func (i *readInterrupt) end() bool {
	i.stop()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	return i.fired
}
