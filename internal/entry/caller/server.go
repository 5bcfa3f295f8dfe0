// Package caller serves callers: completions in the OpenAI style, calls to plain
// services, and the list of addresses to use.
package caller

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/fleet/service"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/claims"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

// Headers of requests and answers; docs/API.md describes them.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "X-Redwinglock-Non-Idempotent"
	HeaderTier           = "X-Redwinglock-Tier"
	HeaderDeadline       = "X-Redwinglock-Deadline"
	HeaderTarget         = "X-Redwinglock-Target"
	HeaderPool           = "X-Redwinglock-Pool"
	HeaderReplayed       = "X-Redwinglock-Replayed"
	HeaderShouldRetry    = "X-Should-Retry"
)

// Server answers callers.
type Server struct {
	common   *common.Common
	log      *logrus.Entry
	board    *board.Board
	arbiters *arbiter.Client
	engines  *engine.Client
	services *service.Client
	claims   *claims.Claims
	limits   *limits

	run    wire.HostID
	nextID atomic.Uint64
	// closed is set when no new request is taken any more.
	closed atomic.Bool
	active sync.WaitGroup
	count  atomic.Int64
}

// New creates a server.
func New(c *common.Common, b *board.Board, arbiters *arbiter.Client, engines *engine.Client, services *service.Client, cl *claims.Claims) *Server {
	return &Server{
		common:   c,
		log:      c.Log("caller"),
		board:    b,
		arbiters: arbiters,
		engines:  engines,
		services: services,
		claims:   cl,
		limits:   newLimits(),
		run:      b.Members().Self.Run,
	}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := gin.New()
	router.Use(gin.Recovery())
	router.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/readyz", s.ready)
	v1 := router.Group("/v1")
	v1.GET("/addresses", s.addresses)
	v1.GET("/models", s.withCaller(s.models))
	v1.POST("/chat/completions", s.withCaller(s.completion))
	v1.POST("/completions", s.withCaller(s.completion))
	v1.Any("/services/:pool/*path", s.withCaller(s.service))
	return router
}

// CloseToNew refuses requests that arrive from now on.
func (s *Server) CloseToNew() { s.closed.Store(true) }

// Active returns the number of requests in flight.
func (s *Server) Active() int64 { return s.count.Load() }

// Close waits for the requests in flight.
func (s *Server) Close() error {
	s.CloseToNew()
	s.active.Wait()
	return nil
}

func (s *Server) newID() wire.RequestID {
	return wire.RequestID(fmt.Sprintf("%s-%d", s.run, s.nextID.Add(1)))
}

// ready reports whether this host should be sent requests.
func (s *Server) ready(c *gin.Context) {
	switch {
	case s.board.Config() == nil:
		c.String(http.StatusServiceUnavailable, "no configuration\n")
	case s.board.Stopping():
		c.String(http.StatusServiceUnavailable, "stopping\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

// Addresses is the answer to the question which addresses to use.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// TTLMS is how long the answer may be kept, in milliseconds.
	TTLMS int64 `json:"ttl-ms"`
}

// Address is one address of the system.
type Address struct {
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// maxAddresses bounds the list that a caller gets.
const maxAddresses = 8

// addresses lists hosts that take new requests, those of the wanted zone first.
func (s *Server) addresses(c *gin.Context) {
	zone := c.Query("zone")
	answer := Addresses{Addresses: []Address{}, TTLMS: s.common.Settings.Callers.AddressTTL.Milliseconds()}
	var others []Address
	for _, m := range s.board.Members().Live {
		if m.Leaving {
			continue
		}
		address := Address{URL: m.CallerURL, Zone: string(m.Zone)}
		if string(m.Zone) == zone {
			answer.Addresses = append(answer.Addresses, address)
		} else {
			others = append(others, address)
		}
	}
	answer.Addresses = append(answer.Addresses, rotate(others, c.ClientIP())...)
	answer.Addresses = answer.Addresses[:min(len(answer.Addresses), maxAddresses)]
	c.Header("Cache-Control", fmt.Sprintf("max-age=%d", int(s.common.Settings.Callers.AddressTTL/time.Second)))
	c.JSON(http.StatusOK, answer)
}

// rotate spreads callers over the addresses.
func rotate(addresses []Address, seed string) []Address {
	if len(addresses) == 0 {
		return nil
	}
	sum := 0
	for _, b := range []byte(seed) {
		sum += int(b)
	}
	i := sum % len(addresses)
	return append(addresses[i:len(addresses):len(addresses)], addresses[:i]...)
}
