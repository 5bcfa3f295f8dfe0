package discovery

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

// TestMixedBuildsReadEachOthersHostLists guards rolling upgrades. Earlier builds store one entry
// for each host and read the list of a zone as the entry of one host.
func TestMixedBuildsReadEachOthersHostLists(t *testing.T) {
	tree := newFakeTree()
	tree.set(HostsPrefix+"old-1", `{"name":"old-1","zone":"z","run":"r","peer-url":"http://old","caller-url":"http://c","capacity":0.4}`)
	tree.set(HostsPrefix+"z", `{"hosts":[{"name":"new-1","zone":"z","peer-url":"http://new","caller-url":"http://d"}]}`)
	tree.stale = []store.Item{tree.items[HostsPrefix+"old-1"], tree.items[HostsPrefix+"z"]}
	b := board.New(board.Member{Name: "new-2", Zone: "y"})
	c := common.Discard()
	l := &HostList{common: c, log: c.Log("host-list"), board: b, tree: tree, key: HostsPrefix + "y"}
	groups, err := l.List(t.Context())
	require.NoError(t, err)
	var found []string
	for _, g := range groups {
		found = append(found, g.Labels[hosts.LabelName]+" "+g.Labels[hosts.LabelPeerURL])
	}
	require.ElementsMatch(t, []string{"old-1 http://old", "new-1 http://new"}, found)

	require.NoError(t, l.write(t.Context(), []board.Member{{Name: "new-2", Zone: "y", PeerURL: "http://self"}}, 0))
	var asEntry board.Member
	require.NoError(t, json.Unmarshal(tree.items[HostsPrefix+"y"].Data, &asEntry))
	require.Equal(t, "http://self", asEntry.PeerURL, "an earlier build reads the list as the entry of one host")
}
