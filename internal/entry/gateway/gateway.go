// Package gateway serves callers whose requests go to targets as they are: plain calls
// and streams, routed by host name and path.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// noConfigurationRetryAfter is the retry hint of a host that has just started.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the retry hint of a host that takes no new requests.
	stoppingRetryAfter = 200 * time.Millisecond
)

// routinePerSecond bounds the log lines about answered requests, so that under load those
// about refusals and failures have room.
const routinePerSecond = 100

// Server answers callers.
type Server struct {
	common   *common.Common
	log      *logrus.Entry
	board    *board.Board
	arbiters *arbiter.Client
	targets  *passthrough.Client
	dialect  Dialect
	repeats  *repeatBudget
	notices  *targetNotices
	// routine bounds the log lines about answered requests.
	routine common.PerSecond

	run    wire.HostID
	nextID atomic.Uint64
	closed atomic.Bool
	// endsAt is when this host ends, once it takes only streams that end before.
	endsAt atomic.Pointer[time.Time]
	active sync.WaitGroup
	count  atomic.Int64
}

// New creates a server.
func New(c *common.Common, b *board.Board, arbiters *arbiter.Client, targets *passthrough.Client, dialect Dialect) *Server {
	return &Server{
		common:   c,
		log:      c.Log("gateway"),
		board:    b,
		arbiters: arbiters,
		targets:  targets,
		dialect:  dialect,
		repeats:  newRepeatBudget(c.Settings.Gateway.RepeatShare, c.Settings.Gateway.RepeatSlack, func() int { return b.Members().Registered }),
		notices:  newTargetNotices(arbiters),
		routine:  common.PerSecond{Limit: routinePerSecond},
		run:      b.Members().Self.Run,
	}
}

// Handler returns the handler for callers. Their host names and paths are those of the
// configuration, so there are no fixed ones.
func (s *Server) Handler() http.Handler {
	router := gin.New()
	router.NoRoute(s.handle)
	return router
}

// CloseToLong refuses streams that arrive from now on and may last until this host ends. Plain
// calls are served: they seldom use up their time.
func (s *Server) CloseToLong(endsAt time.Time) { s.endsAt.Store(&endsAt) }

// outlasts reports whether a request is a stream that may still run when this host ends.
func (s *Server) outlasts(r *request) bool {
	endsAt := s.endsAt.Load()
	return endsAt != nil && r.route.Execution == object.Stream && !r.deadline.Before(*endsAt)
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

// request is one request of a caller.
type request struct {
	demand   Demand
	id       wire.RequestID
	snapshot *object.Snapshot
	route    *object.Route
	account  *object.Account // Nil on a public route.
	pool     object.PoolName
	arrived  time.Time
	// deadline is when the caller or the route wants the final answer.
	deadline time.Time
	body     []byte
	// line is the method and URI of the request.
	line string
	// attempts counts the registrations of the request.
	attempts int
	// tried are the targets that have got the request and may have run it, or refused it.
	tried []object.TargetName
	// runs is how many of them may have run it.
	runs int
	log  *logrus.Entry
}

func (s *Server) handle(c *gin.Context) {
	s.active.Add(1)
	s.count.Add(1)
	defer s.active.Done()
	defer s.count.Add(-1)
	if s.board.Stopping() {
		c.Header("Connection", "close")
	}
	r := &request{arrived: time.Now(), id: s.newID()}
	err := s.read(c, r)
	if err == nil {
		err = s.forward(c, r)
	}
	if err != nil {
		s.fail(c, r, err)
	}
}

func (s *Server) newID() wire.RequestID {
	return wire.RequestID(fmt.Sprintf("%s-%d", s.run, s.nextID.Add(1)))
}

// read decodes and admits a request and reads its body.
func (s *Server) read(c *gin.Context, r *request) error {
	r.log = s.log
	demand, headerErr := s.dialect.ReadDemand(c.Request.Header)
	r.demand = demand
	r.log = s.log.WithFields(logrus.Fields{"request": r.id, "caller-request": demand.ID})
	if s.closed.Load() {
		return outcome.Refuse(outcome.HostStopping, stoppingRetryAfter, "this host is stopping")
	}
	s.awaitJoin(c.Request.Context())
	r.snapshot = s.board.Config()
	if r.snapshot == nil {
		return outcome.Refuse(outcome.NoConfiguration, noConfigurationRetryAfter, "this host has no configuration yet")
	}
	r.route = r.snapshot.RouteFor(hostName(c.Request.Host), c.Request.URL.EscapedPath())
	if r.route == nil {
		return outcome.Refuse(outcome.UnknownRoute, 0, "no route has this host and path")
	}
	if !r.route.Public {
		r.account = r.snapshot.AccountByKey(demand.Key)
		if r.account == nil {
			return outcome.Refuse(outcome.UnknownAccount, 0, "no account has this key")
		}
	}
	if headerErr != nil {
		return outcome.Invalid("headers", "%v", headerErr)
	}
	r.line = c.Request.Method + " " + c.Request.RequestURI
	r.pool = r.choosePool()
	r.setDeadline()
	if s.outlasts(r) {
		return outcome.Refuse(outcome.HostStopping, stoppingRetryAfter, "this host is stopping and may end before the request does")
	}
	return s.readBody(c, r)
}

// joinWait bounds how long requests wait until a new host knows the others.
const joinWait = 400 * time.Millisecond

// awaitJoin holds requests while this host does not know the others yet: it would take
// itself for the arbiter of every pool.
func (s *Server) awaitJoin(ctx context.Context) {
	select {
	case <-s.board.Joined():
		return
	default:
	}
	select {
	case <-s.board.Joined():
	case <-ctx.Done():
	case <-time.After(joinWait):
	}
}

// hostName removes a port from the Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (r *request) setDeadline() {
	left := time.Duration(r.route.Timeout)
	if left == 0 || (r.demand.Left > 0 && r.demand.Left < left) {
		left = r.demand.Left
	}
	if left == 0 {
		left = defaultTimeout
	}
	r.deadline = r.arrived.Add(left)
}

// defaultTimeout is used if neither the caller nor the route sets one.
const defaultTimeout = 30 * time.Second

// choosePool picks a pool by the weights of the route.
func (r *request) choosePool() object.PoolName {
	total := 0
	for _, share := range r.route.Pools {
		total += share.Weight
	}
	pick := pickBelow(total)
	for _, share := range r.route.Pools {
		if pick < share.Weight {
			return share.Pool
		}
		pick -= share.Weight
	}
	return r.route.Pools[0].Pool
}

func (s *Server) readBody(c *gin.Context, r *request) error {
	limit := s.common.Settings.Gateway.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.Refuse(outcome.RequestTooLarge, 0, "body: is larger than %d bytes", limit)
	}
	if err != nil {
		return outcome.Refuse(outcome.CallerGone, 0, "the caller did not send the whole body")
	}
	r.body = body
	return nil
}

// eventTokens returns how many tokens an event of the answer holds.
func (r *request) eventTokens() int {
	if view := r.snapshot.Pool(r.pool); view != nil {
		return max(view.EventTokens, 1)
	}
	return 1
}

// tier returns the tier of a request: that of the account, if it has one of its own,
// goes before that of the route.
func (r *request) tier() object.TierName {
	if r.account != nil && r.account.RouteTier != "" {
		return r.account.RouteTier
	}
	return r.route.Tier
}

// fail answers a request with its failure, unless a part of an answer has been sent: then
// the connection is cut, so that the part does not look complete.
func (s *Server) fail(c *gin.Context, r *request, err error) {
	failure := outcome.Describe(err)
	s.common.CountRefusal(failure.Reason)
	log := r.log.WithFields(logrus.Fields{
		"outcome": failure.Outcome, "reason": failure.Reason, "retry-after": failure.RetryAfter.String(),
		"pool": r.pool, "age": time.Since(r.arrived).String(), "tried": r.tried, "detail": failure.Message,
	})
	if c.Writer.Written() {
		log.Info("Answer cut.")
		panic(http.ErrAbortHandler)
	}
	log.Info("Request failed.")
	if failure.RetryAfter > 0 {
		c.Header("Retry-After", fmt.Sprintf("%.3f", failure.RetryAfter.Seconds()))
	}
	c.JSON(failure.Status(), errorBody{failure.Outcome, failure.Reason, failure.Message})
}

// errorBody is the body of a failure.
type errorBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	Message string          `json:"message"`
}

func pickBelow(n int) int {
	if n <= 1 {
		return 0
	}
	return rand.IntN(n)
}
