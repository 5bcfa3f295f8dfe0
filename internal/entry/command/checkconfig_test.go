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
		file, inForce        string
		errorCount, exitCode int
		output               string
	}{
		{file, "", 0, ExitOK, "finding\n"},
		{file, file, 1, ExitFailed, "finding\n"},
		{file + "x", "", 0, ExitFailed, ""},
		{file, file + "x", 0, ExitFailed, ""},
	}
	for _, row := range rows {
		check := func(_, inForce []byte) ([]string, int) {
			require.Equal(t, row.inForce != "", inForce != nil)
			return []string{"finding"}, row.errorCount
		}
		var out bytes.Buffer
		err := CheckConfig(row.file, row.inForce, check, &out)
		require.Equal(t, row.exitCode, ExitCode(err))
		require.Equal(t, row.output, out.String())
	}
}
