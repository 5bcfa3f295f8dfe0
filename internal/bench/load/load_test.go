package load

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSheetsAreValid(t *testing.T) {
	for _, name := range []string{"toplopod-bg", "kmtw-redwing"} {
		s, err := ReadSheet(name)
		require.NoError(t, err)
		services := map[string]bool{}
		for _, service := range s.Services {
			services[service.Name] = true
			require.Positive(t, service.Slots)
		}
		for _, k := range s.Kinds {
			require.True(t, services[k.Service], "%s: service %s", k.Name, k.Service)
			require.Positive(t, k.PerSecond)
			require.Positive(t, k.Objective)
		}
		require.Len(t, s.config().Routes, len(s.Kinds))
	}
	_, err := ReadSheet("nowhere")
	require.ErrorContains(t, err, "nowhere")
}

// TestLoadIsServed sends a light load to two hosts. It checks only the counts, as the times
// depend on the machine.
func TestLoadIsServed(t *testing.T) {
	s, err := ReadSheet("toplopod-bg")
	require.NoError(t, err)
	s.Hosts = 2
	reports, err := Run(s, Options{Settings: "../../../deploy/settings.yaml", Scale: 0.2, Duration: 2 * time.Second, Seed: 1})
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, Print(&out, reports))
	for _, r := range reports {
		require.Positive(t, r.Sent)
		require.Equal(t, r.Sent, r.Served, out.String())
		require.Equal(t, int64(r.Served), r.LastByte.TotalCount())
	}
}
