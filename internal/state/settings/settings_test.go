package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `host: entry-1
zone: a
callers:
  listen: 127.0.0.1:1
  advertise: http://127.0.0.1:1
peers:
  listen: 127.0.0.1:2
  advertise: http://127.0.0.1:2
  key: secret
operators:
  listen: 127.0.0.1:3
store:
  endpoints: [http://127.0.0.1:4]
hosts:
  url: http://127.0.0.1:5
`

func TestParseSetsDefaults(t *testing.T) {
	s, err := Parse("host.yaml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, time.Second, s.Peers.HeartbeatInterval)
	require.Equal(t, "text", s.Log.Format)
}

func TestExampleIsValid(t *testing.T) {
	_, err := Load("../../../docs/example-host.yaml")
	require.NoError(t, err)
}

func TestParseReportsAllErrorsWithLineAndKey(t *testing.T) {
	rows := []struct {
		name       string
		yaml       string
		wantErrors []string
	}{
		{"empty", "", []string{"host: is missing", "zone: is missing", "store.endpoints: at least one"}},
		{"unknown key", validSettings + "colour: red\n", []string{"host.yaml: line 16: field colour not found"}},
		{
			"bad address and missing zone together",
			"host: x\ncallers:\n  listen: nowhere\n",
			[]string{"line 3: callers.listen:", "zone: is missing"},
		},
		{"unknown log format", validSettings + "log:\n  format: xml\n", []string{"line 17: log.format:"}},
		{"wrong type", validSettings + "stop:\n  limit: soon\n", []string{"line 17"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := Parse("host.yaml", []byte(row.yaml))
			for _, want := range row.wantErrors {
				require.ErrorContains(t, err, want)
			}
		})
	}
}
