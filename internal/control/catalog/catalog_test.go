package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/platform/store"
	standin "redwinglock/internal/standin/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const callTimeout = time.Second

func newCatalog(t *testing.T) (*Catalog, *standin.Store) {
	s := standin.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return New(store.NewEtcd([]string{server.URL}, callTimeout), "/test/"), s
}

func putEntry(t *testing.T, o object.Object) object.Entry {
	spec, err := object.Encode(o)
	require.NoError(t, err)
	return object.Entry{Kind: object.KeyOf(o).Kind, Spec: spec}
}

func tier(name object.TierName, priority int) *object.Tier {
	return &object.Tier{Name: name, Priority: priority}
}

// firstChange returns a change set that is valid on its own.
func firstChange(t *testing.T) Change {
	return Change{ID: "first", Operator: "ann", Puts: []object.Entry{
		putEntry(t, tier("urgent", 2)),
		putEntry(t, &object.Account{Name: "a", Tiers: []object.TierName{"urgent"}, KeyHashes: []string{object.HashKey("k")}}),
	}}
}

func TestPublish(t *testing.T) {
	rows := []struct {
		name   string
		change Change
		check  func(t *testing.T, err error)
	}{
		{
			"change of the current revision",
			Change{ID: "c", Puts: []object.Entry{putEntry(t, tier("urgent", 5))}, Base: map[string]object.Revision{"tier/urgent": 1}},
			func(t *testing.T, err error) { require.NoError(t, err) },
		},
		{
			"change of an older revision",
			Change{ID: "c", Puts: []object.Entry{putEntry(t, tier("urgent", 5))}},
			func(t *testing.T, err error) {
				var conflict *ConflictError
				require.ErrorAs(t, err, &conflict)
				require.Equal(t, "tier/urgent", conflict.Object.String())
				require.Equal(t, object.Revision(1), conflict.Current)
				require.Equal(t, "ann", conflict.Operator)
			},
		},
		{
			"delete of an object in use",
			Change{ID: "c", Deletes: []DeleteEntry{{object.KindTier, "urgent"}}, Base: map[string]object.Revision{"tier/urgent": 1}},
			func(t *testing.T, err error) {
				var invalid *InvalidError
				require.ErrorAs(t, err, &invalid)
				require.ErrorContains(t, err, `account/a: tiers: tier "urgent" does not exist`)
			},
		},
		{
			"object with an unknown field",
			Change{ID: "c", Puts: []object.Entry{{Kind: object.KindTier, Spec: json.RawMessage(`{"name":"x","colour":"red"}`)}}},
			func(t *testing.T, err error) { require.ErrorContains(t, err, "colour") },
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c, _ := newCatalog(t)
			ctx := context.Background()
			_, err := c.Publish(ctx, firstChange(t))
			require.NoError(t, err)
			_, err = c.Publish(ctx, row.change)
			row.check(t, err)
			state, readErr := c.Read(ctx, nil)
			require.NoError(t, readErr)
			want := object.Revision(1)
			if err == nil {
				want = 2
			}
			require.Equal(t, want, state.Head.Revision, "all or nothing")
		})
	}
}

func TestConcurrentPublishesSucceedOrConflict(t *testing.T) {
	c, _ := newCatalog(t)
	ctx := context.Background()
	_, err := c.Publish(ctx, firstChange(t))
	require.NoError(t, err)
	const operators = 12
	results := make([]error, operators)
	var race sync.WaitGroup
	for i := range operators {
		race.Go(func() {
			_, results[i] = c.Publish(ctx, Change{
				ID: ChangeID(fmt.Sprint("c", i)), Operator: fmt.Sprint("operator-", i),
				Puts: []object.Entry{putEntry(t, tier("urgent", 10+i))}, Base: map[string]object.Revision{"tier/urgent": 1},
			})
		})
	}
	race.Wait()
	won := 0
	for _, err := range results {
		var conflict *ConflictError
		if err == nil {
			won++
		} else {
			require.ErrorAs(t, err, &conflict)
		}
	}
	require.Equal(t, 1, won)
	state, err := c.Read(ctx, nil)
	require.NoError(t, err)
	require.Equal(t, object.Revision(2), state.Head.Revision)
}

func TestPublishIsIdempotentAfterALostResponse(t *testing.T) {
	c, s := newCatalog(t)
	ctx := context.Background()
	s.SetFault(standin.Fault{LoseAnswers: true})
	state, err := c.Publish(ctx, firstChange(t))
	require.NoError(t, err, "the change is found in the head")
	require.Equal(t, object.Revision(1), state.Head.Revision)
	s.SetFault(standin.Fault{})
	state, err = c.Publish(ctx, firstChange(t))
	require.NoError(t, err, "a retry with the same id is already accepted")
	require.Equal(t, object.Revision(1), state.Head.Revision)
}

func TestPublishReturnsUnavailableWhileTheStoreIsDown(t *testing.T) {
	c, s := newCatalog(t)
	s.SetFault(standin.Fault{Down: true})
	_, err := c.Publish(context.Background(), firstChange(t))
	require.ErrorIs(t, err, store.ErrUnavailable)
}

func TestIncrementalReadEqualsFullRead(t *testing.T) {
	c, _ := newCatalog(t)
	ctx := context.Background()
	_, err := c.Publish(ctx, firstChange(t))
	require.NoError(t, err)
	cached, err := c.Read(ctx, nil)
	require.NoError(t, err)
	for i := range retainedChanges + 5 {
		name := object.TierName(fmt.Sprint("t", i))
		change := Change{ID: ChangeID(name), Puts: []object.Entry{
			putEntry(t, tier(name, 100+i)),
			putEntry(t, &object.Account{Name: object.AccountName(name), Tiers: []object.TierName{name}, KeyHashes: []string{object.HashKey(string(name))}}),
		}}
		if i%7 == 0 && i > 0 {
			previous := fmt.Sprint("t", i-1)
			change.Deletes = []DeleteEntry{{object.KindTier, previous}, {object.KindAccount, previous}}
			base := object.Revision(i + 1)
			change.Base = map[string]object.Revision{"tier/" + previous: base, "account/" + previous: base}
		}
		_, err := c.Publish(ctx, change)
		require.NoError(t, err)
		full, err := c.Read(ctx, nil)
		require.NoError(t, err)
		incremental, err := c.Read(ctx, cached)
		require.NoError(t, err)
		require.Equal(t, full.Names, incremental.Names)
		require.Equal(t, full.Chunks, incremental.Chunks)
		if i%3 == 0 {
			cached = incremental
		}
	}
}

// failingKV fails all reads and watches, like a store that is down.
type failingKV struct{ store.KV }

func (failingKV) Get(context.Context, string) (store.Value, error) {
	return store.Value{}, store.ErrUnavailable
}

func (failingKV) Watch(context.Context, string, func()) error { return store.ErrUnavailable }

func stateAt(t *testing.T, revision object.Revision) *State {
	c, _ := newCatalog(t)
	state, err := c.Publish(context.Background(), firstChange(t))
	require.NoError(t, err)
	state.Head.Revision = revision
	return state
}

func TestFollowerIgnoresOlderRevisions(t *testing.T) {
	b := board.New(board.Member{Name: "entry-1"})
	f := NewFollower(common.Discard(), b, New(failingKV{}, "/test/"))
	defer f.Close()
	for _, revision := range []object.Revision{3, 2, 5, 4, 1} {
		require.NoError(t, f.Adopt(stateAt(t, revision)))
	}
	require.Equal(t, object.Revision(5), b.Config().Revision)
}

func TestConfigurationWithAnUnknownKindIsRejected(t *testing.T) {
	b := board.New(board.Member{Name: "entry-1"})
	f := NewFollower(common.Discard(), b, New(failingKV{}, "/test/"))
	defer f.Close()
	require.NoError(t, f.Adopt(stateAt(t, 1)))
	newer := stateAt(t, 2)
	entries := []object.Entry{{Kind: "planet", Spec: json.RawMessage(`{"name":"x"}`)}}
	content, err := json.Marshal(entries)
	require.NoError(t, err)
	newer.Names[0] = "unknown"
	newer.Chunks["unknown"] = content
	require.ErrorContains(t, f.Adopt(newer), `unknown kind "planet"`)
	require.Equal(t, object.Revision(1), b.Config().Revision, "the previous one stays active")
}

func TestFollowerActivatesAChangeWithoutPolling(t *testing.T) {
	c, _ := newCatalog(t)
	b := board.New(board.Member{Name: "entry-1"})
	f := NewFollower(common.Discard(), b, c)
	defer f.Close()
	_, err := c.Publish(context.Background(), firstChange(t))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		changed := b.Changed()
		if b.Config() != nil {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			require.Fail(t, "the change was not activated")
		}
	}
	require.Equal(t, object.Revision(1), b.Config().Revision)
	require.False(t, errors.Is(ctx.Err(), context.DeadlineExceeded))
}

// changeBeforeWatchKV makes a change just before the first watch is created, after the follower
// has read the store.
type changeBeforeWatchKV struct {
	store.KV
	once   sync.Once
	change func()
}

func (k *changeBeforeWatchKV) Watch(ctx context.Context, key string, changed func()) error {
	k.once.Do(k.change)
	return k.KV.Watch(ctx, key, changed)
}

func TestChangeBeforeTheWatchIsCreatedIsNotMissed(t *testing.T) {
	c, _ := newCatalog(t)
	kv := &changeBeforeWatchKV{KV: c.kv}
	common := common.Discard()
	common.Settings.Store.PollInterval = time.Hour
	b := board.New(board.Member{Name: "entry-1"})
	readDone := make(chan struct{})
	kv.change = func() {
		<-readDone // The first read has found no configuration.
		_, err := c.Publish(context.Background(), firstChange(t))
		require.NoError(t, err)
	}
	f := NewFollower(common, b, New(kv, "/test/"))
	defer f.Close()
	time.AfterFunc(200*time.Millisecond, func() { close(readDone) })
	require.Eventually(t, func() bool { return b.Config() != nil }, 10*time.Second, 10*time.Millisecond)
}
