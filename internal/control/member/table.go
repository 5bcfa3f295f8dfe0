// Package member keeps the view of live entry hosts. Each host sends heartbeats to a few
// neighbours; changes of members travel with them, so neither the load of a host nor its
// connections grow with their number. The platform's list of hosts only seeds the view.
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
	// suspectRounds is the number of intervals after which a suspect is taken for dead.
	suspectRounds = 4
	// maxUpdates bounds the updates in one heartbeat.
	maxUpdates = 6
	// retransmitFactor times the logarithm of the number of members is how often each update
	// is sent.
	retransmitFactor = 3
	// countedFor is how long a member that is taken for dead counts as one that may run.
	countedFor = 8 * time.Second
	// rememberedFor is how long a dead member is remembered and asked now and then, so that
	// parts of the fleet that could not reach each other find together again.
	rememberedFor = time.Minute
	// listedFor is how long a listed member may stay unproven.
	listedFor = 10 * time.Second
)

// entry is what the table knows about one member.
type entry struct {
	Update
	changedAt time.Time
	sends     int // How often the latest update may still be sent.
	// knows is the incarnation of this host that the member knows.
	knows uint64
	// leavingVersion is the list of leaving targets that the member has.
	leavingVersion int64
	// position is the place of the member on the ring.
	position uint64
	// sendsDigests tells members of this build and later ones from earlier ones.
	sendsDigests bool
	// uncounted members have been dead for too long to run on unseen.
	uncounted bool
}

// live reports whether the member is believed to answer.
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
	self    Update
	entries map[string]*entry
	near    neighbours
	// version grows with each change of the view.
	version uint64
	// doubted are members taken for dead that another host believes alive.
	doubted []string

	// leaving are the targets that the platform is about to stop. The few hosts that read
	// the list of hosts give each change a version; the others take the highest.
	leaving        []object.TargetName
	leavingVersion int64
}

// NewTable creates a table. The incarnation must grow from run to run of a host.
func NewTable(self board.Member, incarnation uint64) *Table {
	return &Table{
		self:    Update{Member: self, Status: Alive, Incarnation: incarnation},
		entries: map[string]*entry{},
		version: 1,
	}
}

// Version grows with each change of the view.
func (t *Table) Version() uint64 { return t.version }

// Leave announces that this host is about to stop.
func (t *Table) Leave() {
	t.self.Incarnation++
	t.self.Status = Leaving
	t.self.Member.Leaving = true
	t.version++
}

// SetCapacity announces that this host can do more or less than before.
func (t *Table) SetCapacity(capacity float64) {
	t.self.Incarnation++
	t.self.Member.Capacity = capacity
	t.version++
}

// List takes the platform's list of hosts. A listed host is not live before it, or a host
// that knows it, has answered.
func (t *Table) List(now time.Time, members []board.Member) {
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

// add creates the entry of a member of which nothing is proved.
func (t *Table) add(name string) *entry {
	e := &entry{Update: Update{Status: Listed}, position: digest.Of(name)}
	t.entries[name] = e
	return e
}

// Compose returns the heartbeat for a member. knows is the incarnation of this host that
// the member is known to have, 0 if that is not known. If the member is not believed alive
// it is told so, and can prove otherwise.
func (t *Table) Compose(to string, knows uint64, known Knowledge) Heartbeat {
	h := Heartbeat{From: t.self.Member.Name, Incarnation: t.self.Incarnation, Revision: known.Config, Digest: t.Digest()}
	if known.Store > 0 {
		h.StoreRevision = known.Store
		h.StoreAgeMS = known.StoreAge.Milliseconds()
	}
	if t.self.Status != Alive {
		h.Status = t.self.Status
	}
	if knows != t.self.Incarnation {
		member := t.self.Member
		h.Member = &member
	}
	if e := t.entries[to]; e != nil {
		h.Knows = e.Incarnation
		if e.Status == Suspect || e.Status == Dead {
			h.Updates = append(h.Updates, e.Update)
		}
	}
	h.Updates = append(h.Updates, t.freshUpdates(to)...)
	if e := t.entries[to]; e == nil || !e.sendsDigests {
		h.Rumours = h.Updates
	}
	h.LeavingVersion = t.leavingVersion
	if e := t.entries[to]; e == nil || e.leavingVersion < t.leavingVersion {
		h.Leaving = &LeavingList{t.leaving}
	}
	return h
}

// SetLeaving takes the leaving targets from the platform's list.
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

// takeLeaving takes the list of leaving targets of a peer if it is newer.
func (t *Table) takeLeaving(e *entry, h Heartbeat) {
	e.leavingVersion = h.LeavingVersion
	if h.Leaving != nil && h.LeavingVersion > t.leavingVersion {
		t.leaving = h.Leaving.Targets
		t.leavingVersion = h.LeavingVersion
	}
}

// freshUpdates returns the updates that were sent the least so far.
func (t *Table) freshUpdates(to string) []Update {
	var fresh []*entry
	for _, e := range t.entries {
		if e.sends > 0 && e.Member.Name != to {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return strings.Compare(a.Member.Name, b.Member.Name)
	})
	var updates []Update
	for _, e := range fresh[:min(len(fresh), maxUpdates)] {
		e.sends--
		updates = append(updates, e.Update)
	}
	return updates
}

// Knows returns the incarnation of this host that a member was found to know.
func (t *Table) Knows(name string) uint64 {
	if e := t.entries[name]; e != nil {
		return e.knows
	}
	return 0
}

// PeerURL returns the address of a member, empty if it is not known.
func (t *Table) PeerURL(name string) string {
	if e := t.entries[name]; e != nil {
		return e.Member.PeerURL
	}
	return ""
}

// Unproven returns up to n listed members that nobody has vouched for yet, drawn at random.
// Half of them are in other availability zones: a zone that only knew itself would take
// itself for the whole fleet.
func (t *Table) Unproven(n int) []board.Member {
	var near, far []board.Member
	for _, e := range t.entries {
		switch {
		case e.Status != Listed || e.Member.PeerURL == "":
		case t.distance(e.Member) == 0:
			near = append(near, e.Member)
		default:
			far = append(far, e.Member)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	fromNear := max(min(len(near), n-n/2), n-len(far))
	fromNear = min(fromNear, len(near))
	return append(near[:fromNear], far[:min(len(far), n-fromNear)]...)
}

// distance is 0 for members of the own availability zone and 1 for others.
func (t *Table) distance(m board.Member) int {
	if m.Zone == t.self.Member.Zone {
		return 0
	}
	return 1
}

// Receive takes a heartbeat or its answer: the sender is alive, and its updates count. It
// reports whether the sender is known by now; if not, it must be asked for its addresses.
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
	t.takeAll(now, h.All)
	e = t.entries[h.From]
	if e == nil || e.Incarnation < h.Incarnation {
		return false
	}
	e.knows = h.Knows
	e.sendsDigests = h.Digest != 0
	t.takeLeaving(e, h)
	return true
}

// apply takes one update unless what is known is newer, and reports whether it did.
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
		(u.Incarnation == e.Incarnation && u.Status.rank() > e.Status.rank())
	if newer {
		t.set(now, e, u)
	}
	return newer
}

func (t *Table) set(now time.Time, e *entry, u Update) {
	e.Update = u
	e.Member.Leaving = u.Status == Leaving || u.Member.Leaving
	e.changedAt = now
	e.uncounted = false
	e.sends = retransmitFactor * bits.Len(uint(len(t.entries)+1))
	t.version++
}

// refute answers an update that says that this host is suspect or dead with a higher
// incarnation.
func (t *Table) refute(u Update) {
	if u.Incarnation >= t.self.Incarnation && u.Status != t.self.Status {
		t.self.Incarnation = u.Incarnation + 1
		t.version++
	}
}

// Fail makes a member suspect that did not answer a heartbeat and its repetition.
func (t *Table) Fail(now time.Time, name string) {
	e := t.entries[name]
	if e == nil || e.Status == Dead || e.Status == Suspect || e.Status == Listed {
		return
	}
	u := e.Update
	u.Status = Suspect
	t.set(now, e, u)
}

// Expire takes suspects for dead that have not proved otherwise in time, and forgets members
// of which nothing was heard for long. A host that is out of touch forgets nobody: the others
// may run on without it.
func (t *Table) Expire(now time.Time, interval time.Duration, inTouch bool) {
	for name, e := range t.entries {
		age := now.Sub(e.changedAt)
		switch {
		case e.Status == Suspect && age >= suspectRounds*interval:
			u := e.Update
			u.Status = Dead
			t.set(now, e, u)
		case !inTouch:
		case e.Status == Dead && age >= rememberedFor, e.Status == Listed && age >= listedFor:
			delete(t.entries, name)
			t.version++
		case e.Status == Dead && age >= countedFor && !e.uncounted:
			e.uncounted = true
			t.version++
		}
	}
}

// View returns the live members, this host included, sorted by name. Suspects are live
// until they are taken for dead.
func (t *Table) View() *board.Members {
	view := &board.Members{Self: t.self.Member, Live: []board.Member{t.self.Member}, Registered: 1}
	for _, e := range t.entries {
		if e.live() {
			view.Live = append(view.Live, e.Member)
		}
		if !e.uncounted {
			view.Registered++
		}
	}
	slices.SortFunc(view.Live, func(a, b board.Member) int { return strings.Compare(a.Name, b.Name) })
	return view
}
