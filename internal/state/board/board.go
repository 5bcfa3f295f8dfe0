// Package board is the blackboard of a process: controllers write to it what they
// learn, and the path of a request reads it without locks.
package board

import (
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// Member is one entry host as other hosts know it.
type Member struct {
	Name string      `json:"name"`
	Zone object.Zone `json:"zone"`
	// Run identifies the current run of the process; empty if not yet known.
	Run wire.HostID `json:"run,omitempty"`
	// PeerURL and CallerURL are the base URLs of its listeners.
	PeerURL   string `json:"peer-url"`
	CallerURL string `json:"caller-url"`
	// Capacity is the processor share of the host in cores, 0 if not known.
	Capacity float64 `json:"capacity,omitempty"`
	// Leaving members finish their work and take no new one.
	Leaving bool `json:"leaving,omitempty"`
}

// Members is a view of the live entry hosts, this one included, sorted by name.
type Members struct {
	Self Member
	Live []Member
	// Registered counts the hosts that may be running, this one included: the live ones and
	// those whose registration has not ended yet.
	Registered int
}

// Hosts is the platform's list of hosts.
type Hosts struct {
	// LeavingTargets are the targets that the platform is about to stop.
	LeavingTargets map[object.TargetName]bool
}

// Board holds the current state of the process. Values are immutable; writers replace
// them whole.
type Board struct {
	config   atomic.Pointer[object.Snapshot]
	members  atomic.Pointer[Members]
	hosts    atomic.Pointer[Hosts]
	stopping atomic.Bool
	store    atomic.Pointer[StoreState]

	// joined is closed when the other hosts have been asked for the first time.
	joined     chan struct{}
	joinedOnce sync.Once

	mu      sync.Mutex
	changed chan struct{}
}

// New creates a board for a process that knows only itself.
func New(self Member) *Board {
	b := &Board{changed: make(chan struct{}), joined: make(chan struct{})}
	b.members.Store(&Members{Self: self, Live: []Member{self}, Registered: 1})
	b.hosts.Store(&Hosts{})
	b.store.Store(&StoreState{})
	return b
}

// Config returns the configuration in force, or nil if there is none yet.
func (b *Board) Config() *object.Snapshot { return b.config.Load() }

// Members returns the current view of entry hosts.
func (b *Board) Members() *Members { return b.members.Load() }

// Hosts returns the latest list of hosts.
func (b *Board) Hosts() *Hosts { return b.hosts.Load() }

// StoreState says how far this host has followed the platform's store, itself or through
// peers, and when that was last confirmed to be the newest.
type StoreState struct {
	Revision    int64
	ConfirmedAt time.Time
}

// Store returns how far this host has followed the platform's store.
func (b *Board) Store() StoreState { return *b.store.Load() }

// SetStoreState notes how far this host has followed the platform's store.
func (b *Board) SetStoreState(s StoreState) {
	before := b.store.Swap(&s)
	if before.Revision != s.Revision {
		b.notify()
	}
}

// Stopping reports whether a planned stop has begun.
func (b *Board) Stopping() bool { return b.stopping.Load() }

// SetConfig puts a configuration in force unless a newer one is. It reports whether
// the configuration was replaced.
func (b *Board) SetConfig(next *object.Snapshot) bool {
	for {
		current := b.config.Load()
		if !next.Newer(current) {
			return false
		}
		if b.config.CompareAndSwap(current, next) {
			b.notify()
			return true
		}
	}
}

// SetMembers replaces the view of entry hosts.
func (b *Board) SetMembers(m *Members) {
	b.members.Store(m)
	b.notify()
}

// SetHosts replaces the list of hosts.
func (b *Board) SetHosts(h *Hosts) {
	b.hosts.Store(h)
	b.notify()
}

// Joined is closed when the other hosts have been asked for the first time. Before, this
// host may believe that it is alone.
func (b *Board) Joined() <-chan struct{} { return b.joined }

// HasJoined reports whether Joined is closed.
func (b *Board) HasJoined() bool {
	select {
	case <-b.joined:
		return true
	default:
		return false
	}
}

// SetJoined marks that the other hosts have been asked.
func (b *Board) SetJoined() {
	b.joinedOnce.Do(func() {
		close(b.joined)
		b.notify()
	})
}

// SetStopping marks the beginning of a planned stop.
func (b *Board) SetStopping() {
	b.stopping.Store(true)
	b.notify()
}

// Changed returns a channel that is closed at the next change. A reader takes the
// channel before it reads the board, so that no change is missed.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Board) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// Owner returns the member that arbitrates a pool: the one with the highest rendezvous
// hash among those accepted by usable. Members in the zones of the pool go before all
// others, so that a pool is arbitrated near its targets, also while regions are cut off
// from each other, and strong hosts before weak ones. If no member qualifies, it is this host.
func (m *Members) Owner(pool object.PoolName, zones map[object.Zone]bool, usable func(Member) bool) Member {
	best := m.Self
	var bestScore uint64
	bestNear, found := false, false
	enough := m.strongest() * strongShare
	for _, member := range m.Live {
		near := zones[member.Zone]
		if member.Leaving || (bestNear && !near) || member.Capacity < enough || !usable(member) {
			continue
		}
		score := rendezvous(string(pool), member.Name)
		if !found || (near && !bestNear) || score > bestScore {
			best, bestScore, bestNear, found = member, score, near, true
		}
	}
	return best
}

// SharedDuty stands for all pools whose targets are discovered. They have one arbiter,
// because quotas hold for all pools together.
const SharedDuty object.PoolName = "discovered-pools"

// strongShare is the part of the capacity of the strongest host that makes a host strong.
const strongShare = 0.7

// strongest returns the highest capacity of a live host.
func (m *Members) strongest() float64 {
	highest := 0.0
	for _, member := range m.Live {
		highest = max(highest, member.Capacity)
	}
	return highest
}

// Ranks reports whether this host is among the first n members for a duty. All hosts
// with the same view agree on who they are.
func (m *Members) Ranks(duty string, n int) bool {
	own := rendezvous(duty, m.Self.Name)
	higher := 0
	for _, member := range m.Live {
		if !member.Leaving && rendezvous(duty, member.Name) > own {
			higher++
		}
	}
	return higher < n
}

func rendezvous(duty, host string) uint64 { return digest.Of(host, duty) }
