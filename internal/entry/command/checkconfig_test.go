package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an exit code that lets a deployment continue after an error or stops it after a
// warning, and against an empty file in force that is taken for none.
func TestCheckConfigExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	rows := []struct {
		name, file, inForce string
		lines               []string
		errorCount, want    int
		output              string
	}{
		{"nothing found", file, "", nil, 0, ExitOK, ""},
		{"warnings", file, "", []string{"w-1", "w-2"}, 0, ExitOK, "w-1\nw-2\n"},
		{"errors", file, file, []string{"e-1"}, 1, ExitFailed, "e-1\n"},
		{"no file", file + "x", "", nil, 0, ExitFailed, ""},
		{"no file in force", file, file + "x", nil, 0, ExitFailed, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := func(_, inForce []byte) ([]string, int) {
				require.Equal(t, row.inForce != "", inForce != nil)
				return row.lines, row.errorCount
			}
			var out bytes.Buffer
			err := CheckConfig(row.file, row.inForce, check, &out)
			require.Equal(t, row.want, ExitCode(err))
			require.Equal(t, row.output, out.String())
		})
	}
}
