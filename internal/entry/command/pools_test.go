package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// poolLog contains two states of pool p, the later one first, mixed with other lines.
const poolLog = `  22.0 front-1 {"msg":"arbiter: Pool state.","pool":"p","time":"2026-12-04T05:00:22Z","slots":1024,"slot-share":1,` +
	`"running":{"first":432,"third":154},"waiting":{"first":0,"third":246},"late":{"third":200},"kept":{"third":871},` +
	`"granted":{"first":900,"third":23},"refused":{"first":{},"third":{"queue-timeout":10,"queue-full":350}},"refused-again":{"third":167}}
started
{"msg":"arbiter: Request refused.","pool":"p","time":"2026-12-04T05:00:21Z","running":{"first":1}}
{"msg":"arbiter: Pool state.","pool":"p","time":"2026-12-04T05:00:20Z","slots":1024,"slot-share":0.5,"running":{"first":300,"third":212},"waiting":{"third":5}}
{"msg":"arbiter: Pool state.","pool":"busy","time":"2026-12-04T05:00:20Z","slots":8,"slot-share":1,"running":{"first":1},"rate-limited":2,"rate-limit":4.6,"waited-for-rate":{"first":3},"diverted-by-rate":{"first":7}}
{"msg":"arbiter: Pool state.","pool":"idle","time":"2026-12-04T05:00:20Z","slots":8,"slot-share":1,"running":{"first":0},"refused":{"first":{}}}
`

func TestPoolsPrintsARowPerClass(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.log")
	require.NoError(t, os.WriteFile(file, []byte(poolLog), 0o600))
	rows := []struct {
		name   string
		filter PoolsFilter
		want   [][]string // Words that each row must contain in this order, next to each other.
	}{
		{"one class", PoolsFilter{Pool: "p", Class: "third"}, [][]string{
			{"05:00:20Z", "p", "512", "0", "third", "212", "5"},
			{"05:00:22Z", "p", "1024", "438", "third", "154", "246", "200", "871", "23", "360", "167", "queue-full 350, queue-timeout 10", "slots idle"},
		}},
		{"rate limits", PoolsFilter{Pool: "busy"}, [][]string{{"busy", ".*2 targets limited to 4.6/s, 3 waited for it, 7 diverted"}}},
		{"one pool", PoolsFilter{Pool: "p"}, [][]string{{"first", "300"}, {"third", "212"}, {"first", "432", "0"}, {"third", "154"}}},
		{"all", PoolsFilter{}, [][]string{{"p", ".*first"}, {"p", ".*third"}, {"busy", ".*first"}, {"first", "432"}, {"third", "154"}}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var out bytes.Buffer
			require.NoError(t, Pools([]string{file}, row.filter, &out))
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			require.Len(t, lines, len(row.want)+1)
			for i, words := range row.want {
				require.Regexp(t, strings.Join(words, " +"), lines[i+1])
			}
		})
	}
	marked := strings.Count(printPools(t, file, PoolsFilter{}), "slots idle")
	require.Equal(t, 1, marked, "only a class with waiting or refused requests is marked")
}

func printPools(t *testing.T, file string, filter PoolsFilter) string {
	var out bytes.Buffer
	require.NoError(t, Pools([]string{file}, filter, &out))
	return out.String()
}

func TestPoolsReportsInvalidInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.log")
	require.NoError(t, os.WriteFile(file, []byte(poolLog), 0o600))
	var out bytes.Buffer
	require.Equal(t, ExitInvalid, ExitCode(Pools([]string{file}, PoolsFilter{Pool: "none"}, &out)))
	require.Equal(t, ExitFailed, ExitCode(Pools([]string{file + "-none"}, PoolsFilter{}, &out)))
	require.Empty(t, out.String())
}
