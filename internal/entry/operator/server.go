// Package operator implements the HTTP API for operators, and a client of it that the command
// line uses. The API publishes change sets of named objects and reports the state of the host.
package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/catalog"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
)

// Publisher reads and publishes configurations.
type Publisher interface {
	Read(ctx context.Context, known *catalog.State) (*catalog.State, error)
	Publish(ctx context.Context, change catalog.Change) (*catalog.State, error)
}

// Follower keeps the active configuration of this host. Adopt activates an accepted configuration
// without waiting for the next read of the store.
type Follower interface {
	State() *catalog.State
	Adopt(state *catalog.State) error
}

// Server serves the API for operators.
type Server struct {
	common    *common.Common
	log       *logrus.Entry
	board     *board.Board
	publisher Publisher
	follower  Follower
	inFlight  func() int64
	metrics   http.Handler
}

// New creates a server. inFlight returns the number of callers' requests in flight.
func New(c *common.Common, b *board.Board, p Publisher, f Follower, inFlight func() int64, metrics http.Handler) *Server {
	return &Server{common: c, log: c.Log("operator"), board: b, publisher: p, follower: f, inFlight: inFlight, metrics: metrics}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := gin.New()
	router.Use(gin.Recovery())
	router.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/metrics", s.require(settings.RoleRead), gin.WrapH(s.metrics))
	v1 := router.Group("/operator/v1")
	v1.GET("/objects", s.require(settings.RoleRead), s.objects)
	v1.GET("/status", s.require(settings.RoleRead), s.status)
	v1.POST("/changes", s.require(settings.RoleWrite), s.change)
	return router
}

// operatorKey is the key of the gin context under which the operator's name is stored.
const operatorKey = "operator"

// require returns a handler that admits only operators whose role includes the given one. It
// compares the key with all operator keys, each in constant time, so that the duration does not
// reveal which key matched.
func (s *Server) require(role settings.Role) gin.HandlerFunc {
	return func(c *gin.Context) {
		key, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		hash := []byte(object.HashKey(key))
		var found *settings.OperatorKey
		for i := range s.common.Settings.Operators.Keys {
			candidate := &s.common.Settings.Operators.Keys[i]
			if subtle.ConstantTimeCompare([]byte(candidate.KeyHash), hash) == 1 {
				found = candidate
			}
		}
		if found == nil {
			s.common.Metrics.Counter("operator_unauthorized").Inc(1)
			c.AbortWithStatusJSON(http.StatusUnauthorized, Problem{Message: "Authorization: no operator has this key"})
			return
		}
		if role == settings.RoleWrite && found.Role != settings.RoleWrite {
			s.common.Metrics.Counter("operator_forbidden").Inc(1)
			c.AbortWithStatusJSON(http.StatusForbidden, Problem{Message: "this operator may only read"})
			return
		}
		c.Set(operatorKey, found.Name)
	}
}

// Problem is the response to a failed call.
type Problem struct {
	Message string `json:"message"`
	// Outcome is "refused" if nothing was changed, and "unknown" if the change may have been
	// accepted.
	Outcome string `json:"outcome,omitempty"`
}

// Objects is the response to a read of all objects.
type Objects struct {
	Revision object.Revision `json:"revision"`
	Objects  []object.Entry  `json:"objects"`
}

func (s *Server) objects(c *gin.Context) {
	state, err := s.publisher.Read(c.Request.Context(), s.follower.State())
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, Problem{Message: err.Error()})
		return
	}
	entries, err := state.Entries()
	if err != nil {
		c.JSON(http.StatusInternalServerError, Problem{Message: err.Error()})
		return
	}
	c.JSON(http.StatusOK, Objects{Revision: state.Head.Revision, Objects: entries})
}

// Changed is the response to an accepted change.
type Changed struct {
	Revision object.Revision `json:"revision"`
}

// maxChangeBytes is the maximum size of a request that publishes a change set.
const maxChangeBytes = 64 << 20

func (s *Server) change(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxChangeBytes)
	var change catalog.Change
	if err := c.ShouldBindJSON(&change); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Message: "body: " + err.Error(), Outcome: "refused"})
		return
	}
	if change.ID == "" {
		c.JSON(http.StatusBadRequest, Problem{Message: "id: is missing", Outcome: "refused"})
		return
	}
	change.Operator = c.GetString(operatorKey)
	log := s.log.WithFields(logrus.Fields{"operator": change.Operator, "change": change.ID})
	state, err := s.publisher.Publish(c.Request.Context(), change)
	if err != nil {
		log.WithError(err).Warn("Change not accepted.")
		s.writePublishError(c, err)
		return
	}
	log.WithField("revision", state.Head.Revision).Info("Change accepted.")
	if err := s.follower.Adopt(state); err != nil {
		log.WithError(err).Error("Accepted change could not be activated on this host.")
	}
	c.JSON(http.StatusOK, Changed{Revision: state.Head.Revision})
}

func (s *Server) writePublishError(c *gin.Context, err error) {
	var conflict *catalog.ConflictError
	var invalid *catalog.InvalidError
	switch {
	case errors.As(err, &conflict):
		c.JSON(http.StatusConflict, Problem{Message: conflict.Error(), Outcome: "refused"})
	case errors.As(err, &invalid):
		c.JSON(http.StatusUnprocessableEntity, Problem{Message: invalid.Error(), Outcome: "refused"})
	case errors.Is(err, store.ErrUnavailable):
		c.JSON(http.StatusServiceUnavailable, Problem{Message: err.Error() + "; repeat with the same change id", Outcome: "unknown"})
	default:
		c.JSON(http.StatusConflict, Problem{Message: err.Error(), Outcome: "refused"})
	}
}

// Status is the state of one host.
type Status struct {
	Host     string          `json:"host"`
	Zone     object.Zone     `json:"zone"`
	Revision object.Revision `json:"revision"`
	Stopping bool            `json:"stopping"`
	InFlight int64           `json:"in-flight"`
	Members  []board.Member  `json:"members"`
	// Arbiters maps each pool to the host that runs its arbiter, as this host sees it.
	Arbiters map[object.PoolName]string `json:"arbiters"`
}

func (s *Server) status(c *gin.Context) {
	members := s.board.Members()
	status := Status{
		Host:     members.Self.Name,
		Zone:     members.Self.Zone,
		Stopping: s.board.Stopping(),
		InFlight: s.inFlight(),
		Members:  members.Live,
		Arbiters: map[object.PoolName]string{},
	}
	if config := s.board.Config(); config != nil {
		status.Revision = config.Revision
		for name, pool := range config.Pools() {
			status.Arbiters[name] = members.Owner(name, pool.Zones, func(board.Member) bool { return true }).Name
		}
	}
	c.JSON(http.StatusOK, status)
}
