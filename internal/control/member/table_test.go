package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

const interval = time.Second

// mesh is a set of tables that exchange heartbeats without a network.
type mesh struct {
	t      *testing.T
	now    time.Time
	tables map[string]*Table
	// cut reports whether a heartbeat from one member to another is lost.
	cut func(from, to string) bool
}

func newMesh(t *testing.T, size int) *mesh { return newZonedMesh(t, size, 1) }

// newZonedMesh spreads the members over some availability zones.
func newZonedMesh(t *testing.T, size, zones int) *mesh {
	m := &mesh{t: t, now: time.Unix(1000, 0), tables: map[string]*Table{}, cut: func(string, string) bool { return false }}
	var members []board.Member
	for i := range size {
		name := fmt.Sprintf("entry-%d", i)
		members = append(members, board.Member{Name: name, PeerURL: "http://" + name, Zone: object.Zone(fmt.Sprint("zone-", i%zones))})
	}
	for i, member := range members {
		m.tables[member.Name] = NewTable(member, uint64(i+1))
		m.tables[member.Name].AddListed(m.now, members)
	}
	m.joinAll()
	return m
}

// joinAll makes each member sync with a few unconfirmed listed members, as a new host does. It
// runs several times so that all members are confirmed.
func (m *mesh) joinAll() {
	for range 4 {
		for name, table := range m.tables {
			for _, peer := range table.UnconfirmedMembers(joinProbes) {
				m.exchangeAll(name, peer.Name)
			}
		}
	}
}

// exchangeAll runs an anti-entropy sync.
func (m *mesh) exchangeAll(from, to string) {
	table, peer := m.tables[from], m.tables[to]
	if peer == nil || m.cut(from, to) || m.cut(to, from) {
		return
	}
	h := table.Compose(to, table.AckedIncarnation(to), PeerState{ConfigRevision: 1})
	peer.Receive(m.now, h)
	answer := peer.Compose(from, h.AckedIncarnation, PeerState{ConfigRevision: 1})
	answer.All = peer.All()
	table.Receive(m.now, answer)
}

func (m *mesh) rounds(n int) {
	for range n {
		m.now = m.now.Add(interval)
		for name, table := range m.tables {
			for _, peer := range table.ProbePeers() {
				m.exchange(name, peer.Name)
			}
			table.Expire(m.now, interval, true)
		}
	}
}

func (m *mesh) exchange(from, to string) {
	table, peer := m.tables[from], m.tables[to]
	if peer == nil || m.cut(from, to) {
		table.MarkSuspect(m.now, to)
		return
	}
	h := table.Compose(to, table.AckedIncarnation(to), PeerState{ConfigRevision: 1})
	peer.Receive(m.now, h)
	answer := peer.Compose(from, h.AckedIncarnation, PeerState{ConfigRevision: 1})
	if m.cut(to, from) {
		table.MarkSuspect(m.now, to)
		return
	}
	table.Receive(m.now, answer)
}

func (m *mesh) live(name string) []string {
	var names []string
	for _, member := range m.tables[name].View().Live {
		names = append(names, member.Name)
	}
	return names
}

func (m *mesh) requireLive(want ...string) {
	m.t.Helper()
	for name := range m.tables {
		require.Equal(m.t, want, m.live(name), "view of %s", name)
	}
}

func TestLostMemberIsRemovedEverywhere(t *testing.T) {
	m := newMesh(t, 4)
	m.rounds(5)
	m.requireLive("entry-0", "entry-1", "entry-2", "entry-3")
	delete(m.tables, "entry-3")
	m.rounds(12)
	m.requireLive("entry-0", "entry-1", "entry-2")
}

func TestOneWayCutDoesNotRemoveMember(t *testing.T) {
	m := newMesh(t, 5)
	m.rounds(5)
	// entry-1 cannot reach entry-0, but the others can, and entry-0 refutes the suspicion.
	m.cut = func(from, to string) bool { return from == "entry-1" && to == "entry-0" }
	for range 30 {
		m.rounds(1)
		require.Contains(t, m.live("entry-2"), "entry-0")
	}
}

func TestPausedMemberReturnsWithHigherIncarnation(t *testing.T) {
	m := newMesh(t, 4)
	m.rounds(5)
	paused := m.tables["entry-3"]
	delete(m.tables, "entry-3")
	m.rounds(12)
	m.requireLive("entry-0", "entry-1", "entry-2")
	m.tables["entry-3"] = paused
	before := paused.self.Incarnation
	m.rounds(30)
	require.Greater(t, paused.self.Incarnation, before, "it has refuted its removal")
	m.requireLive("entry-0", "entry-1", "entry-2", "entry-3")
}

func TestLeavingStatusReachesOtherMembers(t *testing.T) {
	m := newMesh(t, 4)
	m.rounds(5)
	m.tables["entry-2"].Leave()
	m.rounds(6)
	for _, member := range m.tables["entry-0"].View().Live {
		require.Equal(t, member.Name == "entry-2", member.Leaving, member.Name)
	}
}

func TestLeavingTargetsReachAllMembers(t *testing.T) {
	m := newMesh(t, 6)
	m.rounds(5)
	steps := [][]object.TargetName{{"engine-1", "engine-2"}, {"engine-2"}, {}}
	for _, targets := range steps {
		m.tables["entry-0"].SetLeaving(m.now, targets)
		m.rounds(6)
		for name, table := range m.tables {
			require.Equal(t, targets, table.LeavingTargets(), name)
		}
	}
}

func TestHeartbeatBytesDoNotGrowWithMembers(t *testing.T) {
	m := newMesh(t, 60)
	m.rounds(120)
	for name, table := range m.tables {
		for range maxShortcuts {
			for _, peer := range table.ProbePeers() {
				m.exchange(name, peer.Name) // Only the first heartbeat to a new neighbour contains the addresses.
				h := table.Compose(peer.Name, table.AckedIncarnation(peer.Name), PeerState{ConfigRevision: 1})
				require.Nil(t, h.Member, "%s to %s", name, peer.Name)
				require.Empty(t, h.Updates, "%s to %s", name, peer.Name)
			}
		}
	}
}

// TestNeighboursAreFewAndAllMembersAreProbed runs a fleet of hundreds of hosts for 20 rounds. Each
// host may have only a few neighbours at a time, and each member must be probed regularly.
func TestNeighboursAreFewAndAllMembersAreProbed(t *testing.T) {
	m := newZonedMesh(t, 295, 5)
	probes := map[string]int{}
	for range 2 * shortcutReplaceRounds {
		m.now = m.now.Add(interval)
		for name, table := range m.tables {
			for _, peer := range table.ProbePeers() {
				probes[peer.Name]++
				m.exchange(name, peer.Name)
			}
			require.LessOrEqual(t, len(table.neighbours.ring)+len(table.neighbours.shortcuts), zoneSuccessors+fleetSuccessors+maxShortcuts)
			table.Expire(m.now, interval, true)
		}
	}
	for name := range m.tables {
		require.GreaterOrEqual(t, probes[name], 2*shortcutReplaceRounds/2, "%s is probed every other interval on average", name)
		require.Len(t, m.live(name), 295)
	}
}

// TestFleetThatStartsAtOnceConverges starts all hosts at the same time with only the platform's
// list of hosts. No host may end up with a view of only a part of the fleet, such as its own
// availability zone.
func TestFleetThatStartsAtOnceConverges(t *testing.T) {
	for _, zones := range []int{1, 3, 5, 18} {
		t.Run(fmt.Sprint(zones, " zones"), func(t *testing.T) {
			m := newZonedMesh(t, 120, zones)
			syncers := map[string]*syncer{}
			for range 6 {
				m.roundWithSync(syncers)
			}
			for name := range m.tables {
				require.Len(t, m.live(name), 120, name)
			}
		})
	}
}

// TestNewHostProbesOtherZones checks how many of the listed members that a new host probes are in
// its own availability zone and how many are in others.
func TestNewHostProbesOtherZones(t *testing.T) {
	rows := []struct {
		name                 string
		sameZone, otherZones int
		wantSameZone         int
		wantOtherZones       int
	}{
		{"many of both", 20, 20, 2, 2},
		{"own zone only", 20, 0, 4, 0},
		{"other zones only", 0, 20, 0, 4},
		{"one in the own zone", 1, 20, 1, 3},
		{"one in another zone", 20, 1, 3, 1},
		{"few", 1, 1, 1, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			table := NewTable(board.Member{Name: "self", Zone: "a"}, 1)
			var listed []board.Member
			for i := range row.sameZone + row.otherZones {
				m := board.Member{Name: fmt.Sprint("entry-", i), Zone: "a", PeerURL: "http://p"}
				if i >= row.sameZone {
					m.Zone = "b"
				}
				listed = append(listed, m)
			}
			table.AddListed(time.Unix(1000, 0), listed)
			sameZone, otherZones := 0, 0
			for _, m := range table.UnconfirmedMembers(4) {
				if m.Zone == "a" {
					sameZone++
				} else {
					otherZones++
				}
			}
			require.Equal(t, row.wantSameZone, sameZone)
			require.Equal(t, row.wantOtherZones, otherZones)
		})
	}
}

// roundWithSync runs one round in which members also run an anti-entropy sync if their digests
// differ.
func (m *mesh) roundWithSync(syncers map[string]*syncer) {
	m.now = m.now.Add(interval)
	for name, table := range m.tables {
		if syncers[name] == nil {
			syncers[name] = &syncer{}
		}
		for _, peer := range table.ProbePeers() {
			m.exchange(name, peer.Name)
			peerTable := m.tables[peer.Name]
			if peerTable != nil && syncers[name].due(m.now, peerTable.Digest() == table.Digest(), true) {
				m.exchangeAll(name, peer.Name)
			}
		}
		table.Expire(m.now, interval, true)
	}
}

// TestPartitionedFleetMerges partitions the fleet until each part has declared the other dead.
// After the partition ends, all hosts must see all members again.
func TestPartitionedFleetMerges(t *testing.T) {
	m := newMesh(t, 20)
	syncers := map[string]*syncer{}
	side := func(name string) bool { return len(name) == len("entry-0") }
	m.cut = func(from, to string) bool { return side(from) != side(to) }
	for range 25 {
		m.roundWithSync(syncers)
	}
	for name := range m.tables {
		require.Len(t, m.live(name), 10, name)
	}
	m.cut = func(string, string) bool { return false }
	for range 40 {
		m.roundWithSync(syncers)
	}
	for name := range m.tables {
		require.Len(t, m.live(name), 20, name)
	}
}

// TestOnlyConnectedHostForgetsDeadMembers makes all other members fail. A host that is connected to
// the store removes them from the registered members. A host that is partitioned keeps them
// registered, because it must keep sharing its quotas with them.
func TestOnlyConnectedHostForgetsDeadMembers(t *testing.T) {
	for _, row := range []struct {
		name      string
		connected bool
		want      int
	}{
		{"connected", true, 1},
		{"partitioned", false, 4},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newMesh(t, 4)
			m.rounds(5)
			table := m.tables["entry-0"]
			m.tables = map[string]*Table{"entry-0": table}
			for range 100 {
				m.now = m.now.Add(interval)
				for _, peer := range table.ProbePeers() {
					table.MarkSuspect(m.now, peer.Name)
				}
				table.Expire(m.now, interval, row.connected)
			}
			require.Len(t, table.View().Live, 1)
			require.Equal(t, row.want, table.View().Registered)
		})
	}
}
