// Package gateway forwards the requests of callers to targets without interpreting their bodies.
// It routes plain calls and streams by host name and path.
package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/entry/upload"
	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// noConfigurationRetryAfter is the retry hint of a host that has just started.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the retry hint of a host that is stopping.
	stoppingRetryAfter = 200 * time.Millisecond
	// noMemoryRetryAfter is the retry hint if the bodies of other requests use the memory of this host.
	noMemoryRetryAfter = 500 * time.Millisecond
)

// answersMemoryFraction is the fraction of the memory of the host that the parts of answers may use which are kept
// before they are forwarded.
const answersMemoryFraction = 1.0 / 8

// answeredLogsPerSecond bounds the log lines about answered requests, so that under load the
// lines about refusals and failures are not dropped.
const answeredLogsPerSecond = 100

// rateLimitLogsPerSecond bounds the log lines about invalid rate limits that targets name.
const rateLimitLogsPerSecond = 10

// Server answers callers.
type Server struct {
	common   *common.Common
	log      *logrus.Entry
	board    *board.Board
	arbiters *arbiter.Client
	targets  *passthrough.Client
	dialect  Dialect
	retries  *retryBudget
	bodies   *upload.Budget
	// answers bounds the memory of the parts of answers that are kept before they are forwarded.
	answers *body.Budget
	notices *targetNotices
	// answeredLogs bounds the log lines about answered requests.
	answeredLogs common.RateLimit
	// rateLimitLogs bounds the log lines about invalid rate limits of targets.
	rateLimitLogs common.RateLimit

	hostID    wire.HostID
	createdAt time.Time
	nextID    atomic.Uint64
	closed    atomic.Bool
	stop      stopState
	active    sync.WaitGroup
	inFlight  atomic.Int64
	// awaitingStart is the number of requests that wait until this host has started.
	awaitingStart atomic.Int64
}

// New creates a server.
func New(c *common.Common, b *board.Board, arbiters *arbiter.Client, targets *passthrough.Client, dialect Dialect) *Server {
	return &Server{
		common:        c,
		log:           c.Log("gateway"),
		board:         b,
		arbiters:      arbiters,
		targets:       targets,
		dialect:       dialect,
		retries:       newRetryBudget(c.Settings.Gateway.RetryShare, c.Settings.Gateway.RetrySlack, func() int { return b.Members().Registered }),
		bodies:        upload.NewBudget(c.Settings.MemoryMB),
		answers:       body.NewBudget(c.Settings.MemoryMB, answersMemoryFraction),
		notices:       newTargetNotices(b, arbiters),
		answeredLogs:  common.RateLimit{Limit: answeredLogsPerSecond},
		rateLimitLogs: common.RateLimit{Limit: rateLimitLogsPerSecond},
		hostID:        b.Members().Self.Run,
		stop:          newStopState(),
		createdAt:     time.Now(),
	}
}

// Handler returns the handler for callers. Host names and paths come from the configuration, so
// it has no fixed routes.
func (s *Server) Handler() http.Handler {
	router := gin.New()
	router.NoRoute(s.handle)
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

// request is one request of a caller.
type request struct {
	info     RequestInfo
	id       wire.RequestID
	snapshot *object.Snapshot
	route    *object.Route
	account  *object.Account // Nil on a public route.
	pool     object.PoolName
	arrived  time.Time
	// deadline is the time by which the answer must be complete, set by the caller or the route.
	deadline time.Time
	body     *upload.Body // Nil until it has been read.
	// hostName is the name in the Host header, requestLine the method and the URI of the request.
	hostName, requestLine string
	// digest is the fingerprint of the request, 0 until it is needed.
	digest wire.Fingerprint
	// version is that of the targets from which the rest of the answer must come, if the request is bound to one.
	version object.Generation
	isBound bool
	// attempts counts the registrations of the request with the arbiter.
	attempts int
	// tried lists the targets that refused the request or may have run it.
	tried []object.TargetName
	// possibleRuns is the number of targets that may have run the request.
	possibleRuns int
	// rateCounted is set if the arbiter has counted the current attempt against a rate limit of its
	// target.
	rateCounted bool
	log         *logrus.Entry
}

func (s *Server) handle(c *gin.Context) {
	s.active.Add(1)
	s.inFlight.Add(1)
	defer s.active.Done()
	defer s.inFlight.Add(-1)
	if s.board.Stopping() {
		c.Header("Connection", "close")
	}
	r := &request{arrived: time.Now(), id: s.newID()}
	s.setLinger(c.Request, lingerReset)
	defer r.releaseBody()
	err := s.read(c, r)
	if err == nil {
		err = s.forward(c, r)
	}
	if err != nil {
		s.fail(c, r, err)
	}
	s.setLinger(c.Request, lingerDefault)
}

// content returns the body, nil if it has not been read.
func (r *request) content() []byte {
	if r.body == nil {
		return nil
	}
	return r.body.Bytes
}

func (r *request) releaseBody() {
	if r.body != nil {
		r.body.Release()
	}
}

func (s *Server) newID() wire.RequestID {
	return wire.RequestID(fmt.Sprintf("%s-%d", s.hostID, s.nextID.Add(1)))
}

// read decodes the headers of a request, decides whether to admit it and reads its body.
func (s *Server) read(c *gin.Context, r *request) error {
	r.log = s.log
	info, headerErr := s.dialect.ReadRequest(c.Request.Header)
	r.info = info
	r.log = s.log.WithFields(logrus.Fields{"request": r.id, "caller-request": info.ID})
	if s.closed.Load() {
		return outcome.Refuse(outcome.HostStopping, stoppingRetryAfter, "this host is stopping")
	}
	if err := s.awaitStart(c.Request.Context(), r); err != nil {
		return err
	}
	r.snapshot = s.board.Config()
	if r.snapshot == nil {
		return outcome.Refuse(outcome.NoConfiguration, noConfigurationRetryAfter, "this host has no configuration yet")
	}
	r.hostName = hostName(c.Request.Host)
	r.route = r.snapshot.RouteFor(r.hostName, c.Request.URL.EscapedPath())
	if r.route == nil {
		return outcome.Refuse(outcome.UnknownRoute, 0, "no route has this host and path")
	}
	if !r.route.Public {
		r.account = r.snapshot.AccountByKey(info.Key)
		if r.account == nil {
			return outcome.Refuse(outcome.UnknownAccount, 0, "no account has this key")
		}
	}
	if headerErr != nil {
		return outcome.Invalid("headers", "%v", headerErr)
	}
	if err := passthrough.CheckURI(c.Request.RequestURI); err != nil {
		return outcome.Invalid("path", "%v", err)
	}
	r.requestLine = c.Request.Method + " " + c.Request.RequestURI
	r.pool = r.choosePool()
	r.setDeadline()
	if err := s.checkStop(r); err != nil {
		return err
	}
	if err := s.readBody(c, r); err != nil {
		return err
	}
	return s.checkStop(r) // The body may have taken a while.
}

// checkStop refuses a request that this host, which is stopping, may have to end before its deadline.
func (s *Server) checkStop(r *request) error {
	if s.stop.accepts(r) {
		return nil
	}
	return outcome.Refuse(outcome.HostStopping, stoppingRetryAfter, "this host is stopping and may end before the request does")
}

// hostName removes a port from the Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// setDeadline sets the deadline by the timeout of the caller or of the route, whichever is shorter.
func (r *request) setDeadline() {
	timeout := time.Duration(r.route.Timeout)
	if timeout == 0 || (r.info.Timeout > 0 && r.info.Timeout < timeout) {
		timeout = r.info.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.arrived.Add(timeout)
}

// defaultTimeout is used if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// choosePool picks a random pool by the weights of the route.
func (r *request) choosePool() object.PoolName {
	total := 0
	for _, p := range r.route.Pools {
		total += p.Weight
	}
	pick := randomBelow(total)
	for _, p := range r.route.Pools {
		if pick < p.Weight {
			return p.Pool
		}
		pick -= p.Weight
	}
	return r.route.Pools[0].Pool
}

// eventTokens returns the number of tokens per event of the answer.
func (r *request) eventTokens() int {
	if view := r.snapshot.Pool(r.pool); view != nil {
		return max(view.EventTokens, 1)
	}
	return 1
}

// tier returns the tier of a request. The account's own tier, if it has one, overrides that of
// the route.
func (r *request) tier() object.TierName {
	if r.account != nil && r.account.RouteTier != "" {
		return r.account.RouteTier
	}
	return r.route.Tier
}

// fail answers a request with its failure. If a part of an answer has already been sent, it panics, which
// closes the connection, so that the caller cannot mistake the part for a complete answer.
func (s *Server) fail(c *gin.Context, r *request, err error) {
	failure := outcome.FailureOf(err)
	s.common.CountRefusal(failure.Reason)
	log := r.log.WithFields(logrus.Fields{
		"outcome": failure.Outcome, "reason": failure.Reason, "retry-after": failure.RetryAfter.String(),
		"pool": r.pool, "age": time.Since(r.arrived).String(), "tried": r.tried, "detail": failure.Message,
	}).WithFields(s.stop.logFields(r))
	if r.info.LastEventID != "" {
		log = log.WithField("resumes", r.info.Resumes)
	}
	if r.possibleRuns > 0 {
		log = log.WithField("request-digest", r.fingerprint().String()) // Tells whether one request returns.
	}
	if c.Writer.Written() {
		log.WithField("caller-protocol", c.Request.Proto).Info("Answer cut.")
		panic(http.ErrAbortHandler)
	}
	log.Info("Request failed.")
	if failure.RetryAfter > 0 {
		c.Header("Retry-After", fmt.Sprintf("%.3f", failure.RetryAfter.Seconds()))
	}
	c.JSON(failure.Status(), errorBody{failure.Outcome, failure.Reason, failure.Message})
}

// errorBody is the body of the response that reports a failure.
type errorBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	Message string          `json:"message"`
}

// randomBelow returns a random number from 0 to n-1, or 0 if n is not positive.
func randomBelow(n int) int {
	if n <= 1 {
		return 0
	}
	return rand.IntN(n)
}
