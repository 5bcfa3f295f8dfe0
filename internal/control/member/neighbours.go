package member

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/digest"
)

const (
	// zoneSuccessors and fleetSuccessors are the numbers of members that a host probes because they
	// follow it on the ring of its availability zone and on the ring of the fleet. Each member is
	// therefore probed by three others.
	zoneSuccessors  = 2
	fleetSuccessors = 1
	// maxShortcuts is the number of random neighbours, half of them in other zones. They let
	// updates cross the rings in a few hops.
	maxShortcuts = 4
	// shortcutReplaceRounds is the number of rounds after which one shortcut is replaced.
	shortcutReplaceRounds = 10
	// deadProbeRounds is the number of rounds between two probes of dead members.
	deadProbeRounds = 4
)

// neighbourSet contains the members that get heartbeats from this host.
type neighbourSet struct {
	round        int
	tableVersion uint64 // The version of the table for which the neighbours were chosen.
	ring         []string
	shortcuts    []string
}

// ProbePeers returns the members to probe in this round: one neighbour on the rings, one
// shortcut, and in some rounds a dead member.
func (t *Table) ProbePeers() []board.Member {
	t.neighbours.round++
	t.refreshNeighbours()
	var peers []board.Member
	for _, names := range [][]string{t.neighbours.ring, t.neighbours.shortcuts} {
		if len(names) > 0 {
			peers = append(peers, t.entries[names[t.neighbours.round%len(names)]].Member)
		}
	}
	if name := t.nextDeadProbe(); name != "" {
		peers = append(peers, t.entries[name].Member)
	}
	return peers
}

// refreshNeighbours chooses the neighbours again if the view has changed or a shortcut is due for
// replacement. Live shortcuts stay, except the oldest when one is due for replacement.
func (t *Table) refreshNeighbours() {
	replaceShortcut := t.neighbours.round%shortcutReplaceRounds == 0
	if t.neighbours.tableVersion == t.version && !replaceShortcut {
		return
	}
	t.neighbours.tableVersion = t.version
	live := t.liveEntries()
	t.neighbours.ring = t.ringNeighbours(live)
	kept := t.neighbours.shortcuts[:0]
	for _, name := range t.neighbours.shortcuts {
		if e := t.entries[name]; e != nil && e.live() && !slices.Contains(t.neighbours.ring, name) {
			kept = append(kept, name)
		}
	}
	if replaceShortcut && len(kept) == maxShortcuts {
		kept = append(kept[:0], kept[1:]...)
	}
	t.neighbours.shortcuts = t.fillShortcuts(kept, live)
}

// liveEntries returns the live members in ring order, starting after this host.
func (t *Table) liveEntries() []*entry {
	ownPosition := digest.Of(t.self.Member.Name)
	live := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.live() {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(a.position-ownPosition, b.position-ownPosition) })
	return live
}

// ringNeighbours returns the next members on the ring of the zone and on the ring of the fleet.
func (t *Table) ringNeighbours(live []*entry) []string {
	var ring []string
	for _, e := range live {
		if len(ring) < zoneSuccessors && t.zoneDistance(e.Member) == 0 {
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
	otherZoneCount := 0
	for _, name := range names {
		otherZoneCount += t.zoneDistance(t.entries[name].Member)
	}
	order := rand.Perm(len(live))
	for _, balanceZones := range []bool{true, false} {
		for _, i := range order {
			e := live[i]
			if len(names) == maxShortcuts {
				return names
			}
			if slices.Contains(names, e.Member.Name) || slices.Contains(t.neighbours.ring, e.Member.Name) {
				continue
			}
			inOtherZone := t.zoneDistance(e.Member)
			wantOtherZone := otherZoneCount < maxShortcuts/2
			if balanceZones && wantOtherZone != (inOtherZone == 1) {
				continue
			}
			names = append(names, e.Member.Name)
			otherZoneCount += inOtherZone
		}
	}
	return names
}

// nextDeadProbe returns the dead member to probe in this round, or an empty string. Members that
// another host reports alive come first.
func (t *Table) nextDeadProbe() string {
	for len(t.disputedDead) > 0 {
		name := t.disputedDead[0]
		t.disputedDead = t.disputedDead[1:]
		if e := t.entries[name]; e != nil && e.Status == Dead {
			return name
		}
	}
	if t.neighbours.round%deadProbeRounds != 0 {
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
