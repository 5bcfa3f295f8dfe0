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

func newMesh(t *testing.T, size int) *mesh {
	m := &mesh{t: t, now: time.Unix(1000, 0), tables: map[string]*Table{}, cut: func(string, string) bool { return false }}
	var members []board.Member
	for i := range size {
		name := fmt.Sprintf("entry-%d", i)
		members = append(members, board.Member{Name: name, PeerURL: "http://" + name})
	}
	for i, member := range members {
		m.tables[member.Name] = NewTable(member, uint64(i+1))
		m.tables[member.Name].List(m.now, members)
	}
	return m
}

func (m *mesh) rounds(n int) {
	for range n {
		m.now = m.now.Add(interval)
		for name, table := range m.tables {
			for _, target := range table.Targets() {
				m.exchange(name, target.Name)
			}
			table.Expire(m.now, interval)
		}
	}
}

func (m *mesh) exchange(from, to string) {
	table, peer := m.tables[from], m.tables[to]
	if peer == nil || m.cut(from, to) {
		table.Fail(m.now, to)
		return
	}
	h := table.Compose(to, table.Knows(to), Knowledge{Config: 1})
	peer.Receive(m.now, h)
	answer := peer.Compose(from, h.Knows, Knowledge{Config: 1})
	if m.cut(to, from) {
		table.Fail(m.now, to)
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
	// Entry-1 cannot reach entry-0, but others can, and entry-0 refutes the suspicion.
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
	require.Greater(t, paused.self.Incarnation, before, "it learned that it was removed")
	m.requireLive("entry-0", "entry-1", "entry-2", "entry-3")
}

func TestLeavingMemberIsKnownAsLeaving(t *testing.T) {
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
		h := table.Compose("entry-0", table.Knows("entry-0"), Knowledge{Config: 1})
		if name != "entry-0" {
			require.Nil(t, h.Member, name)
			require.Empty(t, h.Rumours, name)
		}
	}
}
