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
	result, err := Run(Options{
		Program: program, Settings: "../../../deploy/settings.yaml", Seed: 20261204, Hosts: 3, Faults: 6, FaultPeriod: 6 * time.Second, Logs: t.TempDir(),
	})
	require.NoError(t, err)
	require.Empty(t, result.Broken)
	require.Positive(t, result.Served)
}
