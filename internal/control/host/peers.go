package host

import (
	"crypto/subtle"
	"net/http"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/control/catalog"
	"redwinglock/internal/control/discovery"
	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/common"
)

// maxHeartbeatBytes bounds the size of a heartbeat from a peer.
const maxHeartbeatBytes = 256 << 10

// peerHandler returns the handler of the peer requests that both entry hosts and gateway hosts
// support: links and heartbeats.
func peerHandler(c *common.Common, arbiters *front.Server, members *member.Controller) *gin.Engine {
	router := gin.New()
	router.Use(gin.Recovery(), requirePeer(c))
	router.POST(wire.LinkPath, arbiters.ServeLink)
	router.POST(wire.HeartbeatPath, func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxHeartbeatBytes)
		var h member.Heartbeat
		if err := c.ShouldBindJSON(&h); err != nil {
			c.Status(http.StatusBadRequest)
			return
		}
		c.JSON(http.StatusOK, members.Answer(h))
	})
	return router
}

// serveConfig adds the route from which peers read the configuration that operators published.
func serveConfig(router *gin.Engine, follower *catalog.Follower) http.Handler {
	router.GET(wire.ConfigPath, func(c *gin.Context) {
		state := follower.State()
		if state == nil {
			c.Status(http.StatusNotFound)
			return
		}
		c.JSON(http.StatusOK, state)
	})
	return router
}

// serveItems adds the routes from which peers read this host's copy of the platform's store.
func serveItems(router *gin.Engine, d *discovery.Controller) http.Handler {
	router.GET(wire.ItemsPath, gin.WrapF(d.ServeItems))
	router.GET(wire.ValuePath, gin.WrapF(d.ServeValue))
	return router
}

// requirePeer returns middleware that rejects requests without the shared key of the peers.
func requirePeer(c *common.Common) gin.HandlerFunc {
	want := []byte(c.Settings.Peers.Key)
	return func(g *gin.Context) {
		got := []byte(g.GetHeader(wire.KeyHeader))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			c.Metrics.Counter("peer_unauthorized").Inc(1)
			g.AbortWithStatus(http.StatusUnauthorized)
		}
	}
}
