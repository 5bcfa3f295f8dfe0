package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
)

// TestHeldPrefixesAreReadFromTheStore starts after all hosts have ended: only the store knows what is held.
func TestHeldPrefixesAreReadFromTheStore(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		prefixes := []wire.PrefixHash{1, 7, 9}
		f.tree.set(HeldPrefixesKey("p"), `[{"pool":"p","prefix":7,"version":4,"state":"held","crashes":6}]`)
		waitForBatch()
		require.True(t, f.board.Prefixes().IsHeld(time.Now(), "p", prefixes))
		require.Len(t, f.board.PrefixRecord("p").Held, 1)
		require.NotZero(t, f.board.PrefixRecord("p").Position)
		f.tree.set(HeldPrefixesKey("p"), `broken`)
		waitForBatch()
		require.True(t, f.board.Prefixes().IsHeld(time.Now(), "p", prefixes), "only a notice releases a prefix")
		require.Empty(t, f.board.PrefixRecord("p").Held)
	})
}
