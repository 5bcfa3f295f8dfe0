package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

// prefixesIn returns the notices about prompt prefixes in an outbox.
func prefixesIn(box *wire.Outbox[wire.Down]) []wire.PrefixNotice {
	var all []wire.PrefixNotice
	batch, _ := box.Drain()
	for _, message := range batch {
		if message.Prefix != nil {
			all = append(all, *message.Prefix)
		}
	}
	return all
}

// TestHeldPrefixReachesAllFronts tells an arbiter what a front has heard from the former one.
func TestHeldPrefixReachesAllFronts(t *testing.T) {
	b := board.New(board.Member{Name: "entry-1"})
	s := New(common.Discard(), b)
	defer func() { require.NoError(t, s.Close()) }()
	boxes := []*wire.Outbox[wire.Down]{wire.NewOutbox[wire.Down](), wire.NewOutbox[wire.Down](), wire.NewOutbox[wire.Down]()}
	first, second := s.Attach("first", boxes[0], notice.Digests{}), s.Attach("second", boxes[1], notice.Digests{})
	n := wire.PrefixNotice{Pool: "p", Prefix: 7, Version: 2, State: wire.PrefixHeld, Crashes: 5}
	first.Handle(wire.Up{Prefix: &n})
	second.Handle(wire.Up{Prefix: &n})
	require.Equal(t, []wire.PrefixNotice{n}, prefixesIn(boxes[1]), "each front is told once")
	later := s.Attach("later", boxes[2], notice.Digests{})
	require.Equal(t, []wire.PrefixNotice{n}, prefixesIn(boxes[2]))
	prefixes := []wire.PrefixHash{7, 8}
	_, isHeld := b.Prefixes().HeldCause(time.Now(), "p", quarantine.CausesOf(prefixes, 0))
	require.True(t, isHeld)

	later.Handle(wire.Up{Register: &wire.Register{ID: "r", Pool: "p", Account: "a", Tier: "urgent", Prefixes: prefixes, Phase: wire.Waiting}})
	batch, _ := boxes[2].Drain()
	require.Len(t, batch, 1)
	require.NotNil(t, batch[0].Refuse, "the shard of a pool that opens later knows it")
	for _, session := range []*Session{first, second, later} {
		require.NoError(t, session.Close())
	}
}
