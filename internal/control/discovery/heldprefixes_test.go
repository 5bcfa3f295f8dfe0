package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
)

// TestHeldPrefixesAreReadFromTheStore starts after all hosts have ended: only the store knows what is held.
func TestHeldPrefixesAreReadFromTheStore(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		prefixes := quarantine.CausesOf([]wire.PrefixHash{1, 7, 9}, 0)
		f.tree.set(HeldPrefixesKey("p"), `[{"pool":"p","prefix":7,"version":4,"state":"held","crashes":6}]`)
		waitForBatch()
		_, isHeld := f.board.Prefixes().HeldCause(time.Now(), "p", prefixes)
		require.True(t, isHeld)
		require.Len(t, f.board.PrefixRecord("p").Held, 1)
		require.NotZero(t, f.board.PrefixRecord("p").Position)
		f.tree.set(HeldPrefixesKey("p"), `broken`)
		waitForBatch()
		_, isHeld = f.board.Prefixes().HeldCause(time.Now(), "p", prefixes)
		require.True(t, isHeld, "only a notice releases a prefix")
		require.Empty(t, f.board.PrefixRecord("p").Held)
	})
}

// TestSuspectRequestsAreReadFromTheStore starts after all hosts have ended. A suspect request is not held by that.
func TestSuspectRequestsAreReadFromTheStore(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.set(HeldPrefixesKey("p"), `[{"pool":"p","kind":"request","prefix":8,"version":2,"state":"suspect","crashes":2},{"pool":"p","kind":"request","prefix":9,"version":2,"state":"held","crashes":3}]`)
		waitForBatch()
		require.Len(t, f.board.Prefixes().Notices(time.Now()), 2)
		_, isHeld := f.board.Prefixes().HeldCause(time.Now(), "p", quarantine.CausesOf(nil, 8))
		require.False(t, isHeld)
		_, isHeld = f.board.Prefixes().HeldCause(time.Now(), "another", quarantine.CausesOf(nil, 9))
		require.True(t, isHeld)
	})
}
