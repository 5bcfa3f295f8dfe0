package member

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
)

// Heartbeats as sent by released builds.
const (
	// heartbeatOfRandomPeers is a heartbeat of builds that probe random peers (2edcf35).
	heartbeatOfRandomPeers = `{"from":"b","incarnation":7,"member":{"name":"b","zone":"z","peer-url":"http://b","caller-url":"http://cb"},"revision":3,` +
		`"rumours":[{"member":{"name":"c","zone":"z","peer-url":"http://c","caller-url":"http://cc"},"status":"alive","incarnation":5}]}`
	// heartbeatOfNeighbours is a heartbeat of builds that probe neighbours (a869652).
	heartbeatOfNeighbours = `{"from":"b","incarnation":7,"member":{"name":"b","zone":"z","peer-url":"http://b","caller-url":"http://cb"},"revision":3,"digest":99,` +
		`"updates":[{"member":{"name":"c","zone":"z","peer-url":"http://c","caller-url":"http://cc"},"status":"alive","incarnation":5}]}`
)

// TestMixedBuildsExchangeUpdates checks that this build reads the heartbeats of each released
// build and that the released build can read the answer.
func TestMixedBuildsExchangeUpdates(t *testing.T) {
	rows := []struct {
		name, message string
		// readsLegacyUpdates is set for builds that read updates under their former JSON name.
		readsLegacyUpdates bool
	}{
		{"heartbeats to random peers", heartbeatOfRandomPeers, true},
		{"heartbeats to neighbours", heartbeatOfNeighbours, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := NewTable(board.Member{Name: "a", Run: "1"}, 1)
			table.apply(now, Update{Member: board.Member{Name: "d", PeerURL: "http://d"}, Status: Alive, Incarnation: 4})
			var h Heartbeat
			require.NoError(t, json.Unmarshal([]byte(row.message), &h))
			require.True(t, table.Receive(now, h))
			require.ElementsMatch(t, []string{"a", "b", "c", "d"}, names(table))

			content, err := json.Marshal(table.Compose("b", 0, PeerState{}))
			require.NoError(t, err)
			var answer struct {
				LegacyUpdates []Update `json:"rumours"`
				Updates       []Update `json:"updates"`
			}
			require.NoError(t, json.Unmarshal(content, &answer))
			require.NotEmpty(t, answer.Updates)
			if row.readsLegacyUpdates {
				require.Equal(t, answer.Updates, answer.LegacyUpdates)
			} else {
				require.Empty(t, answer.LegacyUpdates, "updates are not sent twice to a build that reads the current name")
			}
		})
	}
}

func names(t *Table) []string {
	var all []string
	for _, m := range t.View().Live {
		all = append(all, m.Name)
	}
	return all
}

// TestMixedBuildsReadTheFirstHeartbeat checks the first heartbeat to a member whose build is
// unknown: it contains the updates under both names, so that any build can read them.
func TestMixedBuildsReadTheFirstHeartbeat(t *testing.T) {
	table := NewTable(board.Member{Name: "a"}, 1)
	table.apply(time.Unix(1000, 0), Update{Member: board.Member{Name: "d"}, Status: Alive, Incarnation: 4})
	h := table.Compose("unknown", 0, PeerState{})
	require.Equal(t, h.Updates, h.LegacyUpdates)
	require.NotEmpty(t, h.LegacyUpdates)
}
