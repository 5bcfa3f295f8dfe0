// Package streamorigin writes to the platform's store which software versions serve in each pool and which streams they
// began, so that a stream goes on at its version after all hosts have ended at the same time. Streams are written while
// more than one version serves, or has served within the life of a stream.
package streamorigin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/pool/origin"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const (
	// writeInterval is the time between two writes of new streams.
	writeInterval = 200 * time.Millisecond
	// retryDelay is the time after a failed write, and the minimum time between two writes of the versions of a pool. In
	// it, this host reads what it has written.
	retryDelay = time.Second
	// leaseTime is how long the store keeps streams, and leaseAge the age from which a lease is replaced.
	leaseTime = 3 * time.Minute
	leaseAge  = time.Minute
	// maxStreamsPerWrite bounds one value.
	maxStreamsPerWrite = 2000
)

// Controller writes the streams that this host has granted as an arbiter, and the versions while it is the arbiter of the
// discovered pools.
type Controller struct {
	common *common.Common
	log    *logrus.Entry
	board  *board.Board
	tree   store.Tree
	// versionsWrittenAt is when this host last tried to write the versions of each pool.
	versionsWrittenAt map[object.PoolName]time.Time
	// lease is that of the streams, granted at leasedAt. written numbers the keys of this host.
	lease    store.LeaseID
	leasedAt time.Time
	written  int

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a controller and starts it.
func New(c *common.Common, b *board.Board, tree store.Tree) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	r := &Controller{common: c, log: c.Log("stream-origins"), board: b, tree: tree, versionsWrittenAt: map[object.PoolName]time.Time{}, stop: stop}
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Close stops the controller and waits for it.
func (r *Controller) Close() error {
	r.stop()
	r.done.Wait()
	return nil
}

// run writes what has changed until ctx is canceled.
func (r *Controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.board.Changed()
		wait := r.update(ctx, time.Now())
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-due:
			continue
		case <-changed:
		}
		if wait > 0 && wait < retryDelay {
			sleep(ctx, wait) // Members change often; the streams are written at their own pace.
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// update writes what the store lacks. It returns the time until the next update, 0 if a change of the board tells it.
func (r *Controller) update(ctx context.Context, now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, pool := range r.pools() {
		if r.updateVersions(ctx, now, pool) {
			wait = retryDelay
		}
	}
	for _, pool := range r.pools() {
		table := r.board.Origins(pool)
		if _, isSole := table.Sole(now); isSole {
			continue
		}
		if err := r.writeStreams(ctx, now, pool, table); err != nil {
			r.common.CountRetry("store-streams")
			r.log.WithError(err).WithField("pool", pool).Warn("Streams not written.")
			return retryDelay
		}
		wait = writeInterval
	}
	return wait
}

// pools returns the pools whose streams may be resumed.
func (r *Controller) pools() []object.PoolName {
	config := r.board.Config()
	if config == nil {
		return nil
	}
	var pools []object.PoolName
	for name, view := range config.Pools() {
		if _, found := config.StreamTimeout(name); found && view.Discovered {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	return pools
}

// updateVersions writes the versions of a pool if they differ from the record. It reports whether they do.
func (r *Controller) updateVersions(ctx context.Context, now time.Time, pool object.PoolName) bool {
	if !r.board.IsArbiterOfDiscovered() {
		return false
	}
	versions := r.board.Origins(pool).Versions(now)
	record := r.board.VersionRecord(pool)
	if sameVersions(versions, record.Versions) {
		return false
	}
	if now.Sub(r.versionsWrittenAt[pool]) < retryDelay {
		return true
	}
	r.versionsWrittenAt[pool] = now
	if err := r.writeVersions(ctx, pool, record.Position, versions); err != nil && ctx.Err() == nil {
		r.common.CountRetry("store-versions")
		r.log.WithError(err).WithField("pool", pool).Warn("Versions not written.")
	}
	return true
}

// sameVersions reports whether two lists name the same versions, and which of them serve.
func sameVersions(a, b []origin.VersionRecord) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(x origin.VersionRecord) bool {
		return !slices.ContainsFunc(b, func(y origin.VersionRecord) bool {
			return x.Version == y.Version && (x.EndedMS == 0) == (y.EndedMS == 0)
		})
	})
}

// writeVersions replaces the versions of a pool, unless the record has changed since it was read.
func (r *Controller) writeVersions(ctx context.Context, pool object.PoolName, position store.Position, versions []origin.VersionRecord) error {
	data, err := json.Marshal(versions)
	if err != nil {
		return fmt.Errorf("encode versions: %w", err)
	}
	key := discovery.VersionsKey(pool)
	committed, _, err := r.tree.Txn(ctx, store.Transaction{
		Compares: []store.Compare{{Key: key, ModRevision: position}},
		Puts:     []store.Put{{Key: key, Data: data}},
	})
	if err != nil {
		return fmt.Errorf("write versions: %w", err)
	}
	r.log.WithFields(logrus.Fields{"pool": pool, "versions": len(versions), "replaced": position.String(), "committed": committed}).Info("Versions written.")
	return nil
}

// writeStreams writes the streams of a pool that the store does not hold yet.
func (r *Controller) writeStreams(ctx context.Context, now time.Time, pool object.PoolName, table *origin.Table) error {
	batches := table.TakeUnstored(now)
	for len(batches) > 0 {
		next := origin.FirstStreams(batches, maxStreamsPerWrite)
		if err := r.writeBatches(ctx, now, pool, next.Taken); err != nil {
			table.Return(batches)
			return err
		}
		batches = next.Left
	}
	return nil
}

func (r *Controller) writeBatches(ctx context.Context, now time.Time, pool object.PoolName, batches []origin.Batch) error {
	if err := r.renewLease(ctx, now); err != nil {
		return err
	}
	data, err := json.Marshal(batches)
	if err != nil {
		return fmt.Errorf("encode streams: %w", err)
	}
	r.written++
	key := discovery.StreamsKey(pool, string(r.board.Members().Self.Run)+"-"+strconv.Itoa(r.written))
	_, _, err = r.tree.Txn(ctx, store.Transaction{Puts: []store.Put{{Key: key, Data: data, Lease: r.lease}}})
	if errors.Is(err, store.ErrNoLease) {
		r.lease = 0
	}
	if err != nil {
		return fmt.Errorf("write streams: %w", err)
	}
	r.common.Metrics.Counter("stream_records_written").Inc(1)
	return nil
}

// renewLease grants a new lease if the present one is old. The store removes the streams of an old one when it ends.
func (r *Controller) renewLease(ctx context.Context, now time.Time) error {
	if r.lease != 0 && now.Sub(r.leasedAt) < leaseAge {
		return nil
	}
	lease, err := r.tree.Grant(ctx, leaseTime)
	if err != nil {
		return fmt.Errorf("grant lease of streams: %w", err)
	}
	r.lease, r.leasedAt = lease, now
	return nil
}
