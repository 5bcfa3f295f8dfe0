package gateway

import (
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// Paths of the operators' calls about prompt prefixes and requests that crash targets.
const (
	PrefixesPath       = "/prefixes"
	ReleasePrefixPath  = "/prefixes/release"
	maxReleaseBodySize = 4 << 10
)

// PrefixState is what a host knows about one prompt prefix, or one request, that may crash targets.
type PrefixState struct {
	Pool object.PoolName `json:"pool"`
	// Kind is "request" for a request, and empty for a prefix.
	Kind wire.CauseKind `json:"kind,omitempty"`
	// Prefix is the hash of the prefix or of the request in hexadecimal, as in the logs.
	Prefix  string           `json:"prefix"`
	State   wire.PrefixState `json:"state"`
	Crashes int              `json:"crashes"`
	// NextCheckMS is the time until one request with the prefix is tried again, 0 if none is planned.
	NextCheckMS int64 `json:"next-check-ms,omitempty"`
}

// ReleasePrefix asks to send requests with a held prefix to targets again.
type ReleasePrefix struct {
	Pool   object.PoolName `json:"pool"`
	Prefix string          `json:"prefix"`
}

// prefixProblem is the answer to a call that was refused.
type prefixProblem struct {
	Message string `json:"message"`
}

// PrefixesHandler returns the handler of the operators' calls about prompt prefixes. A release needs the
// key that all hosts share.
func (s *Server) PrefixesHandler() http.Handler {
	router := gin.New()
	router.GET(PrefixesPath, s.listPrefixes)
	router.POST(ReleasePrefixPath, s.releasePrefix)
	return router
}

func (s *Server) listPrefixes(c *gin.Context) {
	states := []PrefixState{}
	for _, n := range s.board.Prefixes().Notices(time.Now()) {
		states = append(states, PrefixState{n.Pool, n.Kind, n.Prefix.String(), n.State, n.Crashes, n.NextCheckMS})
	}
	c.JSON(http.StatusOK, states)
}

func (s *Server) releasePrefix(c *gin.Context) {
	key := []byte(c.GetHeader(wire.KeyHeader))
	if subtle.ConstantTimeCompare(key, []byte(s.common.Settings.Peers.Key)) != 1 {
		c.JSON(http.StatusUnauthorized, prefixProblem{wire.KeyHeader + ": is not the key of the hosts"})
		return
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxReleaseBodySize)
	var release ReleasePrefix
	if err := c.ShouldBindJSON(&release); err != nil {
		c.JSON(http.StatusBadRequest, prefixProblem{"body: " + err.Error()})
		return
	}
	hash, err := strconv.ParseUint(release.Prefix, 16, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, prefixProblem{"prefix: " + strconv.Quote(release.Prefix) + " is not a hexadecimal number"})
		return
	}
	for _, n := range s.board.Prefixes().Notices(time.Now()) {
		if n.Pool == release.Pool && n.Prefix == wire.PrefixHash(hash) && n.State != wire.PrefixCleared {
			s.announceRelease(n)
			c.JSON(http.StatusOK, PrefixState{Pool: n.Pool, Kind: n.Kind, Prefix: n.Prefix.String(), State: wire.PrefixCleared})
			return
		}
	}
	c.JSON(http.StatusNotFound, prefixProblem{"prefix: " + release.Prefix + " of pool " + string(release.Pool) + " is not held"})
}

// announceRelease tells this host and the arbiter that requests with a cause may be sent again.
func (s *Server) announceRelease(n wire.PrefixNotice) {
	released := wire.PrefixNotice{Pool: n.Pool, Kind: n.Kind, Prefix: n.Prefix, Version: n.Version + 1, State: wire.PrefixCleared}
	s.log.WithField("pool", n.Pool).WithField("prefix", n.Prefix.String()).WithField("kind", n.Kind).Warn("Prompt prefix released by an operator.")
	s.board.RecordPrefix(time.Now(), released)
	s.arbiters.NotifyPrefix(released)
}
