package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

// setVersions gives the targets of a site the versions, in their order.
func (s *site) setVersions(versions ...object.Generation) {
	config := s.board.Config()
	var targets []*object.Target
	for i, t := range config.Pool("p").Targets {
		next := *t
		next.Generation = versions[i]
		targets = append(targets, &next)
	}
	s.board.SetConfig(testSnapshot(s.t).WithTargets(config.TargetRevision+1, targets))
}

// breaksOnce breaks a new stream off after its third event, and sends the rest of one that goes on.
func breaksOnce(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last-Event") == "" {
		events(1, 3, true)(w, r)
		return
	}
	events(4, 6, false)(w, r)
}

// TestStreamGoesOnAtItsVersionInOneAnswer guards against an answer that is joined from the events of two software versions
// (issue 60, ORDER).
func TestStreamGoesOnAtItsVersionInOneAnswer(t *testing.T) {
	rows := []struct {
		name     string
		versions []object.Generation
		runs     []int
	}{
		{"one version", []object.Generation{"v1", "v1", "v1"}, []int{1, 1, 0}},
		{"a target of the version is left", []object.Generation{"v1", "v2", "v1"}, []int{1, 0, 1}},
		{"no target of the version is left", []object.Generation{"v1", "v2", "v2"}, []int{1, 0, 0}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, breaksOnce, breaksOnce, breaksOnce)
			s.setVersions(row.versions...)
			got := s.send("POST", "/resumed/x", "prompt", "Left-Ms", "2500")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, row.runs, s.runs())
			if len(row.runs) > 0 && row.runs[1]+row.runs[2] == 0 {
				require.Error(t, got.err, "the answer is broken off")
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, wholeStream(6), got.body)
		})
	}
}

// TestStreamIsTakenUpAtItsVersion guards against the same over two requests of a caller.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	rows := []struct {
		name string
		// begun are the versions when the stream begins, later those when its caller takes it up.
		begun, later []object.Generation
		resumes      string
		status       int
	}{
		{"one version", []object.Generation{"v1", "v1", "v1"}, []object.Generation{"v1", "v1", "v1"}, "first", http.StatusOK},
		{"a target of its version serves", []object.Generation{"v1", "v2", "v2"}, []object.Generation{"v2", "v2", "v1"}, "first", http.StatusOK},
		{"only its own target", []object.Generation{"v1", "v2", "v2"}, []object.Generation{"v1", "v2", "v2"}, "first", http.StatusOK},
		{"none of its version", []object.Generation{"v1", "v2", "v2"}, []object.Generation{"v2", "v2", "v2"}, "first", http.StatusServiceUnavailable},
		{"all were replaced", []object.Generation{"v1", "v1", "v1"}, []object.Generation{"v2", "v2", "v2"}, "first", http.StatusServiceUnavailable},
		{"back to the former name", []object.Generation{"v1", "v2", "v3"}, []object.Generation{"v3", "v1", "v3"}, "first", http.StatusOK},
		{"another stream of the same caller", []object.Generation{"v1", "v2", "v2"}, []object.Generation{"v1", "v2", "v2"}, "none", http.StatusServiceUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, breaksOnce, breaksOnce, breaksOnce)
			s.setVersions(row.begun...)
			first := s.send("POST", "/once/x", "prompt", "Id", "first")
			require.Error(t, first.err)
			began := slices.Index(s.runs(), 1)
			s.setVersions(row.later...)
			before := s.runs()
			got := s.send("POST", "/once/x", "prompt", "Id", "second", "Last-Event", "3", "Resumes", row.resumes, "Left-Ms", "2500")
			require.Equal(t, row.status, got.status)
			for i, runs := range s.runs() {
				require.True(t, runs == before[i] || row.later[i] == row.begun[began], "target %d", i)
			}
			if row.status != http.StatusOK {
				require.Contains(t, got.body, "not-run")
				require.Equal(t, before, s.runs())
			}
		})
	}
}

// TestUnknownStreamIsNotContinued takes up streams of which nobody knows the version while two versions serve.
func TestUnknownStreamIsNotContinued(t *testing.T) {
	rows := []struct {
		name     string
		versions []object.Generation
		resumes  []string
		status   int
	}{
		{"of one version", []object.Generation{"v1", "v1"}, []string{"Resumes", "unknown"}, http.StatusOK},
		{"of two versions", []object.Generation{"v1", "v2"}, []string{"Resumes", "unknown"}, http.StatusServiceUnavailable},
		{"of two versions, without its id", []object.Generation{"v1", "v2"}, nil, http.StatusServiceUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, events(4, 6, false), events(4, 6, false))
			s.setVersions(row.versions...)
			start := time.Now()
			got := s.send("POST", "/resumed/x", "prompt", append([]string{"Last-Event", "3"}, row.resumes...)...)
			require.Equal(t, row.status, got.status)
			require.Less(t, time.Since(start), time.Second)
			if row.status != http.StatusOK {
				require.Equal(t, []int{0, 0}, s.runs())
				require.Contains(t, got.body, "not-run")
			}
		})
	}
}
