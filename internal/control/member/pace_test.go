package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
)

// lateFor is a time in which timers are late by some span.
type lateFor struct {
	lateness, lasting time.Duration
}

func TestPaceOfAHost(t *testing.T) {
	const ms = time.Millisecond
	rows := []struct {
		name  string
		spans []lateFor
		slow  bool
	}{
		{"calm", []lateFor{{ms, time.Minute}}, false},
		{"weak host under load", []lateFor{{15 * ms, time.Minute}}, false},
		{"slow", []lateFor{{ms, time.Second}, {60 * ms, time.Second}}, true},
		{"one long pause", []lateFor{{ms, time.Second}, {5 * time.Second, paceInterval}, {ms, time.Second}}, false},
		{"slow, calm for a moment", []lateFor{{60 * ms, time.Second}, {ms, 2 * time.Second}}, true},
		{"slow, then calm", []lateFor{{60 * ms, time.Second}, {ms, 5 * time.Second}}, false},
		{"slow by turns", []lateFor{{60 * ms, time.Second}, {ms, 2 * time.Second}, {60 * ms, time.Second}, {ms, 2 * time.Second}}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var p pace
			now := time.Unix(1000, 0)
			for _, span := range row.spans {
				for end := now.Add(span.lasting); now.Before(end); {
					now = now.Add(paceInterval)
					p.note(now, span.lateness)
				}
			}
			require.Equal(t, row.slow, p.slow)
		})
	}
}

// TestSlowHostIsKnownEverywhere lets a strong host announce that it has turned slow: all others
// take the role of arbiter from it.
func TestSlowHostIsKnownEverywhere(t *testing.T) {
	m := newMesh(t, 12)
	for _, table := range m.tables {
		table.SetCapacity(0.8)
	}
	m.rounds(12)
	view := m.tables["entry-0"].View()
	owner := view.Owner(board.SharedDuty, nil, func(board.Member) bool { return true })
	m.tables[owner.Name].SetCapacity(0.8 * slowCapacity)
	m.rounds(8)
	for name, table := range m.tables {
		next := table.View().Owner(board.SharedDuty, nil, func(board.Member) bool { return true })
		require.NotEqual(t, owner.Name, next.Name, name)
		require.Len(t, table.View().Live, 12)
	}
}
