// Package rollout runs the rollouts that the operator orders: it maintains their records in the
// platform's store and writes the verdicts of the arbiter to them. A record is replaced by
// compare-and-swap on its revision only, so a rollout has one verdict even if several hosts write.
package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const (
	// pollInterval is the time between two reads of the rollout states of the arbiter.
	pollInterval = 100 * time.Millisecond
	// evidenceInterval is the minimum time between two writes of the evidence of a running rollout.
	evidenceInterval = 2 * time.Second
	// writeRetryDelay is the minimum time between two attempts to write a record. It limits the
	// retries after a write that failed or whose outcome is unknown.
	writeRetryDelay = 300 * time.Millisecond
)

// Controller writes the rollout records while this host is the arbiter of the discovered pools.
type Controller struct {
	common     *common.Common
	log        *logrus.Entry
	board      *board.Board
	tree       store.Tree
	translator discovery.Translator
	arbiter    *front.Server

	// writtenAt is when this host last tried to write the record of each pool.
	writtenAt map[object.PoolName]time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a controller and starts it.
func New(c *common.Common, b *board.Board, tree store.Tree, t discovery.Translator, arbiter *front.Server) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	r := &Controller{
		common: c, log: c.Log("rollout"), board: b, tree: tree, translator: t, arbiter: arbiter,
		writtenAt: map[object.PoolName]time.Time{}, stop: stop,
	}
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Close stops the controller and waits for it.
func (r *Controller) Close() error {
	r.stop()
	r.done.Wait()
	return nil
}

// run updates the rollouts until ctx is canceled. It polls only while a rollout is active.
func (r *Controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.board.Changed()
		if r.updateRollouts(ctx, time.Now()) > 0 {
			sleep(ctx, pollInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// updateRollouts writes the records that are due and returns the number of active rollouts.
func (r *Controller) updateRollouts(ctx context.Context, now time.Time) int {
	config := r.board.Config()
	if config == nil {
		return 0
	}
	active := 0
	for _, spec := range config.Rollouts() {
		if spec.Finished() && !spec.Unsaved {
			continue
		}
		active++
		if !r.board.IsArbiterOfDiscovered() || now.Sub(r.writtenAt[spec.Pool]) < writeRetryDelay {
			continue
		}
		next := r.nextRecord(now, spec)
		if next == nil {
			continue
		}
		if err := r.write(ctx, now, next); err != nil && ctx.Err() == nil {
			r.common.CountRetry("store-rollout")
			r.log.WithError(err).WithFields(logrus.Fields{"pool": next.Pool, "state": next.State}).Warn("Record of a rollout not written.")
		}
	}
	return active
}

// nextRecord returns the record that should replace the current one, or nil.
func (r *Controller) nextRecord(now time.Time, spec *object.Rollout) *object.Rollout {
	record := *spec
	if spec.Unsaved {
		return &record
	}
	if spec.State == object.RolloutOrdered {
		record.State = object.RolloutRunning
		record.StartedMS = now.UnixMilli()
		if len(record.From) == 0 {
			record.State = object.RolloutCompleted // No other version is left.
		}
		return &record
	}
	state, found := r.arbiter.Rollout(spec.Pool)
	if !found || state.OrderRevision != spec.OrderRevision {
		return nil
	}
	switch state.Verdict {
	case trial.Completed:
		record.State = object.RolloutCompleted
	case trial.RolledBack:
		record.State = object.RolloutRolledBack
	default:
		if now.Sub(r.writtenAt[spec.Pool]) < evidenceInterval || isVerdictDueSoon(now, spec) {
			return nil
		}
	}
	evidence, err := json.Marshal(state.Evidence)
	if err != nil {
		r.log.WithError(err).Error("Evidence of a rollout not encoded.") // The verdict is written without it.
		evidence = nil
	}
	record.Evidence = evidence
	return &record
}

// isVerdictDueSoon reports whether a verdict is due soon. A write of the evidence could then
// change the revision of the record just before the verdict, and the write of the verdict would
// have to wait until this host has read the new revision.
func isVerdictDueSoon(now time.Time, spec *object.Rollout) bool {
	end := time.UnixMilli(spec.StartedMS).Add(time.Duration(spec.Duration))
	return end.Sub(now) < evidenceInterval
}

// write replaces a record and its status for the operator in one transaction, unless the record
// has changed since it was read.
func (r *Controller) write(ctx context.Context, now time.Time, record *object.Rollout) error {
	r.writtenAt[record.Pool] = now
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	status, err := r.translator.RolloutStatus(record)
	if err != nil {
		return fmt.Errorf("create rollout status: %w", err)
	}
	key := discovery.RolloutKey(record.Pool)
	committed, _, err := r.tree.Txn(ctx, store.Transaction{
		Compares: []store.Compare{{Key: key, ModRevision: record.RecordRevision}},
		Puts:     []store.Put{{Key: key, Data: data}, status},
	})
	if err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	log := r.log.WithFields(logrus.Fields{
		"pool": record.Pool, "to": record.To, "state": record.State, "order": record.OrderRevision.String(), "replaced": record.RecordRevision.String(), "evidence": string(record.Evidence),
	})
	if !committed {
		log.Info("Record of a rollout was changed by another host.")
		return nil
	}
	r.common.Metrics.Tagged(map[string]string{"state": string(record.State)}).Counter("rollout_records").Inc(1)
	log.Info("Record of a rollout written.")
	return nil
}
