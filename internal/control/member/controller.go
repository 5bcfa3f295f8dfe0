package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// Transport sends a heartbeat to a peer and returns its answer.
type Transport interface {
	Send(ctx context.Context, peerURL string, h Heartbeat) (Heartbeat, error)
}

// Lister returns the platform's list of hosts. It may return hosts.ErrUnchanged if the list has not
// changed since the last call.
type Lister interface {
	List(ctx context.Context) ([]hosts.Group, error)
}

// PeerStateHandler is notified of the revisions that a peer has.
type PeerStateHandler interface {
	HandlePeerState(state PeerState, peerURL string)
}

// PeerState contains the revisions that a host has of replicated state.
type PeerState struct {
	// ConfigRevision is the revision of the active configuration.
	ConfigRevision object.Revision
	// StorePosition is the position in the platform's store that the host has read, 0 if it does
	// not read the store.
	StorePosition store.Position
	// StoreAge is the time since StorePosition was last confirmed to be the latest.
	StoreAge time.Duration
	// Joined is set if the host knows the other hosts.
	Joined bool
}

// Controller runs the membership of this process.
type Controller struct {
	common           *common.Common
	log              *logrus.Entry
	board            *board.Board
	transport        Transport
	lister           Lister
	peerStateHandler PeerStateHandler

	mu    sync.Mutex
	table *Table
	sync  syncer
	// listed is the platform's list of hosts from the last successful read.
	listed []hosts.Group
	// publishedVersion is the version of the table that was last written to the board.
	publishedVersion uint64

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewController creates a controller and starts it.
func NewController(c *common.Common, b *board.Board, transport Transport, lister Lister, peerStateHandler PeerStateHandler) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	m := &Controller{
		common:           c,
		log:              c.Log("members"),
		board:            b,
		transport:        transport,
		lister:           lister,
		peerStateHandler: peerStateHandler,
		table:            NewTable(b.Members().Self, uint64(time.Now().UnixMilli())),
		stop:             stop,
	}
	m.done.Go(func() { m.runHeartbeats(ctx) })
	m.done.Go(func() { m.readList(ctx) })
	m.done.Go(func() { m.detectSlowness(ctx) })
	m.done.Go(func() { m.joinThroughPeers(ctx) })
	return m
}

// Close stops the controller and waits for its goroutines.
func (m *Controller) Close() error {
	m.stop()
	m.done.Wait()
	return nil
}

// maxLeaveProbes bounds the number of peers to which this host announces its stop directly.
const maxLeaveProbes = 16

// Leave announces to some live peers that this host is about to stop. They spread the update.
func (m *Controller) Leave(ctx context.Context) {
	m.mu.Lock()
	m.table.Leave()
	m.mu.Unlock()
	m.publish()
	var sends sync.WaitGroup
	live := m.board.Members().Live
	probesLeft := maxLeaveProbes
	for _, i := range rand.Perm(len(live)) {
		peer := live[i]
		if probesLeft == 0 {
			break
		}
		if peer.Name == m.board.Members().Self.Name {
			continue
		}
		probesLeft--
		sends.Go(func() { m.probe(ctx, peer) })
	}
	sends.Wait()
}

// secondRoundDelay is the time after a change at which it is announced to further neighbours. The first round does
// not reach every host, and the last ones would wait for the next interval.
const secondRoundDelay = 100 * time.Millisecond

// runHeartbeats probes some neighbours in each interval, and twice when this host has a new revision of the
// configuration or of the platform's store: immediately, and when no other change has followed for secondRoundDelay.
func (m *Controller) runHeartbeats(ctx context.Context) {
	interval := m.common.Settings.Peers.HeartbeatInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	announced := m.stateRevisions()
	secondRound := time.NewTimer(secondRoundDelay)
	defer secondRound.Stop()
	for {
		changed := m.board.Changed()
		if current := m.stateRevisions(); current != announced {
			announced = current
			m.probeRound(ctx)
			secondRound.Reset(secondRoundDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-secondRound.C:
			m.probeRound(ctx)
		case <-ticker.C:
			m.probeRound(ctx)
			m.expire(interval)
		}
	}
}

func (m *Controller) probeRound(ctx context.Context) {
	m.mu.Lock()
	peers := m.table.ProbePeers()
	m.mu.Unlock()
	var sends sync.WaitGroup
	for _, peer := range peers {
		sends.Go(func() { m.probe(ctx, peer) })
	}
	sends.Wait()
}

// probe exchanges heartbeats with a member. It retries once immediately, so that one lost message
// does not make the member suspect.
func (m *Controller) probe(ctx context.Context, peer board.Member) {
	ctx, cancel := context.WithTimeout(ctx, m.common.Settings.Peers.HeartbeatInterval)
	defer cancel()
	got, err := m.exchange(ctx, peer, false)
	if err != nil && ctx.Err() == nil {
		got, err = m.exchange(ctx, peer, false)
	}
	if err == nil && got.mustSync {
		_, err = m.exchange(ctx, peer, true)
	}
	if err != nil {
		m.mu.Lock()
		m.table.MarkSuspect(time.Now(), peer.Name)
		m.mu.Unlock()
	}
	m.publish()
}

// exchanged is what the answer to a heartbeat tells.
type exchanged struct {
	// mustSync is set if an anti-entropy sync should follow. joined is set if the peer has joined the other hosts.
	mustSync, joined bool
}

// exchange sends a heartbeat to a member and processes the answer. With wantAll it requests all
// live members for an anti-entropy sync.
func (m *Controller) exchange(ctx context.Context, peer board.Member, wantAll bool) (exchanged, error) {
	ctx, cancel := context.WithTimeout(ctx, m.common.Settings.Peers.HeartbeatInterval/2)
	defer cancel()
	m.mu.Lock()
	h := m.table.Compose(peer.Name, m.table.AckedIncarnation(peer.Name), m.localState())
	m.mu.Unlock()
	h.WantAll = wantAll
	answer, err := m.transport.Send(ctx, peer.PeerURL, h)
	if err != nil {
		return exchanged{}, err
	}
	got := exchanged{joined: answer.Joined}
	m.mu.Lock()
	m.table.Receive(time.Now(), answer)
	if !wantAll && answer.Digest != 0 {
		sameZone := m.table.zoneDistance(peer) == 0
		got.mustSync = m.sync.due(time.Now(), answer.Digest == m.table.Digest(), sameZone)
	}
	m.mu.Unlock()
	m.peerStateHandler.HandlePeerState(answer.peerState(), peer.PeerURL)
	return got, nil
}

// Answer processes the heartbeat of a peer and returns this host's answer.
func (m *Controller) Answer(h Heartbeat) Heartbeat {
	m.mu.Lock()
	m.table.Receive(time.Now(), h)
	answer := m.table.Compose(h.From, h.AckedIncarnation, m.localState())
	if h.WantAll {
		answer.All = m.table.All()
	}
	peerURL := m.table.PeerURL(h.From)
	m.mu.Unlock()
	if peerURL != "" {
		m.peerStateHandler.HandlePeerState(h.peerState(), peerURL)
	}
	m.publish()
	return answer
}

func (m *Controller) expire(interval time.Duration) {
	m.mu.Lock()
	m.table.Expire(time.Now(), interval, m.isConnected())
	m.mu.Unlock()
	m.publish()
}

// maxStoreAge is the maximum age of the last confirmation by the platform's store for which this
// host counts as connected.
const maxStoreAge = 4 * time.Second

// isConnected reports whether this host receives the current state of the platform's store,
// directly or through peers. A host that does not read the store always counts as connected.
func (m *Controller) isConnected() bool {
	state := m.board.Store()
	return state.ConfirmedAt.IsZero() || time.Since(state.ConfirmedAt) < maxStoreAge
}

// publish writes the view and the leaving targets to the board if they have changed.
func (m *Controller) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishView()
	leaving := m.table.LeavingTargets()
	if !sameTargets(m.board.Hosts().LeavingTargets, leaving) {
		m.log.WithField("leaving", leaving).Info("Leaving targets changed.")
		m.board.SetHosts(newHosts(leaving))
	}
}

// publishView writes the view to the board if it has changed. The caller holds m.mu.
func (m *Controller) publishView() {
	if m.publishedVersion == m.table.Version() {
		return
	}
	m.publishedVersion = m.table.Version()
	view := m.table.View()
	if previous := m.board.Members(); previous.Registered != view.Registered || !slices.Equal(previous.Live, view.Live) {
		m.log.WithFields(logrus.Fields{"live": len(view.Live), "registered": view.Registered}).Info("Members changed.")
		m.board.SetMembers(view)
	}
}

func newHosts(leaving []object.TargetName) *board.Hosts {
	set := make(map[object.TargetName]bool, len(leaving))
	for _, name := range leaving {
		set[name] = true
	}
	return &board.Hosts{LeavingTargets: set}
}

func sameTargets(set map[object.TargetName]bool, list []object.TargetName) bool {
	if len(set) != len(list) {
		return false
	}
	for _, name := range list {
		if !set[name] {
			return false
		}
	}
	return true
}

// stateRevisions are the revisions that a host announces to peers immediately when they change.
type stateRevisions struct {
	config object.Revision
	store  store.Position
}

func (m *Controller) stateRevisions() stateRevisions {
	return stateRevisions{m.configRevision(), m.board.Store().Position}
}

func (m *Controller) localState() PeerState {
	state := m.board.Store()
	return PeerState{ConfigRevision: m.configRevision(), StorePosition: state.Position, StoreAge: time.Since(state.ConfirmedAt), Joined: m.board.HasJoined()}
}

func (m *Controller) configRevision() object.Revision {
	if config := m.board.Config(); config != nil {
		return config.Revision
	}
	return 0
}

// applyList updates the table from the platform's list of hosts.
func (m *Controller) applyList(groups []hosts.Group) {
	var entries []board.Member
	leaving := []object.TargetName{}
	for _, group := range groups {
		name := group.Labels[hosts.LabelName]
		isLeaving := group.Labels[hosts.LabelState] == hosts.StateLeaving
		switch group.Labels[hosts.LabelRole] {
		case hosts.RoleEntry:
			entries = append(entries, board.Member{
				Name:      name,
				Zone:      object.Zone(group.Labels[hosts.LabelZone]),
				PeerURL:   group.Labels[hosts.LabelPeerURL],
				CallerURL: group.Labels[hosts.LabelCallerURL],
				Leaving:   isLeaving,
			})
		case hosts.RoleTarget:
			if isLeaving {
				leaving = append(leaving, object.TargetName(name))
			}
		}
	}
	now := time.Now()
	m.mu.Lock()
	m.table.AddListed(now, entries)
	m.table.SetLeaving(now, leaving)
	m.mu.Unlock()
	m.publish()
}
