package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// Transport sends a heartbeat to a peer and returns its answer.
type Transport interface {
	Send(ctx context.Context, peerURL string, h Heartbeat) (Heartbeat, error)
}

// Lister returns the platform's list of hosts.
type Lister interface {
	List(ctx context.Context) ([]hosts.Group, error)
}

// Nudger is told what a peer knows.
type Nudger interface {
	Nudge(known Knowledge, peerURL string)
}

// Knowledge says how new the knowledge of a host is.
type Knowledge struct {
	// Config is the revision of the configuration in force.
	Config object.Revision
	// Store is the revision up to which the host has followed the platform's store, 0 if it
	// does not follow it.
	Store int64
	// StoreAge is how long ago that was confirmed to be the newest.
	StoreAge time.Duration
}

// Controller runs the membership of this process.
type Controller struct {
	common    *common.Common
	log       *logrus.Entry
	board     *board.Board
	transport Transport
	lister    Lister
	nudger    Nudger

	mu    sync.Mutex
	table *Table
	sync  syncer
	// listed is the platform's list as it was last read.
	listed []hosts.Group
	// published is the version of the table that is on the board.
	published uint64

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewController creates a controller and starts it.
func NewController(c *common.Common, b *board.Board, transport Transport, lister Lister, nudger Nudger) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	m := &Controller{
		common:    c,
		log:       c.Log("members"),
		board:     b,
		transport: transport,
		lister:    lister,
		nudger:    nudger,
		table:     NewTable(b.Members().Self, uint64(time.Now().UnixMilli())),
		stop:      stop,
	}
	m.done.Go(func() { m.heartbeat(ctx) })
	m.done.Go(func() { m.readList(ctx) })
	m.done.Go(func() { m.watchPace(ctx) })
	return m
}

// Close stops the heartbeats and waits for them.
func (m *Controller) Close() error {
	m.stop()
	m.done.Wait()
	return nil
}

// maxLeaveProbes bounds the peers that this host tells itself that it is about to stop.
const maxLeaveProbes = 16

// Leave tells live peers that this host is about to stop; they pass it on.
func (m *Controller) Leave(ctx context.Context) {
	m.mu.Lock()
	m.table.Leave()
	m.mu.Unlock()
	m.publish()
	var sends sync.WaitGroup
	live := m.board.Members().Live
	left := maxLeaveProbes
	for _, i := range rand.Perm(len(live)) {
		peer := live[i]
		if left == 0 {
			break
		}
		if peer.Name == m.board.Members().Self.Name {
			continue
		}
		left--
		sends.Go(func() { m.probe(ctx, peer) })
	}
	sends.Wait()
}

// heartbeat sends to some neighbours in each interval, and at once when there is a new
// configuration or more is known of the store.
func (m *Controller) heartbeat(ctx context.Context) {
	interval := m.common.Settings.Peers.HeartbeatInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	told := m.followed()
	for {
		changed := m.board.Changed()
		if current := m.followed(); current != told {
			told = current
			m.round(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			m.round(ctx)
			m.expire(interval)
		}
	}
}

func (m *Controller) round(ctx context.Context) {
	m.mu.Lock()
	targets := m.table.Targets()
	m.mu.Unlock()
	var sends sync.WaitGroup
	for _, target := range targets {
		sends.Go(func() { m.probe(ctx, target) })
	}
	sends.Wait()
}

// probe exchanges heartbeats with a member. If it does not answer it gets a second
// chance at once, so that one lost message makes nobody suspect.
func (m *Controller) probe(ctx context.Context, target board.Member) {
	ctx, cancel := context.WithTimeout(ctx, m.common.Settings.Peers.HeartbeatInterval)
	defer cancel()
	mustSync, err := m.exchange(ctx, target, false)
	if err != nil && ctx.Err() == nil {
		mustSync, err = m.exchange(ctx, target, false)
	}
	if err == nil && mustSync {
		_, err = m.exchange(ctx, target, true)
	}
	if err != nil {
		m.mu.Lock()
		m.table.Fail(time.Now(), target.Name)
		m.mu.Unlock()
	}
	m.publish()
}

// exchange sends a heartbeat to a member and takes its answer, with all members if wantAll
// is set. It reports whether all members should be exchanged next.
func (m *Controller) exchange(ctx context.Context, target board.Member, wantAll bool) (mustSync bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, m.common.Settings.Peers.HeartbeatInterval/2)
	defer cancel()
	m.mu.Lock()
	h := m.table.Compose(target.Name, m.table.Knows(target.Name), m.knowledge())
	m.mu.Unlock()
	h.WantAll = wantAll
	answer, err := m.transport.Send(ctx, target.PeerURL, h)
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	m.table.Receive(time.Now(), answer)
	if !wantAll && answer.Digest != 0 {
		near := m.table.distance(target) == 0
		mustSync = m.sync.due(time.Now(), answer.Digest == m.table.Digest(), near)
	}
	m.mu.Unlock()
	m.nudger.Nudge(answer.knowledge(), target.PeerURL)
	return mustSync, nil
}

// Answer takes the heartbeat of a peer and returns this host's.
func (m *Controller) Answer(h Heartbeat) Heartbeat {
	m.mu.Lock()
	m.table.Receive(time.Now(), h)
	answer := m.table.Compose(h.From, h.Knows, m.knowledge())
	if h.WantAll {
		answer.All = m.table.All()
	}
	peerURL := m.table.PeerURL(h.From)
	m.mu.Unlock()
	if peerURL != "" {
		m.nudger.Nudge(h.knowledge(), peerURL)
	}
	m.publish()
	return answer
}

func (m *Controller) expire(interval time.Duration) {
	m.mu.Lock()
	m.table.Expire(time.Now(), interval, m.inTouch())
	m.mu.Unlock()
	m.publish()
}

// inTouchFor is the age of the last word from the platform's store up to which this host
// counts as in touch with the others.
const inTouchFor = 4 * time.Second

// inTouch reports whether this host hears of the platform's store, itself or through peers.
// Hosts that do not follow it are always in touch.
func (m *Controller) inTouch() bool {
	state := m.board.Store()
	return state.ConfirmedAt.IsZero() || time.Since(state.ConfirmedAt) < inTouchFor
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

// publishView needs the lock.
func (m *Controller) publishView() {
	if m.published == m.table.Version() {
		return
	}
	m.published = m.table.Version()
	view := m.table.View()
	if known := m.board.Members(); known.Registered != view.Registered || !slices.Equal(known.Live, view.Live) {
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

// followed is what peers are told at once when it changes.
type followed struct {
	config object.Revision
	store  int64
}

func (m *Controller) followed() followed {
	return followed{m.revision(), m.board.Store().Revision}
}

func (m *Controller) knowledge() Knowledge {
	state := m.board.Store()
	return Knowledge{Config: m.revision(), Store: state.Revision, StoreAge: time.Since(state.ConfirmedAt)}
}

func (m *Controller) revision() object.Revision {
	if config := m.board.Config(); config != nil {
		return config.Revision
	}
	return 0
}

// joinInterval is the time between two reads of the list by a host that has not joined the
// others yet, or knows none.
const joinInterval = 200 * time.Millisecond

// readList reads the platform's list of hosts at intervals, on the few hosts that do so
// for all, and on a host that has not asked the others yet. That one of them has asked this
// host does not tell it of the rest.
func (m *Controller) readList(ctx context.Context) {
	for ctx.Err() == nil {
		members := m.board.Members()
		mustJoin := len(members.Live) == 1 || !m.board.HasJoined()
		if mustJoin || members.Ranks("host-list", m.common.Settings.Hosts.Readers) {
			m.readListOnce(ctx)
		}
		wait := m.common.Settings.Hosts.Interval
		if mustJoin {
			wait = min(wait, joinInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (m *Controller) readListOnce(ctx context.Context) {
	groups, err := m.lister.List(ctx)
	switch {
	case errors.Is(err, hosts.ErrUnchanged):
		// Hosts that have not answered yet are asked again.
	case err == nil:
		m.listed = groups
	case ctx.Err() != nil:
		return
	default:
		m.common.CountRetry("host-list")
		m.log.WithError(err).Warn("List of hosts not read.")
		return
	}
	m.takeList(m.listed)
	m.join(ctx, len(m.listed) > 0)
}

// joinProbes is the number of listed hosts that a new host asks for all members at once.
const joinProbes = 4

// join asks listed hosts that nobody has vouched for, so that a new host knows the others
// before it takes requests. listed tells whether the list names any host.
func (m *Controller) join(ctx context.Context, listed bool) {
	m.mu.Lock()
	unproven := m.table.Unproven(joinProbes)
	m.mu.Unlock()
	var probes sync.WaitGroup
	for _, member := range unproven {
		probes.Go(func() {
			if _, err := m.exchange(ctx, member, true); err != nil && ctx.Err() == nil {
				m.log.WithError(err).WithField("peer", member.Name).Info("Listed host not reached.")
			}
		})
	}
	probes.Wait()
	m.publish()
	if listed {
		m.board.SetJoined()
	}
}

func (m *Controller) takeList(groups []hosts.Group) {
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
	m.table.List(now, entries)
	m.table.SetLeaving(now, leaving)
	m.mu.Unlock()
	m.publish()
}
