package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/peer/wire"
)

func TestServerLeavingHoldsForOneRunOfATarget(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := []struct {
		name      string
		notices   []wire.TargetNotice
		startedMS int64
		want      bool
	}{
		{"no notice", nil, 5, false},
		{"it leaves", []wire.TargetNotice{{Target: "t", StartedMS: 5, Leaving: true}}, 5, true},
		{"it has started again since", []wire.TargetNotice{{Target: "t", StartedMS: 5, Leaving: true}}, 6, false},
		{"another target leaves", []wire.TargetNotice{{Target: "u", StartedMS: 5, Leaving: true}}, 5, false},
		{"a later notice does not take it back", []wire.TargetNotice{{Target: "t", StartedMS: 5, Leaving: true}, {Target: "t", StartedMS: 5, QuietMS: 1}}, 5, true},
		{"a notice of the run before comes late", []wire.TargetNotice{{Target: "t", StartedMS: 6}, {Target: "t", StartedMS: 5, Leaving: true}}, 6, false},
		{"another target has the address", []wire.TargetNotice{{Target: "t", StartedMS: 5, Moved: true}}, 5, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var b *Book
			for _, n := range row.notices {
				b = b.With(now, n)
			}
			require.Equal(t, row.want, b.State("t", row.startedMS).Closed())
		})
	}
}

func TestTargetRetryAfterEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := []struct {
		name    string
		quietMS []int64
		want    time.Duration
	}{
		{"one", []int64{1500}, 1500 * time.Millisecond},
		{"a shorter one does not end it", []int64{1500, 200}, 1500 * time.Millisecond},
		{"a longer one extends it", []int64{200, 1500}, 1500 * time.Millisecond},
		{"hours are bounded", []int64{48 * 3600 * 1000}, MaxQuiet},
		{"negative is none", []int64{-5}, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var b *Book
			for _, ms := range row.quietMS {
				b = b.With(now, wire.TargetNotice{Target: "t", QuietMS: ms})
			}
			state := b.State("t", 0)
			require.Equal(t, row.want == 0, state.Open(now))
			require.True(t, state.Open(now.Add(row.want)))
			if row.want > 0 {
				require.False(t, state.Open(now.Add(row.want-time.Millisecond)))
			}
		})
	}
}

func TestNoticesAreForgottenInTheEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	var b *Book
	b = b.With(now, wire.TargetNotice{Target: "t", Leaving: true})
	b = b.With(now.Add(keepFor+time.Second), wire.TargetNotice{Target: "u", Leaving: true})
	require.Len(t, b.byTarget, 1)
}

func TestNoticeIsPassedOnWhileItHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	var b *Book
	b = b.With(now, wire.TargetNotice{Target: "t", StartedMS: 7, QuietMS: 1000})
	n, holds := b.Notice(now.Add(400*time.Millisecond), "t", 7)
	require.True(t, holds)
	require.Equal(t, wire.TargetNotice{Target: "t", StartedMS: 7, QuietMS: 600}, n)
	_, holds = b.Notice(now.Add(time.Second), "t", 7)
	require.False(t, holds)
}
