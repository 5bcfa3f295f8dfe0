package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
)

// TestShortTimeoutsAreNotTakenForRetries registers the first requests of callers of one route that
// set different timeouts. None of them was refused before, so none may be treated as a retry
// because it has less time left than the others.
func TestShortTimeoutsAreNotTakenForRetries(t *testing.T) {
	s := &Server{common: &common.Common{Settings: &settings.Settings{}}}
	route := &object.Route{Name: "explain", Objective: object.Duration(300 * time.Millisecond)}
	for _, left := range []time.Duration{15 * time.Second, 14 * time.Second, 12750 * time.Millisecond} {
		now := time.Now()
		r := &request{route: route, arrived: now, deadline: now.Add(left), info: RequestInfo{Timeout: left}}
		w := s.registration(r, false)
		require.InDelta(t, 210, w.DispatchWithinMS, 20, left)
		require.True(t, w.MayRetry, left)
	}
}

// TestPrefixTokensAreRegisteredIfEnabled guards against token counts that reach arbiters although the
// setting is off, or that do not reach them although it is on.
func TestPrefixTokensAreRegisteredIfEnabled(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		s := &Server{common: &common.Common{Settings: &settings.Settings{}}}
		s.common.Settings.Gateway = &settings.Gateway{KeptPrompts: enabled}
		info := RequestInfo{PromptTokens: 100, Prefixes: []wire.PrefixHash{1, 2}, PrefixTokens: []int{60, 30}}
		w := s.registration(&request{route: &object.Route{}, arrived: time.Now(), info: info}, false)
		require.Equal(t, info.Prefixes, w.Prefixes)
		if enabled {
			require.Equal(t, info.PrefixTokens, w.PrefixTokens)
		} else {
			require.Nil(t, w.PrefixTokens)
		}
	}
}
