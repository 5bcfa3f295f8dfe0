package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
)

func TestShareFollowsTheServedFronts(t *testing.T) {
	a := attachments{lastRegistered: map[*Session]time.Time{}}
	now := time.Unix(1000, 0)
	members := &board.Members{Live: make([]board.Member, 4), Registered: 4}
	first, second := &Session{}, &Session{}
	require.Equal(t, shard.Share{Slots: 0.25, Quota: 0.25}, a.recordRegistration(now, first, members))
	require.Equal(t, shard.Share{Slots: 0.5, Quota: 0.5}, a.recordRegistration(now, second, members))

	a.drop(first) // The front has left, or its link is closed.
	require.Equal(t, shard.Share{Slots: 0.25, Quota: 0.25}, a.recordRegistration(now, second, members))

	a.recordRegistration(now, first, members)
	now = now.Add(attachmentTimeout + time.Second)
	members = &board.Members{Live: make([]board.Member, 2), Registered: 2}
	share := a.recordRegistration(now, second, members)
	require.InDelta(t, 0.5, share.Slots, 0, "a front that sends nothing is not served")
	require.InDelta(t, 0.25, share.Quota, 0, "disconnected hosts may still run")
}
