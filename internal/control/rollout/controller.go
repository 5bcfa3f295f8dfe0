// Package rollout carries out the rollouts that the operator orders: it keeps their records in
// the platform's store and writes the verdicts of the arbiter there. The record is changed
// under the condition of its last revision only, so there is one verdict, whoever writes.
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
	// pollInterval is the time between two looks at the trials of the arbiter.
	pollInterval = 100 * time.Millisecond
	// keepInterval is the time between two writes of what was seen.
	keepInterval = 2 * time.Second
	// writePause is the pause after a write that failed or whose outcome is not known.
	writePause = 300 * time.Millisecond
)

// Controller writes the records of rollouts while this host is the arbiter.
type Controller struct {
	common     *common.Common
	log        *logrus.Entry
	board      *board.Board
	tree       store.Tree
	translator discovery.Translator
	arbiter    *front.Server

	// writtenAt is when the record of each pool was last written.
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

// run sleeps while no rollout is under way.
func (r *Controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.board.Changed()
		if r.lookAtAll(ctx, time.Now()) > 0 {
			pause(ctx, pollInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// lookAtAll writes what is due of each rollout and returns how many are under way.
func (r *Controller) lookAtAll(ctx context.Context, now time.Time) int {
	config := r.board.Config()
	if config == nil {
		return 0
	}
	open := 0
	for _, spec := range config.Rollouts() {
		if spec.Finished() {
			continue
		}
		open++
		if !r.isArbiter() || now.Sub(r.writtenAt[spec.Pool]) < writePause {
			continue
		}
		next := r.next(now, spec)
		if next == nil {
			continue
		}
		if err := r.write(ctx, now, next); err != nil && ctx.Err() == nil {
			r.common.CountRetry("store-rollout")
			r.log.WithError(err).WithFields(logrus.Fields{"pool": next.Pool, "state": next.State}).Warn("Record of a rollout not written.")
		}
	}
	return open
}

// isArbiter reports whether this host arbitrates the discovered pools.
func (r *Controller) isArbiter() bool {
	members := r.board.Members()
	owner := members.Owner(board.SharedDuty, nil, func(board.Member) bool { return true })
	return r.board.HasJoined() && !r.board.Stopping() && owner.Name == members.Self.Name
}

// next returns the record that should replace the one known, or nil.
func (r *Controller) next(now time.Time, spec *object.Rollout) *object.Rollout {
	record := *spec
	if spec.State == object.RolloutOrdered {
		record.State = object.RolloutRunning
		record.BegunMS = now.UnixMilli()
		if len(record.From) == 0 {
			record.State = object.RolloutCompleted // No other version is left.
		}
		return &record
	}
	state, judged := r.arbiter.Rollout(spec.Pool)
	if !judged || state.Order != spec.Order {
		return nil
	}
	switch state.Verdict {
	case trial.Completed:
		record.State = object.RolloutCompleted
	case trial.RolledBack:
		record.State = object.RolloutRolledBack
	default:
		if now.Sub(r.writtenAt[spec.Pool]) < keepInterval || nearEnd(now, spec) {
			return nil
		}
	}
	evidence, err := json.Marshal(state.Evidence)
	if err != nil {
		r.log.WithError(err).Error("Evidence of a rollout not kept.") // The verdict goes without.
		evidence = nil
	}
	record.Evidence = evidence
	return &record
}

// nearEnd reports whether a verdict is due soon. A write of what was seen could then change the
// record just before the verdict, which would have to wait for the newer revision.
func nearEnd(now time.Time, spec *object.Rollout) bool {
	end := time.UnixMilli(spec.BegunMS).Add(time.Duration(spec.Duration))
	return end.Sub(now) < keepInterval
}

// write replaces a record and tells the operator, unless the record has changed meanwhile.
func (r *Controller) write(ctx context.Context, now time.Time, record *object.Rollout) error {
	r.writtenAt[record.Pool] = now
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	status, err := r.translator.RolloutStatus(record)
	if err != nil {
		return fmt.Errorf("tell the operator: %w", err)
	}
	key := discovery.RolloutKey(record.Pool)
	held, _, err := r.tree.Txn(ctx, store.Transaction{
		Compares: []store.Compare{{Key: key, ModRevision: record.RecordRevision}},
		Puts:     []store.Put{{Key: key, Data: data}, status},
	})
	if err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	log := r.log.WithFields(logrus.Fields{
		"pool": record.Pool, "to": record.To, "state": record.State, "order": record.Order, "replaced": record.RecordRevision, "evidence": string(record.Evidence),
	})
	if !held {
		log.Info("Record of a rollout was changed by another host.")
		return nil
	}
	r.common.Metrics.Tagged(map[string]string{"state": string(record.State)}).Counter("rollout_records").Inc(1)
	log.Info("Record of a rollout written.")
	return nil
}
