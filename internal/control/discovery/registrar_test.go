package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

func TestRegistrarRegistersAgainWhenItsLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := newFakeTree()
		r := NewRegistrar(common.Discard(), board.New(board.Member{Name: "entry-1", CallerURL: "10.0.0.1:80"}), tree)
		synctest.Wait()
		first := tree.items[HostsPrefix+"entry-1"]
		require.NotEmpty(t, first.Data)
		tree.mu.Lock()
		clear(tree.leases)
		tree.mu.Unlock()
		tree.remove(HostsPrefix + "entry-1")
		time.Sleep(2 * renewInterval)
		synctest.Wait()
		require.Equal(t, first.Data, tree.items[HostsPrefix+"entry-1"].Data)
		require.NoError(t, r.Close())
		require.Empty(t, tree.leases)
	})
}

func TestRegisteredHostsAreListed(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		for i := range 3 {
			f.tree.set(fmt.Sprintf("%sentry-%d", HostsPrefix, i), fmt.Sprintf(`{"name":"entry-%d","zone":"a"}`, i))
		}
		f.tree.set(HostsPrefix+"broken", "{")
		settle()
		synctest.Wait()
		groups, err := f.d.List(context.Background())
		require.NoError(t, err)
		require.Len(t, groups, 3)
	})
}
