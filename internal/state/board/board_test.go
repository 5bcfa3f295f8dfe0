package board

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

func TestConfigNeverGoesBack(t *testing.T) {
	b := New(Member{Name: "entry-1"})
	var writers sync.WaitGroup
	for i := range 50 {
		writers.Go(func() { b.SetConfig(&object.Snapshot{Revision: object.Revision(i%10 + 1)}) })
	}
	writers.Wait()
	require.Equal(t, object.Revision(10), b.Config().Revision)
	require.False(t, b.SetConfig(&object.Snapshot{Revision: 9}))
	require.False(t, b.SetConfig(&object.Snapshot{Revision: 10}))
	require.True(t, b.SetConfig(&object.Snapshot{Revision: 11}))
}

func newMembers(names ...string) *Members {
	m := &Members{Self: Member{Name: names[0]}}
	for _, name := range names {
		m.Live = append(m.Live, Member{Name: name})
	}
	return m
}

func anyMember(Member) bool { return true }

func TestOnlyPoolsOfARemovedHostChangeOwner(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	before, after := newMembers(names...), newMembers(names[:19]...)
	poolCounts := map[string]int{}
	for i := range 400 {
		pool := object.PoolName(fmt.Sprint("pool-", i))
		owner := before.Owner(pool, nil, anyMember)
		poolCounts[owner.Name]++
		if owner.Name != "entry-19" {
			require.Equal(t, owner, after.Owner(pool, nil, anyMember), "a pool of another host keeps its owner")
		}
	}
	for _, name := range names {
		require.InDelta(t, 20, poolCounts[name], 18, name)
	}
}

func TestLeavingAndUnusableMembersOwnNothing(t *testing.T) {
	m := newMembers("a", "b", "c")
	m.Live[1].Leaving = true
	for i := range 50 {
		owner := m.Owner(object.PoolName(fmt.Sprint(i)), nil, func(m Member) bool { return m.Name != "c" })
		require.Equal(t, "a", owner.Name)
	}
}

func TestOwnerIsNearThePool(t *testing.T) {
	m := newMembers("a", "b", "c", "d")
	for i, zone := range []object.Zone{"sofia", "sofia", "kigali", "kigali"} {
		m.Live[i].Zone = zone
	}
	kigali := map[object.Zone]bool{"kigali": true}
	owners := map[string]bool{}
	for i := range 50 {
		pool := object.PoolName(fmt.Sprint(i))
		owners[m.Owner(pool, kigali, anyMember).Name] = true
		outside := m.Owner(pool, kigali, func(m Member) bool { return m.Zone != "kigali" })
		require.Equal(t, object.Zone("sofia"), outside.Zone, "a host outside the zones of the pool if none inside is usable")
	}
	require.Equal(t, map[string]bool{"c": true, "d": true}, owners)
}

func TestHostsAgreeOnSelectedMembers(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	chosen := 0
	for i := range names {
		m := newMembers(names...)
		m.Self = m.Live[i]
		if m.IsSelected("duty", 3) {
			chosen++
		}
	}
	require.Equal(t, 3, chosen)
}

// TestHostsWithWideLinksAreSelectedFirst selects hosts for a task that moves much data. Hosts of an earlier build do not
// tell their links.
func TestHostsWithWideLinksAreSelectedFirst(t *testing.T) {
	tests := []struct {
		name    string
		links   map[string]float64
		leaving string
		want    []string // Names that must be selected; further ones are any others.
	}{
		{"no link is known", map[string]float64{}, "", nil},
		{"enough wide links", map[string]float64{"a": 200, "b": 200, "c": 150, "d": 10, "e": 10, "f": 10}, "", []string{"a", "b", "c"}},
		{"few wide links", map[string]float64{"a": 10, "b": 10, "c": 10, "d": 10, "e": 10, "f": 200}, "", []string{"f"}},
		{"the only wide link is leaving", map[string]float64{"a": 10, "b": 10, "c": 10, "d": 10, "e": 10, "f": 200}, "f", nil},
		{"some links are not known", map[string]float64{"a": 200, "b": 200}, "", []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			names := []string{"a", "b", "c", "d", "e", "f"}
			var selected []string
			for i := range names {
				m := newMembers(names...)
				for k := range m.Live {
					m.Live[k].LinkMbps = test.links[m.Live[k].Name]
					m.Live[k].Leaving = m.Live[k].Name == test.leaving
				}
				m.Self = m.Live[i]
				if !m.Self.Leaving && m.IsSelectedByLink("duty", 3) {
					selected = append(selected, m.Self.Name)
				}
			}
			require.Len(t, selected, 3)
			require.Subset(t, selected, test.want)
		})
	}
}

func TestChangedIsClosedByEachChange(t *testing.T) {
	b := New(Member{Name: "a"})
	changes := []func(){
		func() { b.SetConfig(&object.Snapshot{Revision: 1}) },
		func() { b.SetMembers(newMembers("a")) },
		func() { b.SetHosts(&Hosts{}) },
		b.SetStopping,
	}
	for _, change := range changes {
		changed := b.Changed()
		change()
		<-changed
	}
}

func TestOwnerHasEnoughCapacity(t *testing.T) {
	m := &Members{Self: Member{Name: "weak-0", Capacity: 0.2}}
	for i := range 5 {
		m.Live = append(m.Live, Member{Name: fmt.Sprint("weak-", i), Capacity: 0.2}, Member{Name: fmt.Sprint("strong-", i), Capacity: 0.75})
	}
	m.Live = append(m.Live, Member{Name: "strongest", Capacity: 0.8})
	for i := range 50 {
		owner := m.Owner(object.PoolName(fmt.Sprint("pool-", i)), nil, func(Member) bool { return true })
		require.Greater(t, owner.Capacity, 0.5)
	}
}
