package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
)

// TestNewArbiterReceivesPastUsage moves the requests of a front from one arbiter to another. The new
// arbiter must receive the quota usage, and the previous one the notice that the front has left.
func TestNewArbiterReceivesPastUsage(t *testing.T) {
	u := newUsage()
	first, second := &fakeLink{}, &fakeLink{}
	u.reportTo(first)
	require.Len(t, first.sent, 1)
	require.Empty(t, first.sent[0].Used.Accounts)
	require.Equal(t, shard.UsageStep.Milliseconds(), first.sent[0].Used.StepMS)

	u.record("a", 30)
	u.record("a", 20)
	u.record("free", 0)
	u.reportTo(first)
	require.Len(t, first.sent, 1, "the arbiter has counted its own grants")

	u.reportTo(second)
	require.True(t, first.last().Left, "the previous arbiter must not count the front")
	used := second.last().Used
	require.Len(t, used.Accounts, 1)
	require.Equal(t, object.AccountName("a"), used.Accounts[0].Account)
	sum := 0.0
	for _, cost := range used.Accounts[0].Costs {
		sum += cost
	}
	require.InDelta(t, 50, sum, 0)

	second.down = true
	u.reportTo(first)
	require.NotNil(t, first.last().Used)
	require.False(t, second.last().Left, "nothing is sent over a link that has failed")
}

// TestGrantCountsOnce grants a request again after its target has refused it. The cost must be counted
// once.
func TestGrantCountsOnce(t *testing.T) {
	c, ticket, l := newTestTicket()
	ticket.registration.Account = "a"
	ticket.nextGrantCost = 7
	require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-1"}))
	<-ticket.decision
	require.True(t, ticket.Dispatch())
	ticket.Return(wire.Finish{Rejected: true})
	require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-2", Attempt: ticket.registration.Attempt}))
	require.InDelta(t, 7, c.usage.accounts["a"].Sum(time.Now(), shard.MaxUsageWindow), 0)
}

// TestWaitingRequestThatMovesIsChargedAgain checks that the arbiter that grants a request counts its
// cost, also if the request waited at another arbiter before.
func TestWaitingRequestThatMovesIsChargedAgain(t *testing.T) {
	rows := []struct {
		name    string
		granted bool
		want    float64
	}{
		{"waiting", false, 7},
		{"granted by the previous arbiter", true, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, ticket, l := newTestTicket()
			ticket.registration.QuotaCost = 7
			ticket.nextGrantCost = 7
			if row.granted {
				require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-1"}))
			}
			next := &fakeLink{}
			ticket.move(next)
			require.InDelta(t, row.want, next.last().Register.QuotaCost, 0)
		})
	}
}
