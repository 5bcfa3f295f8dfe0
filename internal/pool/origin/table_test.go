package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

const testLife = 40 * time.Second

func versions(names ...object.Generation) []object.Generation { return names }

// TestUnknownStreamIsOfTheOnlyVersion changes the versions of a pool and asks for a stream that nobody has recorded.
func TestUnknownStreamIsOfTheOnlyVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	rows := []struct {
		name    string
		events  func(table *Table)
		version object.Generation
		known   bool
	}{
		{"nothing is known", func(*Table) {}, "", false},
		{"one version", func(table *Table) { table.Serve(start, testLife, versions("v1", "v1")) }, "v1", true},
		{"two serve", func(table *Table) { table.Serve(start, testLife, versions("v1", "v2")) }, "", false},
		{"the first has just ended", func(table *Table) {
			table.Serve(start, testLife, versions("v1"))
			table.Serve(start.Add(time.Second), testLife, versions("v2"))
		}, "", false},
		{"the first ended long ago", func(table *Table) {
			table.Serve(start.Add(-3*testLife), testLife, versions("v1"))
			table.Serve(start.Add(-2*testLife-time.Second), testLife, versions("v2"))
		}, "v2", true},
		{"a version returns", func(table *Table) {
			table.Serve(start, testLife, versions("v1"))
			table.Serve(start, testLife, versions("v2"))
			table.Serve(start, testLife, versions("v1"))
		}, "", false},
		{"all targets are gone", func(table *Table) {
			table.Serve(start, testLife, versions("v1"))
			table.Serve(start, testLife, nil)
		}, "", false},
		{"the store knows another that served before all hosts ended", func(table *Table) {
			table.LearnVersions(start, []VersionRecord{{Version: "v1"}})
			table.Serve(start, testLife, versions("v2"))
		}, "", false},
		{"the store knows the same one", func(table *Table) {
			table.LearnVersions(start, []VersionRecord{{Version: "v2"}})
			table.Serve(start, testLife, versions("v2"))
		}, "v2", true},
		{"the store knows one that ended long ago", func(table *Table) {
			table.LearnVersions(start, []VersionRecord{{Version: "v2"}, {"v1", start.Add(-3 * testLife).UnixMilli()}})
			table.Serve(start, testLife, versions("v2"))
		}, "v2", true},
		{"a target of another version is granted before its entry is read", func(table *Table) {
			table.Serve(start, testLife, versions("v1"))
			table.Record(start, 8, "v2")
		}, "", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			table := NewTable()
			row.events(table)
			version, known := table.VersionOf(start.Add(2*time.Second), 7)
			require.Equal(t, row.known, known)
			require.Equal(t, row.version, version)
		})
	}
}

// TestStreamsAreStoredWhileVersionsAreMixed moves what one host has recorded to another one over the store.
func TestStreamsAreStoredWhileVersionsAreMixed(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Serve(now, testLife, versions("v1"))
	table.Record(now, 1, "v1")
	require.Empty(t, table.TakeUnstored(now), "any stream is of the only version")
	table.Serve(now, testLife, versions("v1", "v2"))
	table.Record(now, 2, "v2")
	stored := table.TakeUnstored(now)
	require.ElementsMatch(t, []Batch{{"v1", []wire.StreamID{1}}, {"v2", []wire.StreamID{2}}}, stored, "those from before, too")
	require.Empty(t, table.TakeUnstored(now))
	table.Return(stored)
	require.Len(t, table.TakeUnstored(now), 2, "after a failed write")

	next := NewTable()
	next.LearnVersions(now, table.Versions(now))
	for _, b := range stored {
		next.Learn(now, b)
	}
	next.Serve(now, testLife, versions("v2"))
	for stream, want := range map[wire.StreamID]object.Generation{1: "v1", 2: "v2"} {
		version, known := next.VersionOf(now, stream)
		require.True(t, known)
		require.Equal(t, want, version)
	}
	require.Empty(t, next.TakeUnstored(now), "what was read is not written again")
}

// TestStreamMovesToAnotherTargetBeforeItsFirstEvent records the target of the latest grant.
func TestStreamMovesToAnotherTargetBeforeItsFirstEvent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Serve(now, testLife, versions("v1", "v2"))
	table.Record(now, 1, "v1")
	table.Record(now, 1, "v2")
	version, _ := table.VersionOf(now, 1)
	require.Equal(t, object.Generation("v2"), version)
	require.Equal(t, []Batch{{"v2", []wire.StreamID{1}}}, table.TakeUnstored(now))
}

// TestStreamsAreForgotten bounds the memory by the time for which streams may be continued.
func TestStreamsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Serve(now, testLife, versions("v1", "v2"))
	for i := range 1000 {
		now = now.Add(time.Second)
		table.Record(now, wire.StreamID(i+1), "v1")
		require.LessOrEqual(t, len(table.current.begun)+len(table.previous.begun), int(2*testLife.Seconds())+2)
		version, known := table.VersionOf(now, wire.StreamID(max(i-int(testLife.Seconds())+2, 1)))
		require.True(t, known)
		require.Equal(t, object.Generation("v1"), version)
	}
}

func TestFirstStreamsSplitsBatches(t *testing.T) {
	split := FirstStreams([]Batch{{"v1", []wire.StreamID{1, 2, 3}}, {"v2", []wire.StreamID{4}}}, 2)
	require.Equal(t, []Batch{{"v1", []wire.StreamID{1, 2}}}, split.Taken)
	require.Equal(t, []Batch{{"v1", []wire.StreamID{3}}, {"v2", []wire.StreamID{4}}}, split.Left)
}
