package claims

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/platform/store"
	standin "redwinglock/internal/standin/store"
	"redwinglock/internal/state/outcome"
)

const (
	key         Key = "key"
	callTimeout     = 200 * time.Millisecond
)

// setup is a store and the claims of several hosts.
type setup struct {
	store *standin.Store
	hosts []*Claims
}

func newSetup(t *testing.T, hosts int) *setup {
	s := &setup{store: standin.New()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	for range hosts {
		kv := store.NewEtcd([]string{server.URL}, callTimeout)
		c := New(kv, "/test/", time.Hour)
		t.Cleanup(func() { _ = c.Close() })
		s.hosts = append(s.hosts, c)
	}
	return s
}

func TestOneOfManyHoldsTheClaim(t *testing.T) {
	s := newSetup(t, 8)
	var won atomic.Int64
	var tries sync.WaitGroup
	for i, host := range s.hosts {
		tries.Go(func() {
			other, err := host.Acquire(context.Background(), key, fmt.Sprint("token-", i), "f")
			if err == nil && other == nil {
				won.Add(1)
			}
		})
	}
	tries.Wait()
	require.Equal(t, int64(1), won.Load())
}

func TestRepeatIsToldWhatIsKnown(t *testing.T) {
	rows := []struct {
		name string
		end  func(c *Claims)
		want Record
	}{
		{"host died after the claim", func(*Claims) {}, Record{State: Claimed}},
		{"answered", func(c *Claims) {
			c.Record(key, Record{State: Answered, Token: "token", Fingerprint: "f", Status: 201, Body: []byte("done"), Kept: true})
		}, Record{State: Answered, Status: 201, Body: []byte("done"), Kept: true}},
		{"answered with more than is kept", func(c *Claims) {
			c.Record(key, Record{State: Answered, Token: "token", Fingerprint: "f", Status: 200, Body: make([]byte, MaxAnswerBytes+1), Kept: true})
		}, Record{State: Answered, Status: 200}},
		{"failed", func(c *Claims) {
			c.Record(key, Record{State: Failed, Token: "token", Fingerprint: "f", Failure: outcome.Unknown, Reason: outcome.TargetLost})
		}, Record{State: Failed, Failure: outcome.Unknown, Reason: outcome.TargetLost}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSetup(t, 2)
			other, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
			require.NoError(t, err)
			require.Nil(t, other)
			row.end(s.hosts[0])
			require.NoError(t, s.hosts[0].Close())
			other, err = s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
			require.NoError(t, err)
			require.NotNil(t, other, "the repeat does not run")
			row.want.Token = "token"
			row.want.Fingerprint = "f"
			require.Equal(t, row.want, *other)
		})
	}
}

func TestReleasedKeyCanBeUsedAgain(t *testing.T) {
	s := newSetup(t, 2)
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.NoError(t, err)
	s.hosts[0].Release(key, "token", "f")
	require.NoError(t, s.hosts[0].Close())
	other, err := s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Nil(t, other)
}

// TestLostAnswerIsResolvedByReadingBack loses the answer of the write that takes the
// claim: the next try finds the own token.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	s := newSetup(t, 2)
	_, err := s.hosts[0].currentLease(context.Background())
	require.NoError(t, err)
	s.store.SetFault(standin.Fault{LoseAnswers: true})
	other, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.NoError(t, err)
	require.Nil(t, other, "the claim is held")
	s.store.SetFault(standin.Fault{})
	other, err = s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Equal(t, "token", other.Token)
}

// TestUnconfirmedClaimIsReleased takes the store down. The request was refused as not
// run, so the key must be free once the store is back.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	s := newSetup(t, 2)
	s.store.SetFault(standin.Fault{Down: true})
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.ErrorIs(t, err, store.ErrUnavailable)
	s.hosts[0].Release(key, "token", "f")
	s.store.SetFault(standin.Fault{})
	require.NoError(t, s.hosts[0].Close(), "waits for the release")
	other, err := s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Nil(t, other)
}

func TestClaimsRestAfterAnOutage(t *testing.T) {
	s := newSetup(t, 1)
	s.store.SetFault(standin.Fault{Down: true})
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.ErrorIs(t, err, store.ErrUnavailable)
	calls := s.store.Calls("/v3/lease/grant") + s.store.Calls("/v3/kv/txn")
	for range 100 {
		_, err = s.hosts[0].Acquire(context.Background(), key, "token", "f")
		require.ErrorIs(t, err, ErrNotAsked)
	}
	require.Equal(t, calls, s.store.Calls("/v3/lease/grant")+s.store.Calls("/v3/kv/txn"), "refused without asking the store")
}

// TestLateClaimFindsItsReleaseFirst delays the write of a claim until after its release.
func TestLateClaimFindsItsReleaseFirst(t *testing.T) {
	s := newSetup(t, 2)
	s.hosts[0].Release(key, "token", "f")
	require.NoError(t, s.hosts[0].Close())
	other, err := s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Nil(t, other)
	s.hosts[1].Record(key, Record{State: Answered, Token: "repeat", Fingerprint: "f", Status: 200})
	require.NoError(t, s.hosts[1].Close())
	won, _, err := s.hosts[0].kv.Txn(context.Background(), store.Transaction{
		Compares: []store.Compare{{Key: "/test/claim/key", ModRevision: 0}},
		Puts:     []store.Put{{Key: "/test/claim/key", Data: []byte(`{"state":"claimed","token":"token"}`)}},
	})
	require.NoError(t, err)
	require.False(t, won, "the late write has no effect")
}

func TestRecordOfAnotherRequestIsKept(t *testing.T) {
	s := newSetup(t, 2)
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.NoError(t, err)
	s.hosts[1].Record(key, Record{State: Answered, Token: "stranger", Status: 200})
	s.hosts[1].Release(key, "stranger", "f")
	require.NoError(t, s.hosts[1].Close())
	other, err := s.hosts[0].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Equal(t, Claimed, other.State)
	require.Equal(t, "token", other.Token)
}
