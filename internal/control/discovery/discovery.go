// Package discovery follows the platform's store: the operator's configuration and the
// targets that registered themselves. It puts what it learns on the board, and keeps the
// entry hosts listed in the store for those that start.
package discovery

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const (
	// watchWait is how long one call waits for changes.
	watchWait = 2 * time.Second
	// firstWait is the wait of the call that confirms a list which may be stale.
	firstWait = time.Millisecond
	// firstPatience is how long a host that has just started waits for a peer to confirm what
	// it knows before it asks the store.
	firstPatience = 100 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call to the store.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// batchPause lets changes that come together arrive in one answer.
	batchPause = 50 * time.Millisecond
	// lapseGrace is how long an entry that vanished around an outage of the store is still
	// believed: its owner writes it again soon after the return. A target that has left must
	// not be used two seconds later.
	lapseGrace = 1700 * time.Millisecond
	// outageAge is the age of the last confirmation from which a failed call means an outage
	// of the store; before, peers still follow it and only this host is not served.
	outageAge = watchWait + 500*time.Millisecond
)

// Translator turns what the store holds into named objects.
type Translator interface {
	// ConfigKey is the key of the whole configuration.
	ConfigKey() string
	// TargetsPrefix is the prefix below which targets register themselves.
	TargetsPrefix() string
	// Config decodes a configuration.
	Config(data []byte) (object.Revision, []object.Object, error)
	// Target decodes the entry of a target.
	Target(key string, data []byte) (*object.Target, error)
	// RolloutsPrefix is the prefix below which the operator orders rollouts.
	RolloutsPrefix() string
	// Rollout decodes an order: its pool, the version and the duration.
	Rollout(data []byte) (*object.Rollout, error)
	// RolloutStatus returns the item that tells the operator how far a rollout has come.
	RolloutStatus(r *object.Rollout) (store.Put, error)
}

// Controller follows the store.
type Controller struct {
	common     *common.Common
	log        *logrus.Entry
	board      *board.Board
	tree       store.Tree
	translator Translator

	peers *http2.Client
	// hint receives a peer that knows more.
	hint chan peerHint

	mu sync.Mutex
	// revision is how far the store has been followed, here or by a peer that told of it.
	revision int64
	// confirmedAt is when the store last told, here or through peers, that nothing newer
	// was known. Until it has told so once, nothing goes to the board: what is known may be
	// older than what hosts that ran before have used.
	confirmedAt time.Time
	startedAt   time.Time
	known       *known
	base        *object.Snapshot // Without discovered targets.
	targets     map[string]*object.Target
	rollouts    rollouts
	// vanished are entries of targets that are taken for gone at the given time.
	vanished map[string]time.Time
	// lapsed receives a value when a target has vanished.
	lapsed         chan struct{}
	targetRevision object.Revision
	// mustList is set when the history from which to go on is gone.
	mustList bool
	// troubleAt is when the store last failed a call while no peer could follow it either.
	troubleAt time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a controller and starts it.
func New(c *common.Common, b *board.Board, tree store.Tree, translator Translator, peers *http2.Client) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	d := &Controller{
		common:     c,
		log:        c.Log("discovery"),
		board:      b,
		tree:       tree,
		translator: translator,
		peers:      peers,
		hint:       make(chan peerHint, 1),
		known:      newKnown(),
		targets:    map[string]*object.Target{},
		rollouts:   newRollouts(),
		vanished:   map[string]time.Time{},
		lapsed:     make(chan struct{}, 1),
		startedAt:  time.Now(),
		stop:       stop,
	}
	d.done.Go(func() { d.follow(ctx) })
	d.done.Go(func() { d.expireLoop(ctx) })
	d.done.Go(func() { d.readPeers(ctx) })
	return d
}

// Close stops the controller and waits for it.
func (d *Controller) Close() error {
	d.stop()
	d.done.Wait()
	return d.peers.Close()
}

// follow lists the store and applies its changes until ctx ends.
func (d *Controller) follow(ctx context.Context) {
	retry := minRetry
	available := true
	for ctx.Err() == nil {
		if available {
			d.awaitNeed(ctx)
		}
		err := d.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if !available {
				d.log.WithField("store-revision", d.followed()).Info("Store regained.")
			}
			available = true
			retry = minRetry
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			d.log.WithField("store-revision", d.followed()).Warn("History is gone, the store is listed again.")
			d.compacted()
			pause(ctx, minRetry)
			continue
		}
		if available {
			d.log.WithError(err).Warn("Store lost.")
		}
		available = false
		d.noteTrouble()
		d.common.CountRetry("store-read")
		pause(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
}

// step makes one call and takes what it brings.
func (d *Controller) step(ctx context.Context) error {
	revision := d.followed()
	if revision == 0 {
		return d.listFirst(ctx)
	}
	if d.takeMustList() {
		items, listed, err := d.tree.List(ctx, "")
		if err != nil {
			return err
		}
		d.replace(items, listed)
		return nil
	}
	wait := watchWait
	if !d.confirmed() {
		wait = firstWait
	}
	items, next, err := d.tree.Follow(ctx, "", revision, wait)
	if err != nil {
		return err
	}
	d.apply(items, revision, next)
	if len(items) > 0 {
		pause(ctx, batchPause)
	}
	return nil
}

// listFirst lists the store at a low cost. The list may be some seconds old; what has changed
// since comes from a peer or from the store before any of it is used.
func (d *Controller) listFirst(ctx context.Context) error {
	items, listed, err := d.tree.ListStale(ctx, "")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision >= listed {
		return nil // A peer has told of newer changes meanwhile.
	}
	d.setRevision(listed)
	d.takeAll(items)
	return nil
}

// confirmed reports whether the store has told once that nothing newer was known.
func (d *Controller) confirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.confirmedAt.IsZero()
}

// followed returns how far the store has been followed, 0 if it must be listed.
func (d *Controller) followed() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// setRevision needs the lock.
func (d *Controller) setRevision(revision int64) {
	d.revision = revision
	d.tellState()
}

// setConfirmed needs the lock. It comes after all changes up to the revision were taken.
func (d *Controller) setConfirmed(at time.Time) {
	isFirst := d.confirmedAt.IsZero()
	d.confirmedAt = at
	d.tellState()
	if isFirst {
		d.publish()
	}
}

// tellState needs the lock.
func (d *Controller) tellState() {
	if !d.confirmedAt.IsZero() {
		d.board.SetStoreState(board.StoreState{Revision: d.revision, ConfirmedAt: d.confirmedAt})
	}
}

// takeMustList reports whether the store must be listed again, once.
func (d *Controller) takeMustList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	must := d.mustList
	d.mustList = false
	return must
}

// compacted makes the next call a list.
func (d *Controller) compacted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mustList = true
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// noteTrouble notes a failed call as an outage of the store unless peers follow it.
func (d *Controller) noteTrouble() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.confirmedAt) > outageAge {
		d.troubleAt = time.Now()
	}
}

// replace takes a whole list of the store: keys that are not in it have been deleted.
func (d *Controller) replace(items []store.Item, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return // A peer has told of newer changes meanwhile.
	}
	d.setRevision(revision)
	d.takeAll(items)
	d.setConfirmed(time.Now())
}

// takeAll needs the lock.
func (d *Controller) takeAll(items []store.Item) {
	listed := make(map[string]bool, len(items))
	changed := false
	for _, i := range items {
		listed[i.Key] = true
		changed = d.take(i) || changed
	}
	for key := range d.known.items {
		if !listed[key] {
			changed = d.take(store.Item{Key: key, Revision: d.revision, Deleted: true}) || changed
		}
	}
	if changed {
		d.publish()
	}
}

// apply takes changes in their order, unless a peer has told of newer ones meanwhile.
func (d *Controller) apply(items []store.Item, after, next int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision != after {
		return
	}
	d.setRevision(next)
	d.takeChanges(items)
	d.setConfirmed(time.Now())
}

// takeChanges needs the lock.
func (d *Controller) takeChanges(items []store.Item) {
	changed := false
	for _, i := range items {
		changed = d.take(i) || changed
	}
	if changed {
		d.publish()
	}
}

// take files one item and reports whether the board must change.
func (d *Controller) take(i store.Item) bool {
	if i.Revision < d.known.revision(i.Key) {
		return false
	}
	switch {
	case i.Key == d.translator.ConfigKey():
		return !i.Deleted && d.takeConfig(i)
	case strings.HasPrefix(i.Key, d.translator.TargetsPrefix()):
		return d.takeTarget(i)
	case strings.HasPrefix(i.Key, d.translator.RolloutsPrefix()):
		return d.takeOrder(i)
	case strings.HasPrefix(i.Key, RolloutsPrefix):
		return d.takeRecord(i)
	}
	return false
}

// takeConfig puts a configuration in force if it is newer and valid as a whole.
func (d *Controller) takeConfig(i store.Item) bool {
	if !d.known.put(i) {
		return false
	}
	revision, objects, err := d.translator.Config(i.Data)
	var snapshot *object.Snapshot
	if err == nil {
		snapshot, err = object.Compile(revision, "", objects)
	}
	if err != nil {
		d.common.Metrics.Counter("config_refused").Inc(1)
		d.log.WithError(err).WithField("revision", revision).Error("Configuration refused, the old one stays.")
		return false
	}
	if d.base != nil && d.base.Revision >= revision {
		d.log.WithFields(logrus.Fields{"revision": revision, "in-force": d.base.Revision}).Warn("Older configuration ignored.")
		return false
	}
	d.base = snapshot
	d.common.Metrics.Gauge("config_revision").Update(float64(revision))
	d.log.WithFields(logrus.Fields{"revision": revision, "store-revision": i.Revision}).Info("Configuration in force.")
	return true
}

// publish puts the configuration with the current targets on the board.
func (d *Controller) publish() {
	if d.base == nil || d.confirmedAt.IsZero() {
		return
	}
	d.targetRevision++
	targets := make([]*object.Target, 0, len(d.targets))
	for _, t := range d.targets {
		targets = append(targets, t)
	}
	d.board.SetConfig(d.base.WithTargets(d.targetRevision, targets).WithRollouts(d.rollouts.current(d.targets)))
}
