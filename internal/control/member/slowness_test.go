package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
)

// latePeriod is a period in which timers are late by a constant amount.
type latePeriod struct {
	lateness, duration time.Duration
}

func TestSlownessDetector(t *testing.T) {
	const ms = time.Millisecond
	rows := []struct {
		name    string
		periods []latePeriod
		slow    bool
	}{
		{"normal", []latePeriod{{ms, time.Minute}}, false},
		{"weak host under load", []latePeriod{{15 * ms, time.Minute}}, false},
		{"slow", []latePeriod{{ms, time.Second}, {60 * ms, time.Second}}, true},
		{"one long pause", []latePeriod{{ms, time.Second}, {5 * time.Second, sampleInterval}, {ms, time.Second}}, false},
		{"slow, briefly normal", []latePeriod{{60 * ms, time.Second}, {ms, 2 * time.Second}}, true},
		{"slow, then normal", []latePeriod{{60 * ms, time.Second}, {ms, 5 * time.Second}}, false},
		{"alternately slow and normal", []latePeriod{{60 * ms, time.Second}, {ms, 2 * time.Second}, {60 * ms, time.Second}, {ms, 2 * time.Second}}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var detector slownessDetector
			now := time.Unix(1000, 0)
			for _, period := range row.periods {
				for end := now.Add(period.duration); now.Before(end); {
					now = now.Add(sampleInterval)
					detector.addSample(now, period.lateness)
				}
			}
			require.Equal(t, row.slow, detector.slow)
		})
	}
}

// TestSlowHostLosesArbiterRoleOnAllHosts makes the chosen arbiter announce the capacity of a slow
// host. All hosts must then choose another arbiter and keep the slow host as a live member.
func TestSlowHostLosesArbiterRoleOnAllHosts(t *testing.T) {
	m := newMesh(t, 12)
	for _, table := range m.tables {
		table.SetCapacity(0.8)
	}
	m.rounds(12)
	view := m.tables["entry-0"].View()
	owner := view.Owner(board.DiscoveredPools, nil, func(board.Member) bool { return true })
	m.tables[owner.Name].SetCapacity(0.8 * slowCapacity)
	m.rounds(8)
	for name, table := range m.tables {
		next := table.View().Owner(board.DiscoveredPools, nil, func(board.Member) bool { return true })
		require.NotEqual(t, owner.Name, next.Name, name)
		require.Len(t, table.View().Live, 12)
	}
}
