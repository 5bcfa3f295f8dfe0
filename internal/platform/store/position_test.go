package store

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPositionsAreOrderedByEraAndRevision(t *testing.T) {
	ordered := []Position{0, NewPosition(0, 1), NewPosition(0, 1<<40-1), NewPosition(1, 0), NewPosition(1, 26), NewPosition(2, 3), NewPosition(1000, 1)}
	for i, p := range ordered {
		require.Equal(t, p, NewPosition(p.Era(), p.Revision()))
		if i > 0 {
			require.Greater(t, p, ordered[i-1])
		}
	}
	require.Equal(t, "2/3", NewPosition(2, 3).String())
}

// TestItemsOfEarlierBuildsAreRead exchanges items with builds that know no era.
func TestItemsOfEarlierBuildsAreRead(t *testing.T) {
	var got Item
	require.NoError(t, json.Unmarshal([]byte(`{"Key":"k","Data":"YQ==","Revision":7,"Deleted":false}`), &got))
	require.Equal(t, Item{Key: "k", Data: []byte("a"), Position: 7}, got)
	sent, err := json.Marshal(Item{Key: "k", Data: []byte("a"), Position: NewPosition(3, 7)})
	require.NoError(t, err)
	var earlier struct {
		Key      string
		Data     []byte
		Revision int64
		Deleted  bool
	}
	require.NoError(t, json.Unmarshal(sent, &earlier))
	require.Equal(t, int64(7), earlier.Revision)
	require.NoError(t, json.Unmarshal(sent, &got))
	require.Equal(t, NewPosition(3, 7), got.Position)
}
