package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplainMergesTheLogsOfHosts(t *testing.T) {
	dir := t.TempDir()
	front := filepath.Join(dir, "front.log")
	arbiter := filepath.Join(dir, "arbiter.log")
	require.NoError(t, os.WriteFile(front, []byte(`started
{"time":"2026-12-04T05:00:01Z","request":"a-1","caller-request":"c-9","msg":"gateway: Request sent again."}
{"time":"2026-12-04T05:00:03Z","request":"a-1","caller-request":"c-9","msg":"gateway: Request failed."}
{"time":"2026-12-04T05:00:04Z","request":"a-10","caller-request":"c-10","msg":"gateway: Request answered."}
`), 0o600))
	require.NoError(t, os.WriteFile(arbiter, []byte(`{"time":"2026-12-04T05:00:02Z","request":"a-1.2","msg":"arbiter: Request refused."}
{"time":"2026-12-04T05:00:02Z","request":"b-1","msg":"arbiter: Request refused."}
`), 0o600))
	rows := []struct{ name, id string }{{"id of the caller", "c-9"}, {"id of the host", "a-1"}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var out bytes.Buffer
			require.NoError(t, Explain(row.id, []string{front, arbiter}, &out))
			lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
			require.Len(t, lines, 3)
			require.Contains(t, string(lines[0]), "sent again")
			require.Contains(t, string(lines[1]), "refused")
			require.Contains(t, string(lines[2]), "failed")
		})
	}
	long := filepath.Join(dir, "long.log")
	content := strings.Repeat("x", 3*maxLogLineBytes) + "\n" + `{"time":"2026-12-04T05:00:02Z","request":"d-1","msg":"after a long line"}` + "\n"
	require.NoError(t, os.WriteFile(long, []byte(content), 0o600))
	var out bytes.Buffer
	require.NoError(t, Explain("d-1", []string{long}, &out))
	require.Contains(t, out.String(), "after a long line")
	require.Equal(t, ExitInvalid, ExitCode(Explain("c-404", []string{front}, &bytes.Buffer{})))
	require.Equal(t, ExitFailed, ExitCode(Explain("c-9", []string{dir + "/none"}, &bytes.Buffer{})))
}
