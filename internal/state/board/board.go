// Package board is the blackboard of a process: the state that its controllers share.
// Controllers write to the board, and request handling reads from it without locks.
package board

import (
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// Member is one entry host, as the other hosts see it.
type Member struct {
	Name string      `json:"name"`
	Zone object.Zone `json:"zone"`
	// Run identifies the current run of the process. It is empty if not known yet.
	Run wire.HostID `json:"run,omitempty"`
	// PeerURL and CallerURL are the base URLs of the listeners for peers and callers.
	PeerURL   string `json:"peer-url"`
	CallerURL string `json:"caller-url"`
	// Capacity is the number of processor cores that the host may use, 0 if not known.
	Capacity float64 `json:"capacity,omitempty"`
	// LinkMbps is the width of the host's link in Mbit/s, 0 if not known.
	LinkMbps float64 `json:"link-mbps,omitempty"`
	// Leaving members finish their requests and accept no new ones.
	Leaving bool `json:"leaving,omitempty"`
}

// Members is a view of the live entry hosts, including this host, sorted by name.
type Members struct {
	Self Member
	Live []Member
	// Registered is the number of hosts that may be running, including this host: the live
	// hosts and those whose registration has not expired yet.
	Registered int
}

// Hosts holds what the platform's list of hosts reports about targets.
type Hosts struct {
	// LeavingTargets are the targets that the platform will stop soon.
	LeavingTargets map[object.TargetName]bool
}

// Board holds the shared state of the process. Its values are immutable: writers replace
// whole values.
type Board struct {
	config   atomic.Pointer[object.Snapshot]
	members  atomic.Pointer[Members]
	hosts    atomic.Pointer[Hosts]
	stopping atomic.Bool
	store    atomic.Pointer[StoreState]
	notices  atomic.Pointer[notice.Book]
	prefixes atomic.Pointer[quarantine.Book]
	// prefixRecords holds the PrefixRecord of each pool.
	prefixRecords sync.Map
	burstRecord   atomic.Pointer[BurstRecord]
	// origins holds the origin.Table of each pool, versionRecords its VersionRecord.
	origins, versionRecords sync.Map

	// joined is closed when this host has contacted the other hosts for the first time.
	joined     chan struct{}
	joinedOnce sync.Once

	mu      sync.Mutex
	changed chan struct{}
}

// New creates a board whose only member is this host.
func New(self Member) *Board {
	b := &Board{changed: make(chan struct{}), joined: make(chan struct{})}
	b.members.Store(&Members{Self: self, Live: []Member{self}, Registered: 1})
	b.hosts.Store(&Hosts{})
	b.store.Store(&StoreState{})
	return b
}

// Config returns the current configuration, or nil if there is none yet.
func (b *Board) Config() *object.Snapshot { return b.config.Load() }

// Members returns the current view of entry hosts.
func (b *Board) Members() *Members { return b.members.Load() }

// Hosts returns the information from the latest list of hosts.
func (b *Board) Hosts() *Hosts { return b.hosts.Load() }

// Notices returns what targets have reported about themselves to this host or to a host that has
// told this one. It may be nil, which is an empty book.
func (b *Board) Notices() *notice.Book { return b.notices.Load() }

// RecordNotice adds a notice of a target.
func (b *Board) RecordNotice(now time.Time, n wire.TargetNotice) notice.Change {
	for {
		book := b.notices.Load()
		next := book.With(now, n)
		if book == next || b.notices.CompareAndSwap(book, next) {
			return notice.Change{Before: book.State(n.Target, n.StartedMS), After: next.State(n.Target, n.StartedMS), Recorded: book != next}
		}
	}
}

// Prefixes returns what is known about prompt prefixes that crash targets. It may be nil, which is an
// empty book.
func (b *Board) Prefixes() *quarantine.Book { return b.prefixes.Load() }

// RecordPrefix adds a notice about a prompt prefix and reports whether it is new.
func (b *Board) RecordPrefix(now time.Time, n wire.PrefixNotice) bool {
	for {
		book := b.prefixes.Load()
		next := book.With(now, n)
		if book == next {
			return false
		}
		if b.prefixes.CompareAndSwap(book, next) {
			b.notify()
			return true
		}
	}
}

// PrefixRecord is what the platform's store holds about the prompt prefixes of one pool.
type PrefixRecord struct {
	// Position is the position of the record in the store, 0 if there is none.
	Position store.Position
	Held     []wire.PrefixNotice
}

// PrefixRecord returns the stored record of a pool, as this host has read it last.
func (b *Board) PrefixRecord(pool object.PoolName) PrefixRecord {
	if record, found := b.prefixRecords.Load(pool); found {
		return record.(PrefixRecord)
	}
	return PrefixRecord{}
}

// SetPrefixRecord replaces the stored record of a pool.
func (b *Board) SetPrefixRecord(pool object.PoolName, record PrefixRecord) {
	b.prefixRecords.Store(pool, record)
	b.notify()
}

// BurstRecord is what the platform's store holds about accounts that use their quotas in bursts.
type BurstRecord struct {
	// Position is the position of the record in the store, 0 if there is none.
	Position store.Position
	// Excess is by how much each account exceeds an even usage of its quota, as a fraction of its limit.
	Excess map[object.AccountName]float64
}

// BurstRecord returns the stored record, as this host has read it last.
func (b *Board) BurstRecord() BurstRecord {
	if record := b.burstRecord.Load(); record != nil {
		return *record
	}
	return BurstRecord{}
}

// SetBurstRecord replaces the stored record.
func (b *Board) SetBurstRecord(record BurstRecord) {
	b.burstRecord.Store(&record)
	b.notify()
}

// StoreState is the latest position in the platform's store that this host has applied,
// received from the store or from a peer, and the time when that position was last confirmed
// to be the newest.
type StoreState struct {
	Position    store.Position
	ConfirmedAt time.Time
}

// Store returns the state of this host's copy of the platform's store.
func (b *Board) Store() StoreState { return *b.store.Load() }

// SetStoreState replaces the state of this host's copy of the platform's store.
func (b *Board) SetStoreState(s StoreState) {
	previous := b.store.Swap(&s)
	if previous.Position != s.Position {
		b.notify()
	}
}

// Stopping reports whether a graceful shutdown has begun.
func (b *Board) Stopping() bool { return b.stopping.Load() }

// SetConfig replaces the current configuration if the given one is newer. It reports whether
// the configuration was replaced.
func (b *Board) SetConfig(next *object.Snapshot) bool {
	for {
		current := b.config.Load()
		if !next.Newer(current) {
			return false
		}
		if b.config.CompareAndSwap(current, next) {
			b.serveVersions(next)
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

// SetHosts replaces the information from the list of hosts.
func (b *Board) SetHosts(h *Hosts) {
	b.hosts.Store(h)
	b.notify()
}

// Joined returns a channel that is closed when this host has contacted the other hosts for the
// first time. Until then, the view of entry hosts may contain only this host.
func (b *Board) Joined() <-chan struct{} { return b.joined }

// HasJoined reports whether the channel of Joined is closed.
func (b *Board) HasJoined() bool {
	select {
	case <-b.joined:
		return true
	default:
		return false
	}
}

// SetJoined records that this host has contacted the other hosts.
func (b *Board) SetJoined() {
	b.joinedOnce.Do(func() {
		close(b.joined)
		b.notify()
	})
}

// SetStopping records that a graceful shutdown has begun.
func (b *Board) SetStopping() {
	b.stopping.Store(true)
	b.notify()
}

// Changed returns a channel that is closed at the next change of the board. Call it before
// reading the board, so that no change is missed.
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

// Owner returns the member that runs the arbiter of a pool. It is the member with the highest
// rendezvous hash among those that usable accepts. Members that are leaving or have too little
// capacity are skipped. Members in the zones of the pool are preferred, so that the arbiter is
// close to the targets and works during a network partition between regions. If no member
// qualifies, Owner returns this host.
func (m *Members) Owner(pool object.PoolName, zones map[object.Zone]bool, usable func(Member) bool) Member {
	best := m.Self
	var bestScore uint64
	bestInZone, found := false, false
	minCapacity := m.maxCapacity() * minCapacityShare
	for _, member := range m.Live {
		inZone := zones[member.Zone]
		if member.Leaving || (bestInZone && !inZone) || member.Capacity < minCapacity || !usable(member) {
			continue
		}
		score := rendezvousHash(string(pool), member.Name)
		if !found || (inZone && !bestInZone) || score > bestScore {
			best, bestScore, bestInZone, found = member, score, inZone, true
		}
	}
	return best
}

// DiscoveredPools is the pool name passed to Owner for all discovered pools. These pools share one
// arbiter, because quotas apply to all of them together.
const DiscoveredPools object.PoolName = "discovered-pools"

// minCapacityShare is the fraction of the highest capacity of a live host that an owner must
// have.
const minCapacityShare = 0.7

// maxCapacity returns the highest capacity of a live host.
func (m *Members) maxCapacity() float64 {
	highest := 0.0
	for _, member := range m.Live {
		highest = max(highest, member.Capacity)
	}
	return highest
}

// IsSelected reports whether this host is among the n members with the highest rendezvous hashes
// for a task. Leaving members do not count. All hosts with the same view of the members select the
// same ones.
func (m *Members) IsSelected(task string, n int) bool {
	ownHash := rendezvousHash(task, m.Self.Name)
	higher := 0
	for _, member := range m.Live {
		if !member.Leaving && rendezvousHash(task, member.Name) > ownHash {
			higher++
		}
	}
	return higher < n
}

// minLinkShare is the fraction of the widest link of a live host that counts as a wide link.
const minLinkShare = 0.5

// IsSelectedByLink is like IsSelected for a task that needs a wide link. Hosts with narrow links are selected only if
// there are fewer than n others.
func (m *Members) IsSelectedByLink(task string, n int) bool {
	minLink := m.maxLink() * minLinkShare
	isWide := m.Self.LinkMbps >= minLink
	ownHash := rendezvousHash(task, m.Self.Name)
	before := 0
	for _, member := range m.Live {
		if member.Leaving || member.Name == m.Self.Name {
			continue
		}
		memberIsWide := member.LinkMbps >= minLink
		if memberIsWide && !isWide || memberIsWide == isWide && rendezvousHash(task, member.Name) > ownHash {
			before++
		}
	}
	return before < n
}

// maxLink returns the widest link of a live host that is not leaving.
func (m *Members) maxLink() float64 {
	widest := 0.0
	for _, member := range m.Live {
		if !member.Leaving {
			widest = max(widest, member.LinkMbps)
		}
	}
	return widest
}

func rendezvousHash(task, host string) uint64 { return digest.Of(host, task) }

// IsArbiterOfDiscovered reports whether this host is the arbiter of the discovered pools.
func (b *Board) IsArbiterOfDiscovered() bool {
	members := b.Members()
	owner := members.Owner(DiscoveredPools, nil, func(Member) bool { return true })
	return b.HasJoined() && !b.Stopping() && owner.Name == members.Self.Name
}
