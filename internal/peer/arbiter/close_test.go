package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// TestCloseEndsWhileRequestsMove closes a client while it moves requests to another arbiter, as after
// a change of the members. Close must return, and no link may be opened after it.
func TestCloseEndsWhileRequestsMove(t *testing.T) {
	snapshot, err := object.Compile(1, "", []object.Object{
		&object.Tier{Name: "urgent", Priority: 1},
		&object.Account{Name: "a", Tiers: []object.TierName{"urgent"}, KeyHashes: []string{object.HashKey("k")}},
		&object.Pool{Name: "shared", Type: object.EnginePool, Discovered: true, FixedSlots: true, NonPreemptible: true},
	})
	require.NoError(t, err)
	for range 300 {
		self := board.Member{Name: "entry-1", Run: "run-1"}
		b := board.New(self)
		b.SetConfig(snapshot.WithTargets(1, []*object.Target{{Name: "t-1", Pool: "shared", Zone: "a", Address: "http://t", Slots: 1}}))
		c := common.Discard()
		local := front.New(c, b)
		client := New(c, b, local, http2.New(c.Settings.Peers.LinkTimeout, nil))
		for _, id := range []wire.RequestID{"running", "waiting"} {
			client.Register(wire.Register{ID: id, Pool: "shared", Account: "a", Tier: "urgent", PromptTokens: 1})
		}
		moved := make(chan struct{})
		go func() {
			defer close(moved)
			for range 50 {
				client.moveAll()
			}
		}()
		closed := make(chan error, 1)
		go func() { closed <- client.Close() }()
		select {
		case err := <-closed:
			require.NoError(t, err)
		case <-time.After(20 * time.Second):
			t.Fatal("the client does not close")
		}
		<-moved
		require.True(t, client.linkFor("shared").failed(), "no link is opened after Close")
		require.NoError(t, local.Close())
	}
}
