// Package heldprefix writes the prompt prefixes that are held to the platform's store, and the requests that are held or
// suspect, so that they stay so after all hosts have ended at the same time. A record is replaced by compare-and-swap on
// its revision only.
package heldprefix

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// writeRetryDelay is the minimum time between two attempts to write the record of a pool. In it, this host
// reads what it has written.
const writeRetryDelay = time.Second

// Controller writes the records while this host is the arbiter of the discovered pools.
type Controller struct {
	common *common.Common
	log    *logrus.Entry
	board  *board.Board
	tree   store.Tree
	// writtenAt is when this host last tried to write the record of each pool.
	writtenAt map[object.PoolName]time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a controller and starts it.
func New(c *common.Common, b *board.Board, tree store.Tree) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	r := &Controller{common: c, log: c.Log("held-prefix"), board: b, tree: tree, writtenAt: map[object.PoolName]time.Time{}, stop: stop}
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Close stops the controller and waits for it.
func (r *Controller) Close() error {
	r.stop()
	r.done.Wait()
	return nil
}

// run writes what has changed until ctx is canceled. It wakes up at changes of the board, and again while a
// record differs.
func (r *Controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.board.Changed()
		var retry <-chan time.Time
		if r.update(ctx, time.Now()) {
			retry = time.After(writeRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-retry:
		}
	}
}

// update writes the records that differ from what this host knows. It reports whether one still differs.
func (r *Controller) update(ctx context.Context, now time.Time) bool {
	if r.board.Prefixes() == nil || !r.board.IsArbiterOfDiscovered() {
		return false
	}
	differs := false
	for pool, held := range heldByPool(r.board.Prefixes().Notices(now)) {
		record := r.board.PrefixRecord(pool)
		if sameVersions(record.Held, held) {
			continue
		}
		differs = true
		if now.Sub(r.writtenAt[pool]) < writeRetryDelay {
			continue
		}
		r.writtenAt[pool] = now
		if err := r.write(ctx, pool, record.Position, held); err != nil && ctx.Err() == nil {
			r.common.CountRetry("store-held-prefixes")
			r.log.WithError(err).WithField("pool", pool).Warn("Held prefixes not written.")
		}
	}
	return differs
}

// heldByPool returns what is stored of each pool with notices, sorted. The list is empty if all have been
// released.
func heldByPool(notices []wire.PrefixNotice) map[object.PoolName][]wire.PrefixNotice {
	pools := map[object.PoolName][]wire.PrefixNotice{}
	for _, n := range notices {
		held := pools[n.Pool]
		if isStored(n) {
			held = append(held, n)
		}
		pools[n.Pool] = held
	}
	for _, held := range pools {
		slices.SortFunc(held, func(a, b wire.PrefixNotice) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	return pools
}

// isStored reports whether a notice belongs to the record of its pool. A request may crash so few targets that the crashes
// before a loss of all hosts count.
func isStored(n wire.PrefixNotice) bool {
	return n.State == wire.PrefixHeld || n.Kind == wire.RequestCause && n.State == wire.PrefixSuspect
}

func sameVersions(a, b []wire.PrefixNotice) bool {
	return slices.EqualFunc(a, b, func(x, y wire.PrefixNotice) bool { return x.Cause() == y.Cause() && x.Version == y.Version })
}

// write replaces the record of a pool, unless it has changed since it was read.
func (r *Controller) write(ctx context.Context, pool object.PoolName, position store.Position, held []wire.PrefixNotice) error {
	data, err := json.Marshal(held)
	if err != nil {
		return fmt.Errorf("encode held prefixes: %w", err)
	}
	key := discovery.HeldPrefixesKey(pool)
	committed, _, err := r.tree.Txn(ctx, store.Transaction{
		Compares: []store.Compare{{Key: key, ModRevision: position}},
		Puts:     []store.Put{{Key: key, Data: data}},
	})
	if err != nil {
		return fmt.Errorf("write held prefixes: %w", err)
	}
	r.log.WithFields(logrus.Fields{"pool": pool, "held": len(held), "replaced": position.String(), "committed": committed}).Info("Held prefixes written.")
	return nil
}
