package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

// TestNewArbiterReceivesPastUsage moves the requests of a front from one arbiter to another. The new
// arbiter must receive the quota usage, and the previous one the notice that the front has left.
func TestNewArbiterReceivesPastUsage(t *testing.T) {
	u := newUsage()
	b := board.New(board.Member{Name: "entry-1"})
	first, second := &fakeLink{}, &fakeLink{}
	u.reportTo(first, b)
	require.Len(t, first.sent, 1)
	require.Empty(t, first.sent[0].Used.Accounts)
	require.Equal(t, shard.UsageStep.Milliseconds(), first.sent[0].Used.StepMS)

	u.record("a", 30)
	u.record("a", 20)
	u.record("free", 0)
	u.reportTo(first, b)
	require.Len(t, first.sent, 1, "the arbiter has counted its own grants")

	u.reportTo(second, b)
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
	u.reportTo(first, b)
	require.NotNil(t, first.last().Used)
	require.False(t, second.last().Left, "nothing is sent over a link that has failed")
}

// TestNewArbiterReceivesNotices moves the requests of a front to an arbiter that has never heard of the
// targets. It must receive all that this host knows, before the first registration.
func TestNewArbiterReceivesNotices(t *testing.T) {
	b := board.New(board.Member{Name: "entry-1"})
	rate := &wire.RateNotice{PerSecond: 1.6, SentAgeUS: 2000, AnsweredAgeUS: 1000}
	rows := []struct {
		name   string
		notice wire.TargetNotice
	}{
		{"rate limit", wire.TargetNotice{Pool: "p", Target: "limited", StartedMS: 5, Rate: rate}},
		{"leaving", wire.TargetNotice{Pool: "p", Target: "leaves", StartedMS: 5, Leaving: true}},
		{"pause", wire.TargetNotice{Pool: "p", Target: "pauses", StartedMS: 5, PauseMS: 60_000}},
	}
	for _, row := range rows {
		b.RecordNotice(time.Now(), row.notice)
	}
	l := &fakeLink{}
	newUsage().reportTo(l, b)
	reported := map[object.TargetName]wire.TargetNotice{}
	for _, up := range l.sent[1:] {
		reported[up.Notice.Target] = *up.Notice
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := reported[row.notice.Target]
			require.Equal(t, row.notice.Pool, got.Pool)
			require.Equal(t, row.notice.StartedMS, got.StartedMS)
			require.Equal(t, row.notice.Leaving, got.Leaving)
			require.InDelta(t, row.notice.PauseMS, got.PauseMS, 1000)
			if row.notice.Rate != nil {
				require.Equal(t, rate.PerSecond, got.Rate.PerSecond)
				require.GreaterOrEqual(t, got.Rate.SentAgeUS, rate.SentAgeUS)
			}
		})
	}
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

// TestNewArbiterReceivesUsageOfOtherFronts passes on what the former arbiter reported with a grant.
func TestNewArbiterReceivesUsageOfOtherFronts(t *testing.T) {
	c, ticket, l := newTestTicket()
	ticket.registration.Account = "a"
	ticket.nextGrantCost = 7
	require.True(t, ticket.grant(l, &wire.Grant{ID: "r-1", Target: "t-1", OthersUsed: 26}))
	next := &fakeLink{}
	c.usage.reportTo(next, board.New(board.Member{Name: "entry-1"}))
	used := next.last().Used
	require.Len(t, used.Accounts, 1)
	require.InDelta(t, 26, used.Accounts[0].Others, 0)
	require.Less(t, used.Accounts[0].OthersAgeMS, int64(1000))
}
