// Package member keeps the view of live entry hosts. Each host sends heartbeats to a
// constant number of random peers; news about members travel with them, so the load of
// a host does not grow with their number. The platform's list of hosts only seeds the view.
package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

const (
	// probesPerRound is the number of peers that get a heartbeat in each interval.
	probesPerRound = 2
	// suspectRounds is the number of intervals after which a suspect is taken for dead.
	suspectRounds = 4
	// maxRumours bounds the news in one heartbeat.
	maxRumours = 6
	// retransmitFactor times the logarithm of the number of members is how often each
	// piece of news is sent.
	retransmitFactor = 3
	// deadRounds is the number of intervals between heartbeats to a dead member that is
	// still listed.
	deadRounds = 10
)

// entry is what the table knows about one member.
type entry struct {
	Rumour
	changedAt time.Time
	sends     int // How often the latest news may still be sent.
	listed    bool
	// knows is the incarnation of this host that the member knows.
	knows uint64
	// leavingVersion is the list of leaving targets that the member has.
	leavingVersion int64
}

// Table is the view of one host. It is not safe for concurrent use and does no I/O.
type Table struct {
	self    Rumour
	entries map[string]*entry
	order   []string // Names in the random order in which they get heartbeats.
	round   int

	// leaving are the targets that the platform is about to stop. The few hosts that read
	// the list of hosts give each change a version; the others take the highest.
	leaving        []object.TargetName
	leavingVersion int64
}

// NewTable creates a table. The incarnation must grow from run to run of a host.
func NewTable(self board.Member, incarnation uint64) *Table {
	return &Table{
		self:    Rumour{Member: self, Status: Alive, Incarnation: incarnation},
		entries: map[string]*entry{},
	}
}

// Leave announces that this host is about to stop.
func (t *Table) Leave() {
	t.self.Incarnation++
	t.self.Status = Leaving
	t.self.Member.Leaving = true
}

// List takes the platform's list of hosts. A listed host is not live before it has
// answered a heartbeat. A host that is no longer listed stays while it answers.
func (t *Table) List(now time.Time, members []board.Member) {
	for _, e := range t.entries {
		e.listed = false
	}
	for _, m := range members {
		if m.Name == t.self.Member.Name {
			continue
		}
		e := t.entries[m.Name]
		if e == nil {
			e = &entry{Rumour: Rumour{Member: m, Status: Listed}, changedAt: now}
			t.entries[m.Name] = e
		}
		e.listed = true
	}
	for name, e := range t.entries {
		if !e.listed && (e.Status == Dead || e.Status == Listed) {
			delete(t.entries, name)
		}
	}
}

// Targets returns the members that get a heartbeat in this round.
func (t *Table) Targets() []board.Member {
	t.round++
	var targets []board.Member
	for range len(t.entries) + probesPerRound {
		if len(targets) == probesPerRound {
			break
		}
		if len(t.order) == 0 {
			t.reshuffle()
			if len(t.order) == 0 {
				break
			}
		}
		name := t.order[0]
		t.order = t.order[1:]
		e := t.entries[name]
		if e == nil || slices.ContainsFunc(targets, func(m board.Member) bool { return m.Name == name }) {
			continue
		}
		if e.Status == Dead && (!e.listed || t.round%deadRounds != 0) {
			continue
		}
		targets = append(targets, e.Member)
	}
	return targets
}

func (t *Table) reshuffle() {
	for name := range t.entries {
		t.order = append(t.order, name)
	}
	slices.Sort(t.order)
	rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// Compose returns the heartbeat for a member. knows is the incarnation of this host that
// the member is known to have, 0 if that is not known. If the member is not believed alive
// it is told so, and can prove otherwise.
func (t *Table) Compose(to string, knows uint64, known Knowledge) Heartbeat {
	h := Heartbeat{From: t.self.Member.Name, Incarnation: t.self.Incarnation, Revision: known.Config}
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
			h.Rumours = append(h.Rumours, e.Rumour)
		}
	}
	h.Rumours = append(h.Rumours, t.news(to)...)
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

// news returns the news that were sent the least so far.
func (t *Table) news(to string) []Rumour {
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
	var news []Rumour
	for _, e := range fresh[:min(len(fresh), maxRumours)] {
		e.sends--
		news = append(news, e.Rumour)
	}
	return news
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

// Unproven returns the listed members that have not answered a heartbeat yet.
func (t *Table) Unproven() []board.Member {
	var members []board.Member
	for _, e := range t.entries {
		if e.Status == Listed {
			members = append(members, e.Member)
		}
	}
	return members
}

// Receive takes a heartbeat or its answer: the sender is alive, and its news count. It
// reports whether the sender is known by now; if not, it must be asked for its addresses.
func (t *Table) Receive(now time.Time, h Heartbeat) bool {
	e := t.entries[h.From]
	status := h.Status
	if status == "" {
		status = Alive
	}
	switch {
	case h.Member != nil:
		t.apply(now, Rumour{Member: *h.Member, Status: status, Incarnation: h.Incarnation})
	case e != nil && e.Incarnation != 0:
		t.apply(now, Rumour{Member: e.Member, Status: status, Incarnation: h.Incarnation})
	}
	for _, r := range h.Rumours {
		t.apply(now, r)
	}
	e = t.entries[h.From]
	if e == nil || e.Incarnation < h.Incarnation {
		return false
	}
	e.knows = h.Knows
	t.takeLeaving(e, h)
	return true
}

// apply takes one piece of news unless what is known is newer.
func (t *Table) apply(now time.Time, r Rumour) {
	if r.Member.Name == t.self.Member.Name {
		t.refute(r)
		return
	}
	e := t.entries[r.Member.Name]
	if e == nil {
		if r.Status == Dead {
			return
		}
		e = &entry{Rumour: Rumour{Status: Listed}}
		t.entries[r.Member.Name] = e
	}
	newer := r.Incarnation > e.Incarnation ||
		(r.Incarnation == e.Incarnation && r.Status.rank() > e.Status.rank())
	if !newer {
		return
	}
	expected := e.listed && e.Status == Listed && r.Status == Alive
	t.set(now, e, r)
	if expected {
		e.sends = 0 // Everybody has the list; that a listed host is alive is no news.
	}
}

func (t *Table) set(now time.Time, e *entry, r Rumour) {
	e.Rumour = r
	e.Member.Leaving = r.Status == Leaving || r.Member.Leaving
	e.changedAt = now
	e.sends = retransmitFactor * bits.Len(uint(len(t.entries)+1))
}

// refute answers news that this host is suspect or dead with a higher incarnation.
func (t *Table) refute(r Rumour) {
	if r.Incarnation >= t.self.Incarnation && r.Status != t.self.Status {
		t.self.Incarnation = r.Incarnation + 1
	}
}

// Fail makes a member suspect that did not answer a heartbeat and its repetition.
func (t *Table) Fail(now time.Time, name string) {
	e := t.entries[name]
	if e == nil || e.Status == Dead || e.Status == Suspect || e.Status == Listed {
		return
	}
	r := e.Rumour
	r.Status = Suspect
	t.set(now, e, r)
}

// Expire takes suspects for dead that have not proved otherwise in time.
func (t *Table) Expire(now time.Time, interval time.Duration) {
	for _, e := range t.entries {
		if e.Status == Suspect && now.Sub(e.changedAt) >= suspectRounds*interval {
			r := e.Rumour
			r.Status = Dead
			t.set(now, e, r)
		}
	}
}

// View returns the live members, this host included, sorted by name. Suspects are live
// until they are taken for dead.
func (t *Table) View() *board.Members {
	view := &board.Members{Self: t.self.Member, Live: []board.Member{t.self.Member}, Registered: 1 + len(t.entries)}
	for _, e := range t.entries {
		switch e.Status {
		case Alive, Leaving, Suspect:
			view.Live = append(view.Live, e.Member)
		case Listed, Dead:
		}
	}
	slices.SortFunc(view.Live, func(a, b board.Member) int { return strings.Compare(a.Name, b.Name) })
	return view
}
