package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

const (
	// watchRetry is the pause before a failed watch is opened again.
	watchRetry = time.Second
	// maxStateBytes bounds a configuration received from another process.
	maxStateBytes = 64 << 20
	peerTimeout   = 2 * time.Second
	// watchers is the number of hosts that keep a watch at the store; the others learn
	// of a change from heartbeats.
	watchers = 3
)

// Follower keeps the configuration of this process up to date.
type Follower struct {
	catalog *Catalog
	common  *common.Common
	log     *logrus.Entry
	board   *board.Board
	http    *http.Client
	state   atomic.Pointer[State]
	wake    chan struct{}
	// hint is the URL of a peer that has a newer configuration.
	hint atomic.Pointer[string]

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewFollower creates a follower and starts it.
func NewFollower(c *common.Common, b *board.Board, catalog *Catalog) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	f := &Follower{
		catalog: catalog,
		common:  c,
		log:     c.Log("config"),
		board:   b,
		http:    &http.Client{Timeout: peerTimeout},
		wake:    make(chan struct{}, 1),
		stop:    stop,
	}
	f.done.Add(2)
	go f.run(ctx)
	go f.watch(ctx)
	return f
}

// Close stops the follower and waits for it.
func (f *Follower) Close() error {
	f.stop()
	f.done.Wait()
	f.http.CloseIdleConnections()
	return nil
}

// State returns the state in force, or nil.
func (f *Follower) State() *State { return f.state.Load() }

// Nudge tells the follower which configuration a peer has.
func (f *Follower) Nudge(known member.Knowledge, peerURL string) {
	if current := f.board.Config(); current != nil && current.Revision >= known.Config {
		return
	}
	f.hint.Store(&peerURL)
	f.poke()
}

func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Adopt puts a state in force if it is newer than the current one.
func (f *Follower) Adopt(state *State) error {
	current := f.state.Load()
	if current != nil && current.Head.Revision >= state.Head.Revision {
		return nil
	}
	if state.Head.Revision == 0 {
		return nil
	}
	snapshot, err := state.Compile()
	if err != nil {
		return fmt.Errorf("adopt revision %d: %w", state.Head.Revision, err)
	}
	if !f.board.SetConfig(snapshot) {
		return nil
	}
	f.state.Store(state)
	f.common.Metrics.Gauge("config_revision").Update(float64(state.Head.Revision))
	f.log.WithField("revision", state.Head.Revision).Info("Configuration in force.")
	return nil
}

// run reads the head when woken and at intervals, spread so that the hosts do not read
// together.
func (f *Follower) run(ctx context.Context) {
	defer f.done.Done()
	for {
		f.refresh(ctx)
		interval := f.common.Settings.Store.PollInterval
		interval += rand.N(interval/2 + 1)
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-time.After(interval):
		}
	}
}

// refresh reads the configuration from the store, or else from a peer that has a newer one.
func (f *Follower) refresh(ctx context.Context) {
	state, err := f.catalog.Read(ctx, f.state.Load())
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		f.common.CountRetry("store-read")
		f.log.WithError(err).Warn("Store not read.")
		state, err = f.readPeer(ctx)
		if err != nil || state == nil {
			return
		}
	}
	if err := f.Adopt(state); err != nil {
		f.common.Metrics.Counter("config_refused").Inc(1)
		f.log.WithError(err).Error("Configuration refused, the old one stays.")
	}
}

// readPeer returns the configuration of the peer that was last reported as newer.
func (f *Follower) readPeer(ctx context.Context) (*State, error) {
	peerURL := f.hint.Load()
	if peerURL == nil {
		return nil, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, *peerURL+wire.ConfigPath, nil)
	if err != nil {
		return nil, fmt.Errorf("read configuration from peer: %w", err)
	}
	request.Header.Set(wire.KeyHeader, f.common.Settings.Peers.Key)
	response, err := f.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read configuration from peer: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read configuration from peer: status %d", response.StatusCode)
	}
	var state State
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, fmt.Errorf("decode configuration of peer: %w", err)
	}
	if len(state.Names) != chunkCount || indexName(state.Names) != state.Head.Index {
		return nil, errors.New("the configuration of the peer does not match its index")
	}
	return &state, nil
}

// watch wakes the follower when the head changes, on the few hosts that watch.
func (f *Follower) watch(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		if f.watches() {
			err := f.catalog.kv.Watch(ctx, f.catalog.headKey(), f.poke)
			f.log.WithError(err).Debug("Watch ended.")
			f.poke()
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry + rand.N(watchRetry)):
		}
	}
}

func (f *Follower) watches() bool {
	return f.board.Members().Ranks("config-watch", watchers)
}
