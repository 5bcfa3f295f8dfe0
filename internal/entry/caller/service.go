package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/fleet/service"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// forwardedHeaders are the request headers that are forwarded to a service.
var forwardedHeaders = []string{"Accept", "Content-Type", "If-Match", "If-None-Match"}

// returnedHeaders are the response headers of a service that are forwarded to the caller.
var returnedHeaders = []string{"Content-Type", "Etag", "Location"}

// service serves a call to a plain service.
func (s *Server) service(c *gin.Context, r *request) error {
	pool := r.snapshot.Pool(object.PoolName(c.Param("pool")))
	if pool == nil || pool.Type != object.ServicePool {
		failure := outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.UnknownPool, Field: "pool", Message: "pool: no service pool has this name"}
		return failure.Err()
	}
	claim, replayed, err := s.claim(c, r, r.nonIdempotent || pool.NonIdempotent)
	if err != nil || replayed {
		return err
	}
	answer, err := s.runService(c, r, pool)
	defer answer.Release()
	claim.end(err, answer)
	if err != nil {
		return err
	}
	for _, name := range returnedHeaders {
		if value := answer.Header.Get(name); value != "" {
			c.Header(name, value)
		}
	}
	c.Status(answer.Status)
	_, _ = c.Writer.Write(answer.Body)
	return nil
}

func (s *Server) runService(c *gin.Context, r *request, pool *object.PoolView) (*service.Answer, error) {
	ctx, cancel := r.context(c)
	defer cancel()
	call := service.Call{ID: r.id, Method: c.Request.Method, Path: servicePath(c), Header: http.Header{}, Body: r.body}
	for _, name := range forwardedHeaders {
		if value := c.GetHeader(name); value != "" {
			call.Header.Set(name, value)
		}
	}
	var answer *service.Answer
	runCtx, ticket, err := s.dispatch(ctx, r, r.registration(pool.Name), func(ctx context.Context, target *object.Target, gate engine.Gate) error {
		call.Address = strings.TrimSuffix(target.Address, "/")
		c.Header(HeaderTarget, string(target.Name))
		var err error
		answer, err = s.services.Do(ctx, call, gate)
		return err
	})
	if ticket == nil {
		return nil, err
	}
	ticket.Finish(wire.Finish{Completed: err == nil})
	if err != nil {
		return nil, withCancelCause(runCtx, err)
	}
	c.Header(HeaderPool, string(pool.Name))
	s.scope(r, pool.Name).Counter("completed").Inc(1)
	r.log.WithFields(logrus.Fields{"pool": pool.Name, "status": answer.Status}).Info("Service answered.")
	return answer, nil
}

// servicePath returns the path of the call at the service, with the query.
func servicePath(c *gin.Context) string {
	path := c.Param("path")
	if c.Request.URL.RawQuery != "" {
		path += "?" + c.Request.URL.RawQuery
	}
	return path
}
