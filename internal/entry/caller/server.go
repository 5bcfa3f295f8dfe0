// Package caller implements the HTTP API for callers: completions in the OpenAI format, calls to
// plain services, and the list of addresses of entry hosts.
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

// Headers of requests and answers. docs/API.md describes them.
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

	hostID wire.HostID
	nextID atomic.Uint64
	// closed is set once new requests are refused.
	closed   atomic.Bool
	active   sync.WaitGroup
	inFlight atomic.Int64
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
		hostID:   b.Members().Self.Run,
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
	v1.GET("/models", s.withRequest(s.models))
	v1.POST("/chat/completions", s.withRequest(s.completion))
	v1.POST("/completions", s.withRequest(s.completion))
	v1.Any("/services/:pool/*path", s.withRequest(s.service))
	return router
}

// CloseToNew refuses all new requests.
func (s *Server) CloseToNew() { s.closed.Store(true) }

// Active returns the number of requests in flight.
func (s *Server) Active() int64 { return s.inFlight.Load() }

// Close waits for the requests in flight.
func (s *Server) Close() error {
	s.CloseToNew()
	s.active.Wait()
	return nil
}

func (s *Server) newID() wire.RequestID {
	return wire.RequestID(fmt.Sprintf("%s-%d", s.hostID, s.nextID.Add(1)))
}

// ready answers the readiness check: whether callers should send requests to this host.
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

// Addresses is the list of addresses that callers may use.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// TTLMS is how long callers may cache the list, in milliseconds.
	TTLMS int64 `json:"ttl-ms"`
}

// Address is the address of one entry host.
type Address struct {
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// maxAddresses bounds the length of the list.
const maxAddresses = 8

// addresses lists the hosts that accept new requests, those of the requested zone first.
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

// rotate rotates the list by an offset computed from the seed, so that callers spread over the
// addresses.
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
