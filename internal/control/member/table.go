// Package member implements gossip membership with failure detection for entry hosts. Each host
// sends heartbeats to a few neighbours, and member changes spread with the heartbeats, so the
// load and the connections of a host do not grow with the size of the fleet. The platform's list
// of hosts only seeds the view.
package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

const (
	// suspectIntervals is the number of heartbeat intervals after which a suspect is declared dead.
	suspectIntervals = 4
	// maxUpdates bounds the updates in one heartbeat.
	maxUpdates = 6
	// retransmitFactor times the binary logarithm of the number of members is the number of times
	// that each update is sent.
	retransmitFactor = 3
	// deadRegisteredFor is the time for which a dead member still counts as registered, because
	// its process may still be running.
	deadRegisteredFor = 8 * time.Second
	// deadRetention is the time for which a dead member is kept and probed occasionally, so that
	// the parts of a partitioned fleet merge again.
	deadRetention = time.Minute
	// listedTimeout is the time after which a listed member that no host has confirmed is
	// removed.
	listedTimeout = 10 * time.Second
)

// entry is the state of one member in the table.
type entry struct {
	Update
	changedAt time.Time
	sendsLeft int // The number of times that the latest update is still to be sent.
	// ackedIncarnation is the incarnation of this host that the member has stored.
	ackedIncarnation uint64
	// leavingVersion is the version of the member's list of leaving targets.
	leavingVersion int64
	// position is the position of the member on the ring.
	position uint64
	// sendsDigests is false for older builds, which read updates only as LegacyUpdates, and
	// for members that have sent no heartbeat yet.
	sendsDigests bool
	// unregistered members have been dead for so long that they are assumed to have ended.
	unregistered bool
}

// live reports whether the member is expected to answer.
func (e *entry) live() bool {
	switch e.Status {
	case Alive, Leaving, Suspect:
		return true
	case Listed, Dead:
	}
	return false
}

// Table is the view of one host. It is not safe for concurrent use and does no I/O.
type Table struct {
	self       Update
	entries    map[string]*entry
	neighbours neighbourSet
	// version increases with each change of the view.
	version uint64
	// disputedDead are members that are dead in this view but live in another host's. They are
	// probed next.
	disputedDead []string

	// leaving are the targets that the platform is about to stop. The few hosts that read
	// the list of hosts assign a version to each change; all other hosts adopt the highest.
	leaving        []object.TargetName
	leavingVersion int64
}

// NewTable creates a table. The incarnation must be higher than in earlier runs of the host.
func NewTable(self board.Member, incarnation uint64) *Table {
	return &Table{
		self:    Update{Member: self, Status: Alive, Incarnation: incarnation},
		entries: map[string]*entry{},
		version: 1,
	}
}

// Version returns a number that increases with each change of the view.
func (t *Table) Version() uint64 { return t.version }

// Leave announces that this host is about to stop.
func (t *Table) Leave() {
	t.self.Incarnation++
	t.self.Status = Leaving
	t.self.Member.Leaving = true
	t.version++
}

// SetCapacity announces a new capacity of this host.
func (t *Table) SetCapacity(capacity float64) {
	t.self.Incarnation++
	t.self.Member.Capacity = capacity
	t.version++
}

// AddListed adds the hosts on the platform's list. A listed host is not live until it answers or
// another host reports it alive.
func (t *Table) AddListed(now time.Time, members []board.Member) {
	for _, m := range members {
		if m.Name == t.self.Member.Name || t.entries[m.Name] != nil {
			continue
		}
		e := t.add(m.Name)
		e.Member = m
		e.changedAt = now
		t.version++
	}
}

// add creates an entry in state Listed.
func (t *Table) add(name string) *entry {
	e := &entry{Update: Update{Status: Listed}, position: digest.Of(name)}
	t.entries[name] = e
	return e
}

// Compose returns the heartbeat for a member. ackedIncarnation is the incarnation of this host
// that the member is known to have, 0 if unknown. A member that is suspect or dead in this view
// gets that update first, so that it can refute it.
func (t *Table) Compose(to string, ackedIncarnation uint64, localState PeerState) Heartbeat {
	h := Heartbeat{From: t.self.Member.Name, Incarnation: t.self.Incarnation, Revision: localState.ConfigRevision, Joined: localState.Joined, Digest: t.Digest()}
	if localState.StorePosition > 0 {
		h.StoreEra = localState.StorePosition.Era()
		h.StoreRevision = localState.StorePosition.Revision()
		h.StoreAgeMS = localState.StoreAge.Milliseconds()
	}
	if t.self.Status != Alive {
		h.Status = t.self.Status
	}
	if ackedIncarnation != t.self.Incarnation {
		member := t.self.Member
		h.Member = &member
	}
	if e := t.entries[to]; e != nil {
		h.AckedIncarnation = e.Incarnation
		if e.Status == Suspect || e.Status == Dead {
			h.Updates = append(h.Updates, e.Update)
		}
	}
	h.Updates = append(h.Updates, t.nextUpdates(to)...)
	if e := t.entries[to]; e == nil || !e.sendsDigests {
		h.LegacyUpdates = h.Updates
	}
	h.LeavingVersion = t.leavingVersion
	if e := t.entries[to]; e == nil || e.leavingVersion < t.leavingVersion {
		h.Leaving = &LeavingList{t.leaving}
	}
	return h
}

// SetLeaving sets the leaving targets according to the platform's list.
func (t *Table) SetLeaving(now time.Time, targets []object.TargetName) {
	slices.Sort(targets)
	if slices.Equal(t.leaving, targets) {
		return
	}
	t.leaving = targets
	t.leavingVersion = max(now.UnixMilli(), t.leavingVersion+1)
}

// LeavingTargets returns the leaving targets, sorted.
func (t *Table) LeavingTargets() []object.TargetName { return t.leaving }

// mergeLeaving adopts a peer's list of leaving targets if its version is higher.
func (t *Table) mergeLeaving(e *entry, h Heartbeat) {
	e.leavingVersion = h.LeavingVersion
	if h.Leaving != nil && h.LeavingVersion > t.leavingVersion {
		t.leaving = h.Leaving.Targets
		t.leavingVersion = h.LeavingVersion
	}
}

// nextUpdates returns up to maxUpdates updates, those with the most sends left first, and counts
// one send of each.
func (t *Table) nextUpdates(to string) []Update {
	var pending []*entry
	for _, e := range t.entries {
		if e.sendsLeft > 0 && e.Member.Name != to {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(a.Member.Name, b.Member.Name)
	})
	var updates []Update
	for _, e := range pending[:min(len(pending), maxUpdates)] {
		e.sendsLeft--
		updates = append(updates, e.Update)
	}
	return updates
}

// AckedIncarnation returns the incarnation of this host that a member reported in its last
// heartbeat, 0 if unknown.
func (t *Table) AckedIncarnation(name string) uint64 {
	if e := t.entries[name]; e != nil {
		return e.ackedIncarnation
	}
	return 0
}

// PeerURL returns the address of a member, or an empty string if it is unknown.
func (t *Table) PeerURL(name string) string {
	if e := t.entries[name]; e != nil {
		return e.Member.PeerURL
	}
	return ""
}

// UnconfirmedMembers returns up to n random listed members that no host has confirmed alive.
// Half of them are in other availability zones: hosts that probed only their own zone would
// mistake it for the whole fleet.
func (t *Table) UnconfirmedMembers(n int) []board.Member {
	var sameZone, otherZones []board.Member
	for _, e := range t.entries {
		switch {
		case e.Status != Listed || e.Member.PeerURL == "":
		case t.zoneDistance(e.Member) == 0:
			sameZone = append(sameZone, e.Member)
		default:
			otherZones = append(otherZones, e.Member)
		}
	}
	rand.Shuffle(len(sameZone), func(i, j int) { sameZone[i], sameZone[j] = sameZone[j], sameZone[i] })
	rand.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	fromSameZone := max(min(len(sameZone), n-n/2), n-len(otherZones))
	fromSameZone = min(fromSameZone, len(sameZone))
	return append(sameZone[:fromSameZone], otherZones[:min(len(otherZones), n-fromSameZone)]...)
}

// zoneDistance returns 0 for members in this host's availability zone and 1 for all others.
func (t *Table) zoneDistance(m board.Member) int {
	if m.Zone == t.self.Member.Zone {
		return 0
	}
	return 1
}

// Receive processes a heartbeat or the answer to one: it applies the state of the sender and the
// updates of other members. It reports whether the table now has this incarnation of the sender;
// if not, the sender must still send its addresses.
func (t *Table) Receive(now time.Time, h Heartbeat) bool {
	e := t.entries[h.From]
	status := h.Status
	if status == "" {
		status = Alive
	}
	switch {
	case h.Member != nil:
		t.apply(now, Update{Member: *h.Member, Status: status, Incarnation: h.Incarnation})
	case e != nil && e.Incarnation != 0:
		t.apply(now, Update{Member: e.Member, Status: status, Incarnation: h.Incarnation})
	}
	for _, u := range h.updates() {
		t.apply(now, u)
	}
	t.mergeAll(now, h.All)
	e = t.entries[h.From]
	if e == nil || e.Incarnation < h.Incarnation {
		return false
	}
	e.ackedIncarnation = h.AckedIncarnation
	e.sendsDigests = h.Digest != 0
	t.mergeLeaving(e, h)
	return true
}

// apply applies an update if it is newer than the stored state, and reports whether it was. An
// update about this host is refuted instead.
func (t *Table) apply(now time.Time, u Update) bool {
	if u.Member.Name == t.self.Member.Name {
		t.refute(u)
		return false
	}
	e := t.entries[u.Member.Name]
	if e == nil {
		if u.Status == Dead || u.Member.Name == "" {
			return false
		}
		e = t.add(u.Member.Name)
	}
	newer := u.Incarnation > e.Incarnation ||
		(u.Incarnation == e.Incarnation && u.Status.precedence() > e.Status.precedence())
	if newer {
		t.set(now, e, u)
	}
	return newer
}

// set stores an update and schedules it to be spread.
func (t *Table) set(now time.Time, e *entry, u Update) {
	e.Update = u
	e.Member.Leaving = u.Status == Leaving || u.Member.Leaving
	e.changedAt = now
	e.unregistered = false
	e.sendsLeft = retransmitFactor * bits.Len(uint(len(t.entries)+1))
	t.version++
}

// refute raises the incarnation of this host above that of an update that gives it a different
// status, such as suspect or dead, so that the host's own state overrides the update.
func (t *Table) refute(u Update) {
	if u.Incarnation >= t.self.Incarnation && u.Status != t.self.Status {
		t.self.Incarnation = u.Incarnation + 1
		t.version++
	}
}

// MarkSuspect marks a member as suspect after it answered neither a heartbeat nor its retry.
func (t *Table) MarkSuspect(now time.Time, name string) {
	e := t.entries[name]
	if e == nil || e.Status == Dead || e.Status == Suspect || e.Status == Listed {
		return
	}
	u := e.Update
	u.Status = Suspect
	t.set(now, e, u)
}

// Expire declares suspects dead that have not refuted the suspicion in time, and removes members
// that have been dead or unconfirmed for too long. A host that is not connected removes none and
// keeps counting them as registered, because they may still be running on the other side of a
// partition.
func (t *Table) Expire(now time.Time, interval time.Duration, isConnected bool) {
	for name, e := range t.entries {
		age := now.Sub(e.changedAt)
		switch {
		case e.Status == Suspect && age >= suspectIntervals*interval:
			u := e.Update
			u.Status = Dead
			t.set(now, e, u)
		case !isConnected:
		case e.Status == Dead && age >= deadRetention, e.Status == Listed && age >= listedTimeout:
			delete(t.entries, name)
			t.version++
		case e.Status == Dead && age >= deadRegisteredFor && !e.unregistered:
			e.unregistered = true
			t.version++
		}
	}
}

// View returns the live members, including this host, sorted by name. Suspects are live until
// they are declared dead.
func (t *Table) View() *board.Members {
	view := &board.Members{Self: t.self.Member, Live: []board.Member{t.self.Member}, Registered: 1}
	for _, e := range t.entries {
		if e.live() {
			view.Live = append(view.Live, e.Member)
		}
		if !e.unregistered {
			view.Registered++
		}
	}
	slices.SortFunc(view.Live, func(a, b board.Member) int { return strings.Compare(a.Name, b.Name) })
	return view
}
