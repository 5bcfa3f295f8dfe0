package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// TestVersionsOfStreamsAreReadFromTheStore starts after all hosts have ended: only the store knows which version began a
// stream, and that another one served.
func TestVersionsOfStreamsAreReadFromTheStore(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.tree.set(VersionsKey("p"), `[{"version":"v1"},{"version":"v2"}]`)
		f.tree.set(StreamsKey("p", "run-1"), `[{"version":"v1","streams":[7,18446744073709551615]}]`)
		f.tree.set(StreamsKey("p", "run-2"), `broken`)
		waitForBatch()
		table := f.board.Origins("p")
		for _, stream := range []wire.StreamID{7, 1<<64 - 1} {
			version, known := table.VersionOf(time.Now(), stream)
			require.True(t, known)
			require.Equal(t, object.Generation("v1"), version)
		}
		_, known := table.VersionOf(time.Now(), 8)
		require.False(t, known)
		require.Len(t, f.board.VersionRecord("p").Versions, 2)
		require.NotZero(t, f.board.VersionRecord("p").Position)
	})
}
