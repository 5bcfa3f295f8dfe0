package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

const (
	// watchRetryDelay is the minimum delay before a watch that has ended is opened again.
	watchRetryDelay = time.Second
	// maxStateBytes bounds the size of a configuration from a peer.
	maxStateBytes = 64 << 20
	// peerTimeout bounds the time until a peer answers, and any silence in its answer.
	peerTimeout = 2 * time.Second
	// watchers is the number of hosts that watch the head in the store. The others are notified
	// of a change by heartbeats.
	watchers = 3
)

// Follower keeps the active configuration of this process up to date.
type Follower struct {
	catalog *Catalog
	common  *common.Common
	log     *logrus.Entry
	board   *board.Board
	http    *http.Client
	state   atomic.Pointer[State]
	wake    chan struct{}
	// newerPeerURL is the URL of the last peer that reported a newer configuration.
	newerPeerURL atomic.Pointer[string]

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
		http:    &http.Client{Transport: http1.NewTransport(&http.Transport{})},
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

// State returns the active configuration, or nil if there is none.
func (f *Follower) State() *State { return f.state.Load() }

// HandlePeerState implements member.PeerStateHandler. It requests a refresh if a peer has a newer
// configuration.
func (f *Follower) HandlePeerState(reported member.PeerState, peerURL string) {
	if current := f.board.Config(); current != nil && current.Revision >= reported.ConfigRevision {
		return
	}
	f.newerPeerURL.Store(&peerURL)
	f.requestRefresh()
}

// requestRefresh wakes the loop in run without blocking.
func (f *Follower) requestRefresh() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Adopt makes a state the active configuration if it is valid and newer than the current one.
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

// run refreshes the configuration when woken and at intervals. The intervals are randomized so
// that the hosts do not read the store simultaneously.
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

// refresh reads the configuration from the store. If that fails, it reads from the last peer
// that reported a newer one.
func (f *Follower) refresh(ctx context.Context) {
	state, err := f.catalog.Read(ctx, f.state.Load())
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		f.common.CountRetry("store-read")
		f.log.WithError(err).Warn("Configuration not read from the store.")
		state, err = f.readPeer(ctx)
		if err != nil || state == nil {
			return
		}
	}
	if err := f.Adopt(state); err != nil {
		f.common.Metrics.Counter("config_refused").Inc(1)
		f.log.WithError(err).Error("Configuration rejected; the previous one stays active.")
	}
}

// readPeer returns the configuration of the last peer that reported a newer one, or nil if there
// was none.
func (f *Follower) readPeer(ctx context.Context) (*State, error) {
	peerURL := f.newerPeerURL.Load()
	if peerURL == nil {
		return nil, nil
	}
	ctx, transfer := body.NewTransfer(ctx, peerTimeout, peerTimeout)
	defer transfer.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, *peerURL+wire.ConfigPath, nil)
	if err != nil {
		return nil, fmt.Errorf("read configuration from peer: %w", err)
	}
	request.Header.Set(wire.KeyHeader, f.common.Settings.Peers.Key)
	response, err := f.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read configuration from peer: %w", transfer.Err(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read configuration from peer: status %d", response.StatusCode)
	}
	var state State
	if err := json.NewDecoder(transfer.Reader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, fmt.Errorf("decode configuration of peer: %w", err)
	}
	if len(state.Names) != chunkCount || indexName(state.Names) != state.Head.Index {
		return nil, errors.New("the configuration of the peer does not match its index")
	}
	return &state, nil
}

// watch requests a refresh when the head changes, if this host is one of the few watchers.
func (f *Follower) watch(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		if f.isWatcher() {
			err := f.catalog.kv.Watch(ctx, f.catalog.headKey(), f.requestRefresh)
			f.log.WithError(err).Debug("Watch ended.")
			f.requestRefresh()
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay + rand.N(watchRetryDelay)):
		}
	}
}

func (f *Follower) isWatcher() bool {
	return f.board.Members().IsSelected("config-watch", watchers)
}
