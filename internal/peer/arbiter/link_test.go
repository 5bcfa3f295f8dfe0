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
	"redwinglock/internal/state/object"
)

// TestSilentLinkLosesNoWaitingRequest silences the connection to the arbiter while a request
// waits. The request must be registered elsewhere, and later requests must reach the arbiter over
// a new connection.
func TestSilentLinkLosesNoWaitingRequest(t *testing.T) {
	h := newTestHost(t, 1)
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

	// The remote front considers itself leaving, so the other host is its arbiter.
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
	// While the arbiter is avoided, the front schedules locally and has the first request registered.
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

// TestUnreachableArbiterDelaysNoRequest uses an arbiter of a shared pool that accepts connections
// and never answers. The front must schedule the request locally without a delay.
func TestUnreachableArbiterDelaysNoRequest(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	silent := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent }))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	defer close(silent)

	snapshot, err := object.Compile(1, "", []object.Object{
		&object.Tier{Name: "urgent", Priority: 1},
		&object.Account{Name: "a", Tiers: []object.TierName{"urgent"}, KeyHashes: []string{object.HashKey("k")}},
		&object.Pool{Name: "shared", Type: object.EnginePool, Discovered: true, FixedSlots: true, NonPreemptible: true},
	})
	require.NoError(t, err)
	self := board.Member{Name: "entry-2", Run: "run-2", Leaving: true}
	b := board.New(self)
	b.SetConfig(snapshot.WithTargets(1, []*object.Target{{Name: "t-1", Pool: "shared", Zone: "a", Address: "http://t", Slots: 4}}))
	other := board.Member{Name: "entry-1", PeerURL: server.URL}
	b.SetMembers(&board.Members{Self: self, Live: []board.Member{other, self}, Registered: 2})
	c := common.Discard()
	c.Settings.Peers.LinkTimeout = time.Minute
	local := front.New(c, b)
	client := New(c, b, local, http2.New(c.Settings.Peers.LinkTimeout, nil))
	defer func() {
		require.NoError(t, client.Close())
		require.NoError(t, local.Close())
	}()
	ticket := client.Register(wire.Register{ID: "1", Pool: "shared", Account: "a", Tier: "urgent", PromptTokens: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	name, err := client.Wait(ctx, ticket)
	require.NoError(t, err)
	require.Equal(t, object.TargetName("t-1"), name)
	_, isLocal := ticket.currentLink().(*localLink)
	require.True(t, isLocal)
	ticket.Finish(wire.Finish{})
}
