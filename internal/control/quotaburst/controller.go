// Package quotaburst writes to the platform's store which accounts use their quotas in bursts, so that hosts that have lost
// all records of usage do not take it for evenly spread. The record is replaced by compare-and-swap.
package quotaburst

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const (
	// writeRetryDelay is the minimum time between two attempts to write the same accounts. In it, this host
	// reads what it has written.
	writeRetryDelay = time.Second
	// removeInterval is the time between two searches for accounts whose bursts have ended.
	removeInterval = 3 * time.Second
)

// Arbiter is the part of the arbiter that knows the usage of quotas.
type Arbiter interface {
	// QuotaBursts returns by how much accounts exceed an even usage of their quotas, as fractions of their limits.
	QuotaBursts(now time.Time) map[object.AccountName]float64
	// QuotaBurstGrew returns a channel that receives a value when an excess grows.
	QuotaBurstGrew() <-chan struct{}
}

// Controller writes the record while this host is the arbiter of the discovered pools.
type Controller struct {
	common  *common.Common
	log     *logrus.Entry
	board   *board.Board
	tree    store.Tree
	arbiter Arbiter

	// written is what this host last tried to write, at writtenAt.
	written   map[object.AccountName]float64
	writtenAt time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a controller and starts it.
func New(c *common.Common, b *board.Board, tree store.Tree, arbiter Arbiter) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	r := &Controller{common: c, log: c.Log("quota-bursts"), board: b, tree: tree, arbiter: arbiter, stop: stop}
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Close stops the controller and waits for it.
func (r *Controller) Close() error {
	r.stop()
	r.done.Wait()
	return nil
}

// run writes what has changed until ctx is canceled: what grows at once, the end of a burst some time later.
func (r *Controller) run(ctx context.Context) {
	wait := time.NewTimer(removeInterval)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.arbiter.QuotaBurstGrew():
		case <-wait.C:
		}
		wait.Reset(r.update(ctx, time.Now()))
	}
}

// update writes the record if it differs from what the arbiter knows. It returns the time until the next update.
func (r *Controller) update(ctx context.Context, now time.Time) time.Duration {
	if !r.board.IsArbiterOfDiscovered() {
		return removeInterval
	}
	excess := r.arbiter.QuotaBursts(now)
	record := r.board.BurstRecord()
	if maps.Equal(record.Excess, excess) {
		return removeInterval
	}
	if maps.Equal(r.written, excess) && now.Sub(r.writtenAt) < writeRetryDelay {
		return writeRetryDelay
	}
	r.written, r.writtenAt = excess, now
	if err := r.write(ctx, record.Position, excess); err != nil && ctx.Err() == nil {
		r.common.CountRetry("store-quota-bursts")
		r.log.WithError(err).Warn("Quota bursts not written.")
	}
	return writeRetryDelay
}

// write replaces the record, unless it has changed since it was read.
func (r *Controller) write(ctx context.Context, position store.Position, excess map[object.AccountName]float64) error {
	data, err := json.Marshal(excess)
	if err != nil {
		return fmt.Errorf("encode quota bursts: %w", err)
	}
	committed, _, err := r.tree.Txn(ctx, store.Transaction{
		Compares: []store.Compare{{Key: discovery.QuotaBurstsKey, ModRevision: position}},
		Puts:     []store.Put{{Key: discovery.QuotaBurstsKey, Data: data}},
	})
	if err != nil {
		return fmt.Errorf("write quota bursts: %w", err)
	}
	r.log.WithFields(logrus.Fields{"excess": excess, "replaced": position.String(), "committed": committed}).Info("Quota bursts written.")
	return nil
}
