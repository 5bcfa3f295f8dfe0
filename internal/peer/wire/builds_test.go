package wire

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMixedBuildsReadRegistrations reads a registration as builds up to df0058e send it, and lets
// them read one of this build: what only one side knows is left out or passed over.
func TestMixedBuildsReadRegistrations(t *testing.T) {
	const recorded = `{"register":{"id":"h-1","pool":"p","account":"a","tier":"first","class":"third","prompt-tokens":603,` +
		`"output-tokens":280,"prefixes":[7],"deadline-ms":15000,"begin-ms":300,"objective-ms":210,"may-return":true,` +
		`"max-wait-ms":1700,"quota-cost":883,"zone":"z","phase":"waiting","attempt":1}}`
	var earlier Up
	require.NoError(t, json.Unmarshal([]byte(recorded), &earlier))
	require.Equal(t, &Register{
		ID: "h-1", Pool: "p", Account: "a", Tier: "first", Class: "third", PromptTokens: 603, OutputTokens: 280,
		Prefixes: []PrefixHash{7}, DeadlineMS: 15000, BeginMS: 300, ObjectiveMS: 210, MayReturn: true, MaxWaitMS: 1700,
		QuotaCost: 883, Zone: "z", Phase: Waiting, Attempt: 1,
	}, earlier.Register, "nothing is known of earlier visits of its caller")

	now := *earlier.Register
	now.Fingerprint, now.CallerLeftMS = math.MaxUint64, 14_900
	sent, err := json.Marshal(Up{Register: &now})
	require.NoError(t, err)
	var back Up
	require.NoError(t, json.Unmarshal(sent, &back))
	require.Equal(t, &now, back.Register, "all bits of a fingerprint arrive")

	var asEarlier struct {
		Register struct {
			ID        RequestID `json:"id"`
			MayReturn bool      `json:"may-return"`
			Phase     Phase     `json:"phase"`
		} `json:"register"`
	}
	require.NoError(t, json.Unmarshal(sent, &asEarlier))
	require.Equal(t, now.ID, asEarlier.Register.ID)
	require.True(t, asEarlier.Register.MayReturn)
	require.Equal(t, Waiting, asEarlier.Register.Phase)
}
