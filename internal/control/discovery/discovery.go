// Package discovery reads the operator's configuration, registered targets and rollouts from
// the platform's store and publishes them on the board. It also maintains the list of entry
// hosts in the store, by which starting hosts find the others.
package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const (
	// watchTimeout is how long one watch call waits for changes.
	watchTimeout = 2 * time.Second
	// confirmTimeout is how long a watch call waits for changes while the initial list, which
	// may be stale, is unconfirmed.
	confirmTimeout = time.Millisecond
	// startupPeerWait is how long a starting host waits for a peer to confirm its initial list
	// before it calls the store again.
	startupPeerWait = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed store calls.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// batchDelay is the pause after a call that returned changes, so that the next call returns
	// several changes together.
	batchDelay = 50 * time.Millisecond
	// expiryGrace is how long a target is kept after its entry was deleted around a store
	// outage: its owner rewrites the entry soon after the store recovers. It is shorter than two
	// seconds because a target that has left must not be used two seconds later.
	expiryGrace = 1700 * time.Millisecond
	// outageThreshold is the age of the last confirmation above which a failed call counts as a
	// store outage. With a more recent confirmation, the store still serves peers and only the
	// calls of this host fail.
	outageThreshold = watchTimeout + 500*time.Millisecond
)

// Translator converts between the platform's entries in the store and typed objects.
type Translator interface {
	// ConfigKey returns the key of the whole configuration.
	ConfigKey() string
	// TargetsPrefix returns the key prefix under which targets register themselves.
	TargetsPrefix() string
	// Config decodes a configuration and its revision.
	Config(data []byte) (object.Revision, []object.Object, error)
	// Target decodes the entry of a target.
	Target(key string, data []byte) (*object.Target, error)
	// RolloutsPrefix returns the key prefix under which the operator writes rollout orders.
	RolloutsPrefix() string
	// Rollout decodes an order: its pool, version and duration.
	Rollout(data []byte) (*object.Rollout, error)
	// RolloutStatus returns the put that reports the state of a rollout to the operator.
	RolloutStatus(r *object.Rollout) (store.Put, error)
}

// Controller keeps the board up to date with the store.
type Controller struct {
	common     *common.Common
	log        *logrus.Entry
	board      *board.Board
	tree       store.Tree
	translator Translator

	peers *http2.Client
	// newerPeers receives a peer that has a newer store revision.
	newerPeers chan newerPeer
	// values holds large values for peers.
	values *valueCache
	// transfers is the number of large values that are being sent.
	transfers atomic.Int64
	// fetchesChanged wakes the fetching of large values after a change of fetches.
	fetchesChanged chan struct{}

	mu sync.Mutex
	// position is the position in the store up to which changes were applied, whether they came from
	// the store or from a peer. It is 0 until the store has been listed.
	position store.Position
	// confirmedAt is when the store last confirmed, directly or through a peer, that position
	// is the newest. Nothing is published before the first confirmation, because the initial
	// list may be older than the state that other hosts have already used.
	confirmedAt time.Time
	startedAt   time.Time
	cache       *itemCache
	// fetches plans the reads of large values that this host lacks, though it has applied their positions.
	fetches *fetchPlan
	// published is set when the board has got the first configuration.
	published bool
	base      *object.Snapshot // Without discovered targets.
	targets   map[string]*object.Target
	rollouts  rollouts
	// removeAt holds, by key, when targets whose entries were deleted around an outage are
	// removed.
	removeAt map[string]time.Time
	// targetVanished wakes the expiry loop after an addition to removeAt.
	targetVanished chan struct{}
	targetRevision object.Revision
	// refused is the latest configuration that is invalid as a whole.
	refused object.Revision
	restore restoreState
	// listRequired is set when the history after position was compacted, or is that of another era.
	listRequired bool
	// lastOutageAt is when a store call last failed, here or at a peer, without a recent
	// confirmation through peers.
	lastOutageAt time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a controller and starts it.
func New(c *common.Common, b *board.Board, tree store.Tree, translator Translator, peers *http2.Client) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	values := newValueCache()
	d := &Controller{
		common:         c,
		log:            c.Log("discovery"),
		board:          b,
		tree:           tree,
		translator:     translator,
		peers:          peers,
		newerPeers:     make(chan newerPeer, 1),
		values:         values,
		fetchesChanged: make(chan struct{}, 1),
		cache:          newItemCache(values),
		fetches:        newFetchPlan(),
		targets:        map[string]*object.Target{},
		rollouts:       newRollouts(),
		removeAt:       map[string]time.Time{},
		restore:        restoreState{heldBack: map[string]store.Position{}},
		targetVanished: make(chan struct{}, 1),
		startedAt:      time.Now(),
		stop:           stop,
	}
	d.done.Go(func() { d.run(ctx) })
	d.done.Go(func() { d.runExpiry(ctx) })
	d.done.Go(func() { d.readPeers(ctx) })
	d.done.Go(func() { d.fetchValues(ctx) })
	return d
}

// Close stops the controller and waits for it.
func (d *Controller) Close() error {
	d.stop()
	d.done.Wait()
	return d.peers.Close()
}

// run lists the store and applies its changes until ctx is canceled.
func (d *Controller) run(ctx context.Context) {
	retry := minRetryDelay
	available := true
	for ctx.Err() == nil {
		if available {
			d.waitUntilReadDue(ctx)
		}
		err := d.readStore(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if !available {
				d.log.WithField("store-position", d.currentPosition().String()).Info("Store available again.")
			}
			available = true
			retry = minRetryDelay
			continue
		}
		if message := listReason(err); message != "" {
			d.log.WithField("store-position", d.currentPosition().String()).Warn(message)
			d.requireList()
			sleep(ctx, minRetryDelay)
			continue
		}
		if available {
			d.log.WithError(err).Warn("Store unavailable.")
		}
		available = false
		d.recordOutage()
		d.common.CountRetry("store-read")
		sleep(ctx, retry)
		retry = min(2*retry, maxRetryDelay)
	}
}

// listReason returns the log message for an error after which the store must be listed, empty for any other.
func listReason(err error) string {
	switch {
	case errors.Is(err, store.ErrCompacted):
		return "Store history was compacted; the store is listed again."
	case errors.Is(err, store.ErrRestored):
		return "Store is in another era; the store is listed again."
	}
	return ""
}

// readStore makes one call to the store and applies the result.
func (d *Controller) readStore(ctx context.Context) error {
	position := d.currentPosition()
	if position == 0 {
		return d.readInitialList(ctx)
	}
	if d.consumeListRequired(time.Now()) {
		items, listed, err := d.tree.List(ctx, "")
		if err != nil {
			return err
		}
		d.replaceAll(items, listed)
		return nil
	}
	items, next, err := d.tree.WatchChanges(ctx, "", position, d.watchWait(time.Now()))
	if err != nil {
		return err
	}
	d.applyChangesAfter(items, position, next)
	if len(items) > 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// readInitialList makes a stale read, which costs the store little. The list may be some seconds
// old; nothing is published until a peer or the store has brought it up to date.
func (d *Controller) readInitialList(ctx context.Context) error {
	items, listed, err := d.tree.ListStale(ctx, "")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.position >= listed {
		return nil // A peer has sent newer changes in the meantime.
	}
	d.setPosition(listed)
	d.applyList(items, nil)
	return nil
}

// watchWait returns how long a watch call waits for changes.
func (d *Controller) watchWait(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.confirmedAt.IsZero() {
		return confirmTimeout
	}
	return max(min(watchTimeout, d.restore.timeUntilList(now)), confirmTimeout)
}

// currentPosition returns the applied position in the store, or 0 if the store has not been listed.
func (d *Controller) currentPosition() store.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// setPosition stores the applied position. The caller must hold d.mu.
func (d *Controller) setPosition(position store.Position) {
	// Positions of peers with an earlier build are in era 0, whatever the era of the store is.
	if d.position.Era() != 0 && d.position.Era() != position.Era() {
		d.recordRestore(time.Now(), position)
	}
	d.position = position
	d.publishStoreState()
}

// setConfirmed records that the current position was the newest at the given time. The caller
// must hold d.mu and must have applied all changes up to that position.
func (d *Controller) setConfirmed(at time.Time) {
	isFirst := d.confirmedAt.IsZero()
	d.confirmedAt = at
	d.publishStoreState()
	if isFirst {
		d.publish()
	}
}

// publishStoreState puts the applied position on the board unless no position has been confirmed
// yet. The caller must hold d.mu.
func (d *Controller) publishStoreState() {
	if !d.confirmedAt.IsZero() {
		d.board.SetStoreState(board.StoreState{Position: d.position, ConfirmedAt: d.confirmedAt})
	}
}

// consumeListRequired reports whether the store must be listed now, and resets that.
func (d *Controller) consumeListRequired(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	required := d.listRequired || d.restore.consumeListDue(now)
	d.listRequired = false
	return required
}

// requireList makes the next call to the store list all items again.
func (d *Controller) requireList() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listRequired = true
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// recordOutage records a failed call as a store outage unless the last confirmation is recent.
func (d *Controller) recordOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.confirmedAt) > outageThreshold {
		d.lastOutageAt = time.Now()
	}
}
