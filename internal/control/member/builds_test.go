package member

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
)

// Messages as released builds send them.
const (
	// heartbeatOfRandomPeers is of the builds that sent to random peers (2edcf35).
	heartbeatOfRandomPeers = `{"from":"b","incarnation":7,"member":{"name":"b","zone":"z","peer-url":"http://b","caller-url":"http://cb"},"revision":3,` +
		`"rumours":[{"member":{"name":"c","zone":"z","peer-url":"http://c","caller-url":"http://cc"},"status":"alive","incarnation":5}]}`
	// heartbeatOfNeighbours is of the builds that send to neighbours (a869652).
	heartbeatOfNeighbours = `{"from":"b","incarnation":7,"member":{"name":"b","zone":"z","peer-url":"http://b","caller-url":"http://cb"},"revision":3,"digest":99,` +
		`"updates":[{"member":{"name":"c","zone":"z","peer-url":"http://c","caller-url":"http://cc"},"status":"alive","incarnation":5}]}`
)

// TestMixedBuildsLearnOfEachOther reads the messages of each released build and answers so
// that it can read the answer.
func TestMixedBuildsLearnOfEachOther(t *testing.T) {
	rows := []struct {
		name, message string
		// older builds read updates under another name.
		older bool
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

			content, err := json.Marshal(table.Compose("b", 0, Knowledge{}))
			require.NoError(t, err)
			var answer struct {
				Rumours []Update `json:"rumours"`
				Updates []Update `json:"updates"`
			}
			require.NoError(t, json.Unmarshal(content, &answer))
			require.NotEmpty(t, answer.Updates)
			if row.older {
				require.Equal(t, answer.Updates, answer.Rumours)
			} else {
				require.Empty(t, answer.Rumours, "what this build reads is not sent twice")
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

// TestMixedBuildsMeetAtTheFirstHeartbeat: nothing is known of the build of the receiver.
func TestMixedBuildsMeetAtTheFirstHeartbeat(t *testing.T) {
	table := NewTable(board.Member{Name: "a"}, 1)
	table.apply(time.Unix(1000, 0), Update{Member: board.Member{Name: "d"}, Status: Alive, Incarnation: 4})
	h := table.Compose("unknown", 0, Knowledge{})
	require.Equal(t, h.Updates, h.Rumours)
	require.NotEmpty(t, h.Rumours)
}
