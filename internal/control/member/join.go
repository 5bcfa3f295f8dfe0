package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/platform/hosts"
)

// joinInterval is the time between two reads of the list by a host that has not joined yet or
// has no live peers.
const joinInterval = 200 * time.Millisecond

// readList reads the platform's list of hosts periodically. Only a few hosts do this for the whole
// fleet, and each host until it has joined. A heartbeat from one peer does not count as joining,
// because it contains only a few of the other members.
func (m *Controller) readList(ctx context.Context) {
	for ctx.Err() == nil {
		members := m.board.Members()
		mustJoin := len(members.Live) == 1 || !m.board.HasJoined()
		if mustJoin || members.IsSelected("host-list", m.common.Settings.Hosts.Readers) {
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
		// m.listed is still current. join probes its hosts that have not answered so far.
	case err == nil:
		m.listed = groups
	case ctx.Err() != nil:
		return
	default:
		m.common.CountRetry("host-list")
		m.log.WithError(err).Warn("Failed to read the list of hosts.")
		return
	}
	m.applyList(m.listed)
	m.join(ctx, len(m.listed) > 0)
}

// joinProbes is the number of listed hosts from which a new host requests all members in parallel.
const joinProbes = 4

// join requests all members from listed hosts that no host has confirmed, so that a new host has
// the full view before it accepts requests. hasListed reports whether the list contains any host.
func (m *Controller) join(ctx context.Context, hasListed bool) {
	m.mu.Lock()
	unconfirmed := m.table.UnconfirmedMembers(joinProbes)
	m.mu.Unlock()
	var probes sync.WaitGroup
	for _, member := range unconfirmed {
		probes.Go(func() {
			if _, err := m.exchange(ctx, member, true); err != nil && ctx.Err() == nil {
				m.log.WithError(err).WithField("peer", member.Name).Info("Listed host not reached.")
			}
		})
	}
	probes.Wait()
	m.publish()
	if hasListed {
		m.board.SetJoined()
	}
}

// joinThroughPeers lets a host join that the platform's store turns away, once it is in contact with a host that has
// joined: that host knows all others. Usually the list is read before the first attempt.
func (m *Controller) joinThroughPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.board.Joined():
			return
		case <-time.After(joinInterval):
		}
		if m.syncWithPeers(ctx) {
			m.board.SetJoined()
			m.log.WithField("live", len(m.board.Members().Live)).Info("Joined through other hosts, without the list of hosts.")
			return
		}
	}
}

// syncWithPeers requests all members from some live peers in parallel and reports whether one of them has joined.
func (m *Controller) syncWithPeers(ctx context.Context) bool {
	members := m.board.Members()
	var syncs sync.WaitGroup
	var hasJoined atomic.Bool
	probesLeft := joinProbes
	for _, i := range rand.Perm(len(members.Live)) {
		peer := members.Live[i]
		if peer.Name == members.Self.Name || probesLeft == 0 {
			continue
		}
		probesLeft--
		syncs.Go(func() {
			if got, err := m.exchange(ctx, peer, true); err == nil && got.joined {
				hasJoined.Store(true)
			}
		})
	}
	syncs.Wait()
	m.publish()
	return hasJoined.Load()
}
