package soak

import (
	"fmt"
	"time"

	"redwinglock/platform/standin"
)

// manyLost is how many requests a host in touch may lose.
const manyLost = 3

func checkLost(r *Record) []string {
	lost := map[string][]string{}
	runs := r.runsByID()
	for _, a := range r.attempts {
		if a.Status != 0 || a.Err == nil || !a.Left.IsZero() || a.Ended.Sub(a.Sent) >= a.Given || !r.isInTouch(a.Address, a.Sent, a.Ended) {
			continue
		}
		if n := len(runs[a.ID]); n > 0 && r.ranSoundly(a, runs[a.ID][n-1]) {
			lost[a.Address] = append(lost[a.Address], describe(a))
		}
	}
	var broken []string
	for _, texts := range lost {
		if len(texts) > manyLost {
			broken = append(broken, texts...)
		}
	}
	return broken
}

// ranSoundly reports whether neither the target nor the way to it was disturbed during an
// attempt.
func (r *Record) ranSoundly(a *standin.Attempt, run standin.Run) bool {
	return !run.FaultInjected && r.isSound(run.Target, a.Sent.Add(-contactTime), a.Ended)
}

// checkStops looks at requests that were under way at a host when it was told to stop, with
// nothing else disturbed.
func checkStops(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	for _, a := range r.attempts {
		stopping := overlaps(r.stops[a.Address], a.Sent, a.Ended)
		disturbed := overlaps(r.hosts[a.Address], a.Sent.Add(-contactTime), a.Ended) || overlaps(r.store, a.Sent.Add(-contactTime), a.Ended)
		if !stopping || disturbed || a.Err == nil || !a.Left.IsZero() || a.Ended.Sub(a.Sent) >= a.Given {
			continue
		}
		for _, run := range runs[a.ID] {
			if r.ranSoundly(a, run) {
				broken = append(broken, describe(a))
				break
			}
		}
	}
	return broken
}

// fewEnds is how many requests are too few to judge.
const fewEnds = 8

func checkEnds(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	left, working, timed, late := 0, 0, 0, 0
	for _, a := range r.attempts {
		if !r.isInTouch(a.Address, a.Sent, a.Ended.Add(leaveTime)) {
			continue
		}
		for _, run := range runs[a.ID] {
			if a.Left.IsZero() || runsOnce(r, a.Kind) || run.Ended.Before(a.Left) && !run.Ended.IsZero() {
				continue
			}
			left++
			if run.Ended.IsZero() || run.Ended.Sub(a.Left) > leaveTime {
				working++
			}
		}
		timeout := time.Duration(r.routes[a.Kind.Path].TimeoutMS) * time.Millisecond
		if took := a.Ended.Sub(a.Sent); timeout > 0 && timeout < a.Given && took > timeout {
			timed++
			if took > timeout+leaveTime {
				late++
			}
		}
	}
	if left >= fewEnds && working*4 > left {
		broken = append(broken, fmt.Sprintf("%d of %d targets still worked for callers that had left", working, left))
	}
	if timed >= fewEnds && late*2 > timed {
		broken = append(broken, fmt.Sprintf("%d of %d requests had no answer at the timeout of their route", late, timed))
	}
	return broken
}

// recoveredShare is the share of requests that must be served once all faults have ended.
const recoveredShare = 0.9

func checkRecovery(r *Record) []string {
	sent, served := 0, 0
	for _, a := range r.attempts {
		owed := a.Kind.Name != probeKind && a.Kind.Name != floodKind && a.Kind.Name != slowKind
		if a.Sent.Before(r.calmFrom) || !owed || !a.Left.IsZero() {
			continue
		}
		sent++
		if a.Succeeded() {
			served++
		}
	}
	if sent == 0 || float64(served) < recoveredShare*float64(sent) {
		return []string{fmt.Sprintf("%d of %d requests served after the last fault", served, sent)}
	}
	return nil
}
