package arbiter

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/standin/forward"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

// TestSilentLinkLosesNoWaitingRequest makes the connection to the arbiter go silent while
// a request waits. The request is registered elsewhere, and later ones reach the arbiter
// over a new connection.
func TestSilentLinkLosesNoWaitingRequest(t *testing.T) {
	h := newHostSetup(t, 1)
	defer h.close(t)
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST(wire.LinkPath, h.server.ServeLink)
	server := httptest.NewUnstartedServer(router)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	defer server.CloseClientConnections()
	forwarder, err := forward.New(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer forwarder.Close()

	// The remote front is leaving in its own view, so the other host is its arbiter.
	self := board.Member{Name: "entry-2", Run: "run-2", Leaving: true}
	b := board.New(self)
	b.SetConfig(h.board.Config())
	b.SetMembers(&board.Members{Self: self, Live: []board.Member{self, {Name: "entry-1", PeerURL: "http://" + forwarder.Address()}}})
	c := common.Discard()
	local := front.New(c, b)
	remote := New(c, b, local, http2.New(c.Settings.Peers.LinkTimeout, nil))
	defer func() {
		require.NoError(t, remote.Close())
		require.NoError(t, local.Close())
	}()
	register := func(id wire.RequestID) *Ticket {
		return remote.Register(wire.Register{ID: id, Pool: "layout", Account: "a", Tier: "urgent", PromptTokens: 1})
	}

	first := register("first")
	_, err = remote.Wait(context.Background(), first)
	require.NoError(t, err)
	second := register("second")
	forwarder.Silence()
	// While the arbiter is avoided, the front decides by itself and knows of the first.
	first.Finish(wire.Finish{})
	_, err = remote.Wait(context.Background(), second)
	require.NoError(t, err)
	second.Finish(wire.Finish{})

	require.Eventually(t, func() bool { return remote.usable(b.Members().Live[1]) }, 10*time.Second, 10*time.Millisecond)
	third := register("third")
	l, ok := third.currentLink().(*remoteLink)
	require.True(t, ok, "the arbiter is used again")
	_, err = remote.Wait(context.Background(), third)
	require.NoError(t, err)
	require.False(t, l.failed())
	third.Finish(wire.Finish{})
}
