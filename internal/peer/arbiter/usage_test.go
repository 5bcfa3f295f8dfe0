package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/object"
)

// TestNewArbiterIsToldWhatWasUsed follows the use of a front whose requests go to one
// arbiter, then to another.
func TestNewArbiterIsToldWhatWasUsed(t *testing.T) {
	u := newUsage()
	first, second := &fakeLink{}, &fakeLink{}
	u.tell(first)
	require.Len(t, first.sent, 1)
	require.Empty(t, first.sent[0].Used.Accounts)
	require.Equal(t, shard.UseStep.Milliseconds(), first.sent[0].Used.StepMS)

	u.note("a", 30)
	u.note("a", 20)
	u.note("free", 0)
	u.tell(first)
	require.Len(t, first.sent, 1, "it has granted the rest itself")

	u.tell(second)
	require.True(t, first.last().Left, "the former arbiter must not count on the front")
	used := second.last().Used
	require.Len(t, used.Accounts, 1)
	require.Equal(t, object.AccountName("a"), used.Accounts[0].Account)
	sum := 0.0
	for _, cost := range used.Accounts[0].Costs {
		sum += cost
	}
	require.InDelta(t, 50, sum, 0)

	second.down = true
	u.tell(first)
	require.NotNil(t, first.last().Used)
	require.False(t, second.last().Left, "nothing is sent over a link that has failed")
}

// TestGrantCountsOnce grants a request again after its target has refused it.
func TestGrantCountsOnce(t *testing.T) {
	c, ticket, l := newTestTicket()
	ticket.registration.Account = "a"
	ticket.quotaCost = 7
	require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-1"}))
	<-ticket.decision
	require.True(t, ticket.Dispatch())
	ticket.Return(wire.Finish{Rejected: true})
	require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-2", Attempt: ticket.registration.Attempt}))
	require.InDelta(t, 7, c.usage.accounts["a"].Sum(time.Now(), shard.UseSpan), 0)
}

// TestWaitingRequestThatMovesIsChargedAgain: the arbiter that grants it must count it.
func TestWaitingRequestThatMovesIsChargedAgain(t *testing.T) {
	rows := []struct {
		name    string
		granted bool
		want    float64
	}{
		{"waiting", false, 7},
		{"granted by the former arbiter", true, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, ticket, l := newTestTicket()
			ticket.registration.QuotaCost = 7
			ticket.quotaCost = 7
			if row.granted {
				require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-1"}))
			}
			next := &fakeLink{}
			ticket.move(next)
			require.InDelta(t, row.want, next.last().Register.QuotaCost, 0)
		})
	}
}
