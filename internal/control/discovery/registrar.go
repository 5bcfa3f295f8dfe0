package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

const (
	// leaseTTL is how long the entry of a host outlives its last renewal.
	leaseTTL = 6 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Second
	// registerRetry is the pause after a failed registration.
	registerRetry = 500 * time.Millisecond
)

// Registrar keeps this host registered in the store while it runs.
type Registrar struct {
	common *common.Common
	log    *logrus.Entry
	board  *board.Board
	tree   store.Tree

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewRegistrar registers this host and keeps its entry alive.
func NewRegistrar(c *common.Common, b *board.Board, tree store.Tree) *Registrar {
	ctx, stop := context.WithCancel(context.Background())
	r := &Registrar{common: c, log: c.Log("registrar"), board: b, tree: tree, stop: stop}
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Close removes the entry and waits.
func (r *Registrar) Close() error {
	r.stop()
	r.done.Wait()
	return nil
}

func (r *Registrar) run(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		wait := renewInterval
		err := r.refresh(ctx, &lease)
		if err != nil && ctx.Err() == nil {
			wait = registerRetry
			r.common.CountRetry("store-register")
			r.log.WithError(err).Warn("Host not registered.")
		}
		pause(ctx, wait)
	}
	if lease == 0 {
		return
	}
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerRetry)
	defer cancel()
	if err := r.tree.Revoke(endCtx, lease); err != nil {
		r.log.WithError(err).Info("Entry left to expire.")
	}
}

// refresh renews the lease, or registers with a new one.
func (r *Registrar) refresh(ctx context.Context, lease *store.LeaseID) error {
	if *lease != 0 {
		err := r.tree.KeepAlive(ctx, *lease)
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
		*lease = 0
	}
	granted, err := r.tree.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	self := r.board.Members().Self
	entry, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	_, _, err = r.tree.Txn(ctx, store.Transaction{Puts: []store.Put{{Key: HostsPrefix + self.Name, Data: entry, Lease: granted}}})
	if err != nil {
		return fmt.Errorf("register host: %w", err)
	}
	*lease = granted
	r.log.WithFields(logrus.Fields{"host": self.Name, "lease": granted}).Info("Host registered.")
	return nil
}
