package soak

import (
	"fmt"
	"math/rand/v2"

	"redwinglock/platform/standin"
)

const (
	// mixedOdds says that in one in this many runs, targets of several versions serve side by side.
	mixedOdds = 2
	// mixedStream selects the random numbers of that, so that the faults of earlier seeds stay the same.
	mixedStream = 17
	// mixedTargets is the number of targets that start one after the other with the same version.
	mixedTargets = 3
	// maxJoined is the number of streams that may hold events of two versions.
	maxJoined = 2
)

// hasMixedVersions reports whether targets of several versions serve in a run.
func hasMixedVersions(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, mixedStream)).IntN(mixedOdds) == 0
}

// versionOf returns the version of the n-th target of a run. Targets that replace others get other versions, and the
// former ones return.
func versionOf(seed uint64, n int) string {
	if !hasMixedVersions(seed) {
		return ""
	}
	return fmt.Sprint(1 + n/mixedTargets%3)
}

// checkVersions finds streams with events of two versions, in one answer or over the attempts of a caller.
func checkVersions(r *Record) []string {
	began := map[string]standin.Run{} // By the id of the attempt that began the stream.
	origins := map[string]string{}
	for _, a := range r.attempts {
		if a.Resumes != "" {
			origins[a.ID] = a.Resumes
		}
	}
	var joined []string
	for _, run := range r.runs {
		route := r.routes[run.URI]
		if run.Events == 0 || !route.StreamResume {
			continue
		}
		id := run.RequestID
		if origin, isTakenUp := origins[id]; isTakenUp {
			id = origin
		}
		first, found := began[id]
		if !found {
			began[id] = run
			continue
		}
		if first.Version != run.Version {
			joined = append(joined, fmt.Sprintf("stream %s began at %s (version %s) and goes on as %s at %s (version %s)", id, first.Target, first.Version, run.RequestID, run.Target, run.Version))
		}
	}
	if r.olderHosts || len(joined) <= maxJoined {
		return nil
	}
	return joined
}
