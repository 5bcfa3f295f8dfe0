package discovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

// TestCurrentRolloutIsTheNewestOrderOrRecord checks that the newest order decides: its record is
// current if there is one, otherwise the order itself.
func TestCurrentRolloutIsTheNewestOrderOrRecord(t *testing.T) {
	order := func(revision store.Position, to object.Generation) *object.Rollout {
		return &object.Rollout{Pool: "p", To: to, OrderRevision: revision, State: object.RolloutOrdered}
	}
	record := func(of store.Position, to object.Generation, state object.RolloutState) *object.Rollout {
		return &object.Rollout{Pool: "p", To: to, OrderRevision: of, State: state, RecordRevision: 50}
	}
	rows := []struct {
		name          string
		order, record *object.Rollout
		state         object.RolloutState
		to            object.Generation
	}{
		{"ordered", order(5, "v2"), nil, object.RolloutOrdered, "v2"},
		{"running", order(5, "v2"), record(5, "v2", object.RolloutRunning), object.RolloutRunning, "v2"},
		{"ended", order(5, "v2"), record(5, "v2", object.RolloutRolledBack), object.RolloutRolledBack, "v2"},
		{"ordered again after its end", order(9, "v2"), record(5, "v2", object.RolloutRolledBack), object.RolloutOrdered, "v2"},
		{"a later version", order(9, "v3"), record(5, "v2", object.RolloutCompleted), object.RolloutOrdered, "v3"},
		{"record of a newer order that has not arrived", order(5, "v2"), record(9, "v3", object.RolloutRunning), object.RolloutRunning, "v3"},
		{"record without an order", nil, record(5, "v2", object.RolloutCompleted), object.RolloutCompleted, "v2"},
	}
	targets := map[string]*object.Target{
		"a": {Name: "a", Pool: "p", Generation: "v1"}, "b": {Name: "b", Pool: "p", Generation: "v2"}, "c": {Name: "c", Pool: "q", Generation: "v9"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newRollouts()
			if row.order != nil {
				r.orders["p"] = row.order
			}
			if row.record != nil {
				r.records["p"] = row.record
			}
			got := r.current(targets)
			require.Len(t, got, 1)
			require.Equal(t, row.state, got[0].State)
			require.Equal(t, row.to, got[0].To)
			if row.state == object.RolloutOrdered && row.to == "v2" {
				require.Equal(t, []object.Generation{"v1"}, got[0].From)
			}
		})
	}
}

// TestEndedRolloutDrainsTheUnusedVersion checks that a completed rollout drains the previous
// version and a rolled back one the new version, although the targets are not registered as
// draining.
func TestEndedRolloutDrainsTheUnusedVersion(t *testing.T) {
	rows := []struct {
		state  object.RolloutState
		drains map[object.Generation]bool
	}{
		{object.RolloutOrdered, map[object.Generation]bool{}},
		{object.RolloutRunning, map[object.Generation]bool{}},
		{object.RolloutCompleted, map[object.Generation]bool{"v1": true}},
		{object.RolloutRolledBack, map[object.Generation]bool{"v2": true}},
	}
	for _, row := range rows {
		t.Run(string(row.state), func(t *testing.T) {
			snapshot, err := object.Compile(1, "", []object.Object{&object.Pool{Name: "p", Type: object.ServicePool, Discovered: true}})
			require.NoError(t, err)
			var targets []*object.Target
			for _, version := range []object.Generation{"v1", "v2", "v3"} {
				targets = append(targets, &object.Target{Name: object.TargetName(version), Pool: "p", Generation: version})
			}
			rollout := &object.Rollout{Pool: "p", To: "v2", From: []object.Generation{"v1"}, State: row.state}
			for _, target := range snapshot.WithTargets(1, targets).WithRollouts([]*object.Rollout{rollout}).Pool("p").Targets {
				require.Equal(t, row.drains[target.Generation], target.Drain, target.Name)
			}
			require.False(t, targets[0].Drain, "the discovered targets are not modified")
		})
	}
}
