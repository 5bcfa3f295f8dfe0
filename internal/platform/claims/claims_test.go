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

// fixture contains a store and the Claims of several hosts.
type fixture struct {
	store *standin.Store
	hosts []*Claims
}

func newFixture(t *testing.T, hosts int) *fixture {
	s := &fixture{store: standin.New()}
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

func TestOneOfManyConcurrentRequestsAcquiresTheClaim(t *testing.T) {
	s := newFixture(t, 8)
	var acquired atomic.Int64
	var attempts sync.WaitGroup
	for i, host := range s.hosts {
		attempts.Go(func() {
			existing, err := host.Acquire(context.Background(), key, fmt.Sprint("token-", i), "f")
			if err == nil && existing == nil {
				acquired.Add(1)
			}
		})
	}
	attempts.Wait()
	require.Equal(t, int64(1), acquired.Load())
}

func TestRetryGetsTheStoredRecord(t *testing.T) {
	rows := []struct {
		name   string
		finish func(c *Claims)
		want   Record
	}{
		{"host died after the claim", func(*Claims) {}, Record{State: Claimed}},
		{"answered", func(c *Claims) {
			c.Record(key, Record{State: Answered, Token: "token", Fingerprint: "f", Status: 201, Body: []byte("done"), BodyStored: true})
		}, Record{State: Answered, Status: 201, Body: []byte("done"), BodyStored: true}},
		{"answered with a body over MaxAnswerBytes", func(c *Claims) {
			c.Record(key, Record{State: Answered, Token: "token", Fingerprint: "f", Status: 200, Body: make([]byte, MaxAnswerBytes+1), BodyStored: true})
		}, Record{State: Answered, Status: 200}},
		{"failed", func(c *Claims) {
			c.Record(key, Record{State: Failed, Token: "token", Fingerprint: "f", Failure: outcome.Unknown, Reason: outcome.TargetLost})
		}, Record{State: Failed, Failure: outcome.Unknown, Reason: outcome.TargetLost}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newFixture(t, 2)
			existing, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
			require.NoError(t, err)
			require.Nil(t, existing)
			row.finish(s.hosts[0])
			require.NoError(t, s.hosts[0].Close())
			existing, err = s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
			require.NoError(t, err)
			require.NotNil(t, existing, "the retry must not run")
			row.want.Token = "token"
			row.want.Fingerprint = "f"
			require.Equal(t, row.want, *existing)
		})
	}
}

func TestReleasedKeyCanBeUsedAgain(t *testing.T) {
	s := newFixture(t, 2)
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.NoError(t, err)
	s.hosts[0].Release(key, "token", "f")
	require.NoError(t, s.hosts[0].Close())
	existing, err := s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Nil(t, existing)
}

// TestLostAnswerIsResolvedByReadingTheClaim loses the store's answer to the write of a claim.
// The next attempt must find its own token in the record.
func TestLostAnswerIsResolvedByReadingTheClaim(t *testing.T) {
	s := newFixture(t, 2)
	_, err := s.hosts[0].currentLease(context.Background())
	require.NoError(t, err)
	s.store.SetFault(standin.Fault{LoseAnswers: true})
	existing, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.NoError(t, err)
	require.Nil(t, existing, "the claim is held")
	s.store.SetFault(standin.Fault{})
	existing, err = s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Equal(t, "token", existing.Token)
}

// TestUnconfirmedClaimIsReleased makes the store unavailable during a claim. The request is
// refused as not run, so its key must be available when the store recovers.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	s := newFixture(t, 2)
	s.store.SetFault(standin.Fault{Down: true})
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.ErrorIs(t, err, store.ErrUnavailable)
	s.hosts[0].Release(key, "token", "f")
	s.store.SetFault(standin.Fault{})
	require.NoError(t, s.hosts[0].Close(), "Close waits for the release")
	existing, err := s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Nil(t, existing)
}

func TestStoreIsNotCalledRightAfterAnOutage(t *testing.T) {
	s := newFixture(t, 1)
	s.store.SetFault(standin.Fault{Down: true})
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.ErrorIs(t, err, store.ErrUnavailable)
	calls := s.store.Calls("/v3/lease/grant") + s.store.Calls("/v3/kv/txn")
	for range 100 {
		_, err = s.hosts[0].Acquire(context.Background(), key, "token", "f")
		require.ErrorIs(t, err, ErrStoreNotCalled)
	}
	require.Equal(t, calls, s.store.Calls("/v3/lease/grant")+s.store.Calls("/v3/kv/txn"), "the store is not called")
}

// TestDelayedClaimAfterItsReleaseHasNoEffect delays the write of a claim until after its
// release. The delayed write must not overwrite the claim of a later request.
func TestDelayedClaimAfterItsReleaseHasNoEffect(t *testing.T) {
	s := newFixture(t, 2)
	s.hosts[0].Release(key, "token", "f")
	require.NoError(t, s.hosts[0].Close())
	existing, err := s.hosts[1].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Nil(t, existing)
	s.hosts[1].Record(key, Record{State: Answered, Token: "repeat", Fingerprint: "f", Status: 200})
	require.NoError(t, s.hosts[1].Close())
	won, _, err := s.hosts[0].kv.Txn(context.Background(), store.Transaction{
		Compares: []store.Compare{{Key: "/test/claim/key", ModRevision: 0}},
		Puts:     []store.Put{{Key: "/test/claim/key", Data: []byte(`{"state":"claimed","token":"token"}`)}},
	})
	require.NoError(t, err)
	require.False(t, won, "the delayed write has no effect")
}

func TestRecordOfAnotherRequestIsNotOverwritten(t *testing.T) {
	s := newFixture(t, 2)
	_, err := s.hosts[0].Acquire(context.Background(), key, "token", "f")
	require.NoError(t, err)
	s.hosts[1].Record(key, Record{State: Answered, Token: "stranger", Status: 200})
	s.hosts[1].Release(key, "stranger", "f")
	require.NoError(t, s.hosts[1].Close())
	existing, err := s.hosts[0].Acquire(context.Background(), key, "repeat", "f")
	require.NoError(t, err)
	require.Equal(t, Claimed, existing.State)
	require.Equal(t, "token", existing.Token)
}
