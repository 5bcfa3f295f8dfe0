package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/standin/site"
)

// TestShortSoak runs real processes under a few faults. scripts/soak runs more seeds with
// more faults.
func TestShortSoak(t *testing.T) {
	program, err := site.Build(t.TempDir())
	require.NoError(t, err)
	tests := []struct {
		name        string
		seed        uint64
		largeConfig bool
	}{
		{"small configuration", 20261204, false},
		{"large configuration and narrow links", 20261205, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.largeConfig, hasLargeConfig(test.seed))
			result, err := Run(Options{
				Program: program, Settings: "../../../deploy/settings.yaml", Seed: test.seed, Hosts: 3, Faults: 6, FaultPeriod: 6 * time.Second, Logs: t.TempDir(),
			})
			require.NoError(t, err)
			require.Empty(t, result.Broken)
			require.Positive(t, result.Served)
		})
	}
}
