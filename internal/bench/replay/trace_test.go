package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommittedTracesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../traces/*.jsonl")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 4)
	for _, name := range files {
		file, err := os.Open(name)
		require.NoError(t, err)
		_, err = Parse(file)
		require.NoError(t, err, name)
		require.NoError(t, file.Close())
	}
}

func TestInvalidTracesAreRejected(t *testing.T) {
	rows := []struct{ name, text, want string }{
		{"empty", "", "site and expect are needed"},
		{"not JSON", "{", "line 1"},
		{"unknown field", `{"at-ms":0,"sent":{}}`, `line 1: json: unknown field "sent"`},
		{"no event", `{"at-ms":0}`, "line 1: neither"},
		{"events out of order", "{\"at-ms\":5,\"fault\":{\"kind\":\"stop-host\"}}\n{\"at-ms\":4,\"fault\":{\"kind\":\"stop-host\"}}", "line 2: at-ms"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(row.text))
			require.ErrorContains(t, err, row.want)
		})
	}
}
