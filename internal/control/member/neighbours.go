package member

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/digest"
)

const (
	// zoneSuccessors and fleetSuccessors are the members next on the ring of the own
	// availability zone and on that of the fleet. So each member is asked by three others.
	zoneSuccessors  = 2
	fleetSuccessors = 1
	// maxShortcuts is the number of random neighbours, half of them in other zones, by which
	// updates cross the rings in a few steps.
	maxShortcuts = 4
	// shortcutRounds is the number of rounds after which one shortcut is replaced.
	shortcutRounds = 10
	// retryRounds is the number of rounds between two heartbeats to members taken for dead.
	retryRounds = 4
)

// neighbours are the members that get heartbeats from this host.
type neighbours struct {
	round     int
	version   uint64 // Of the table when they were chosen.
	ring      []string
	shortcuts []string
}

// Targets returns the members that get a heartbeat in this round: one neighbour on the
// rings, one shortcut, and at times one that is taken for dead.
func (t *Table) Targets() []board.Member {
	t.near.round++
	t.chooseNeighbours()
	var targets []board.Member
	for _, names := range [][]string{t.near.ring, t.near.shortcuts} {
		if len(names) > 0 {
			targets = append(targets, t.entries[names[t.near.round%len(names)]].Member)
		}
	}
	if name := t.retried(); name != "" {
		targets = append(targets, t.entries[name].Member)
	}
	return targets
}

// chooseNeighbours keeps the neighbours that live and fills up with others.
func (t *Table) chooseNeighbours() {
	isDue := t.near.round%shortcutRounds == 0
	if t.near.version == t.version && !isDue {
		return
	}
	t.near.version = t.version
	live := t.liveEntries()
	t.near.ring = t.ringNeighbours(live)
	kept := t.near.shortcuts[:0]
	for _, name := range t.near.shortcuts {
		if e := t.entries[name]; e != nil && e.live() && !slices.Contains(t.near.ring, name) {
			kept = append(kept, name)
		}
	}
	if isDue && len(kept) == maxShortcuts {
		kept = append(kept[:0], kept[1:]...)
	}
	t.near.shortcuts = t.fillShortcuts(kept, live)
}

// liveEntries returns the live members in the order of the ring, from this host on.
func (t *Table) liveEntries() []*entry {
	own := digest.Of(t.self.Member.Name)
	live := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.live() {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(a.position-own, b.position-own) })
	return live
}

// ringNeighbours returns the next members on the ring of the zone and on that of the fleet.
func (t *Table) ringNeighbours(live []*entry) []string {
	var ring []string
	for _, e := range live {
		if len(ring) < zoneSuccessors && t.distance(e.Member) == 0 {
			ring = append(ring, e.Member.Name)
		}
	}
	for _, e := range live {
		if len(ring) < zoneSuccessors+fleetSuccessors && !slices.Contains(ring, e.Member.Name) {
			ring = append(ring, e.Member.Name)
		}
	}
	return ring
}

// fillShortcuts adds random members until there are enough, half of them in other zones.
func (t *Table) fillShortcuts(names []string, live []*entry) []string {
	foreign := 0
	for _, name := range names {
		foreign += t.distance(t.entries[name].Member)
	}
	order := rand.Perm(len(live))
	for _, strict := range []bool{true, false} {
		for _, i := range order {
			e := live[i]
			if len(names) == maxShortcuts {
				return names
			}
			if slices.Contains(names, e.Member.Name) || slices.Contains(t.near.ring, e.Member.Name) {
				continue
			}
			isForeign := t.distance(e.Member)
			wantForeign := foreign < maxShortcuts/2
			if strict && wantForeign != (isForeign == 1) {
				continue
			}
			names = append(names, e.Member.Name)
			foreign += isForeign
		}
	}
	return names
}

// retried returns a member taken for dead that is asked again in this round, if any.
func (t *Table) retried() string {
	for len(t.doubted) > 0 {
		name := t.doubted[0]
		t.doubted = t.doubted[1:]
		if e := t.entries[name]; e != nil && e.Status == Dead {
			return name
		}
	}
	if t.near.round%retryRounds != 0 {
		return ""
	}
	var dead []string
	for name, e := range t.entries {
		if e.Status == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	return dead[rand.IntN(len(dead))]
}
