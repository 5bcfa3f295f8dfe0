package wire

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMixedBuildsReadRateLimits decodes messages about rate limits into the fields of builds up to
// 8804298, which know none, and messages of those builds into the fields of this build.
func TestMixedBuildsReadRateLimits(t *testing.T) {
	sent, err := json.Marshal(Down{Grant: &Grant{ID: "h-1", Target: "t", RateCounted: true}})
	require.NoError(t, err)
	var earlierGrant struct {
		Grant struct {
			ID     RequestID `json:"id"`
			Target string    `json:"target"`
		} `json:"grant"`
	}
	require.NoError(t, json.Unmarshal(sent, &earlierGrant))
	require.Equal(t, RequestID("h-1"), earlierGrant.Grant.ID)

	sent, err = json.Marshal(Up{Notice: &TargetNotice{Pool: "p", Target: "t", Rate: &RateNotice{PerSecond: 1.6}}})
	require.NoError(t, err)
	var earlierNotice struct {
		Notice struct {
			Target  string `json:"target"`
			Leaving bool   `json:"leaving"`
			PauseMS int64  `json:"quiet-ms"`
		} `json:"notice"`
	}
	require.NoError(t, json.Unmarshal(sent, &earlierNotice))
	require.False(t, earlierNotice.Notice.Leaving)
	require.Zero(t, earlierNotice.Notice.PauseMS, "an older arbiter reads no closure and no pause")

	var down Down
	require.NoError(t, json.Unmarshal([]byte(`{"grant":{"id":"h-1","target":"t","waited-ms":3}}`), &down))
	require.False(t, down.Grant.RateCounted, "a grant of an older arbiter counts against the share of the host")
}

// TestMixedBuildsReadRegistrations decodes a registration of builds up to df0058e, and decodes a
// registration of this build into the fields of the older builds. Fields that only one side has must
// be empty or ignored.
func TestMixedBuildsReadRegistrations(t *testing.T) {
	const recorded = `{"register":{"id":"h-1","pool":"p","account":"a","tier":"first","class":"third","prompt-tokens":603,` +
		`"output-tokens":280,"prefixes":[7],"deadline-ms":15000,"begin-ms":300,"objective-ms":210,"may-return":true,` +
		`"max-wait-ms":1700,"quota-cost":883,"zone":"z","phase":"waiting","attempt":1}}`
	var earlier Up
	require.NoError(t, json.Unmarshal([]byte(recorded), &earlier))
	require.Equal(t, &Register{
		ID: "h-1", Pool: "p", Account: "a", Tier: "first", Class: "third", PromptTokens: 603, OutputTokens: 280,
		Prefixes: []PrefixHash{7}, DeadlineMS: 15000, AnswerWithinMS: 300, DispatchWithinMS: 210, MayRetry: true, MaxWaitMS: 1700,
		QuotaCost: 883, Zone: "z", Phase: Waiting, Attempt: 1,
	}, earlier.Register, "fields that older builds do not send are empty")

	current := *earlier.Register
	current.Fingerprint, current.CallerWaitMS = math.MaxUint64, 14_900
	sent, err := json.Marshal(Up{Register: &current})
	require.NoError(t, err)
	var decoded Up
	require.NoError(t, json.Unmarshal(sent, &decoded))
	require.Equal(t, &current, decoded.Register, "all bits of a fingerprint arrive")

	var earlierFields struct {
		Register struct {
			ID       RequestID `json:"id"`
			MayRetry bool      `json:"may-return"`
			Phase    Phase     `json:"phase"`
		} `json:"register"`
	}
	require.NoError(t, json.Unmarshal(sent, &earlierFields))
	require.Equal(t, current.ID, earlierFields.Register.ID)
	require.True(t, earlierFields.Register.MayRetry)
	require.Equal(t, Waiting, earlierFields.Register.Phase)
}
