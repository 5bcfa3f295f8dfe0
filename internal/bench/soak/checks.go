package soak

import (
	"fmt"
	"net/http"
	"time"

	"redwinglock/platform/standin"
)

// checks are the guarantees of the system. Each check returns a description of every violation.
var checks = []struct {
	name  string
	check func(*Record) []string
}{
	{"answers are complete, unchanged and belong to their request", checkAnswers},
	{"events are complete and in order", checkEvents},
	{"streams go on at the version that began them", checkVersions},
	{"targets get what callers sent", checkRequests},
	{"non-idempotent requests run at most once", checkSingleExecution},
	{"refused requests have not run", checkRefusals},
	{"requests keep to their maximum attempts and their deadline", checkAttempts},
	{"draining targets get no new requests", checkDrains},
	{"configuration becomes active in time and is not replaced by an older one", checkConfig},
	{"known routes and keys are not denied", checkDenials},
	{"quotas hold", checkQuotas},
	{"the retry budget holds", checkRetryBudget},
	{"rate limits of targets hold", checkRateLimits},
	{"prompts that crash targets are held back", checkPoison},
	{"a request that crashes targets is held back", checkReturning},
	{"hosts without a fault answer what they passed on", checkLostAnswers},
	{"planned stops cut nothing", checkPlannedStops},
	{"work ends when the caller disconnects or the timeout expires", checkCancellation},
	{"service recovers", checkRecovery},
}

// Check returns all violations: those seen while the site ran and those found by the checks.
func (r *Record) Check() []string {
	broken := append([]string(nil), r.violations...)
	for _, c := range checks {
		for _, text := range c.check(r) {
			broken = append(broken, c.name+": "+text)
		}
	}
	return broken
}

func describe(a *standin.Attempt) string {
	return fmt.Sprintf("%s %s at %s, sent %s, status %d after %d ms, error %v",
		a.Kind.Name, a.ID, a.Address, a.Sent.Format("15:04:05.000"), a.Status, a.Ended.Sub(a.Sent).Milliseconds(), a.Err)
}

func checkAnswers(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	for _, a := range r.attempts {
		if a.Status == 0 || a.Seal == "" {
			if a.Status >= 200 && a.Status < 300 {
				broken = append(broken, "success without a seal: "+describe(a))
			}
			continue
		}
		sealed := false
		for _, run := range runs[a.ID] {
			sealed = sealed || run.Seal == a.Seal && run.Status == a.Status
		}
		if !sealed || a.ResponseID != a.ID {
			broken = append(broken, "seal or status matches no run: "+describe(a))
		}
		if a.Status == http.StatusOK && a.Whole && !a.Kind.IsStream() && a.Content != standin.Answer(a.ID, len(a.Content)) {
			broken = append(broken, "body differs: "+describe(a))
		}
		if a.Status == http.StatusOK && a.Whole && !a.Kind.IsStream() && len(a.Content) != answerBytes {
			broken = append(broken, fmt.Sprintf("body has %d bytes: %s", len(a.Content), describe(a)))
		}
	}
	return broken
}

func checkEvents(r *Record) []string {
	var broken []string
	for _, a := range r.attempts {
		if !a.Kind.IsStream() || a.Status != http.StatusOK {
			continue
		}
		if a.BadEvent != "" {
			broken = append(broken, fmt.Sprintf("event %q: %s", a.BadEvent, describe(a)))
		}
		for i, number := range a.Events {
			if expected := a.After + i + 1; number != expected {
				broken = append(broken, fmt.Sprintf("event %d instead of %d: %s", number, expected, describe(a)))
				break
			}
		}
		if expected := standin.Events(a.Kind.OutputTokens, r.tokensPerEvent) - a.After; a.Whole && len(a.Events) != expected {
			broken = append(broken, fmt.Sprintf("complete after %d of %d events: %s", len(a.Events), expected, describe(a)))
		}
	}
	return broken
}

func checkRequests(r *Record) []string {
	var broken []string
	attempts := r.attemptsByID()
	for _, run := range r.runs {
		a := attempts[run.RequestID]
		switch {
		case a == nil:
			broken = append(broken, fmt.Sprintf("no caller sent request %q", run.RequestID))
		case run.Method != http.MethodPost || run.URI != a.Kind.Path || run.Body != a.Body:
			broken = append(broken, "method, path or body changed: "+describe(a))
		case run.Tenant != r.accounts[a.Kind.Key]:
			broken = append(broken, fmt.Sprintf("account %q: %s", run.Tenant, describe(a)))
		case len(run.ForbiddenHeaders) > 0:
			broken = append(broken, fmt.Sprintf("headers %v reached the target: %s", run.ForbiddenHeaders, describe(a)))
		case run.Service != a.Kind.Service:
			broken = append(broken, fmt.Sprintf("service %s: %s", run.Service, describe(a)))
		}
	}
	return broken
}

// runsOnce reports whether requests of a kind may be executed at most once.
func runsOnce(r *Record, k *standin.Kind) bool {
	return k.Execution == "non_idempotent" || k.IsStream() && !r.routes[k.Path].StreamResume
}

func checkSingleExecution(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	for _, a := range r.attempts {
		if n := len(runs[a.ID]); n > 1 && runsOnce(r, a.Kind) {
			broken = append(broken, fmt.Sprintf("ran %d times: %s", n, describe(a)))
		}
	}
	return broken
}

func checkRefusals(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	for _, a := range r.attempts {
		if a.GuaranteedNotRun() && runsOnce(r, a.Kind) && len(runs[a.ID]) > 0 {
			broken = append(broken, "refused but executed: "+describe(a))
		}
	}
	return broken
}

// maxOverAttempted is the number of requests that may run on more targets than the maximum
// attempts of their route.
const maxOverAttempted = 3

func checkAttempts(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	over := 0
	for _, a := range r.attempts {
		targets := map[string]bool{}
		for _, run := range runs[a.ID] {
			targets[run.Target] = true
			if run.Left > a.Given+cancelTime || run.Left == 0 {
				broken = append(broken, fmt.Sprintf("target got a time limit of %v, its caller waits %v: %s", run.Left, a.Given, describe(a)))
			}
		}
		if route, found := r.routes[a.Kind.Path]; found && len(targets) > route.MaxAttempts {
			over++
		}
	}
	if over > maxOverAttempted {
		broken = append(broken, fmt.Sprintf("%d requests ran on more targets than their route allows", over))
	}
	return broken
}

func checkDrains(r *Record) []string {
	var broken []string
	attempts := r.attemptsByID()
	for _, run := range r.runs {
		drained, found := r.drainedAt[run.Target]
		if !found || run.Arrived.Before(drained.Add(drainTime)) {
			continue
		}
		a := attempts[run.RequestID]
		if a != nil && !overlaps(r.storeFaults, drained.Add(-settleTime), drained) && r.areHostAndStoreFaultFree(a.Address, a.Sent, run.Arrived) {
			broken = append(broken, fmt.Sprintf("%s got a request %v after it drained: %s", run.Target, run.Arrived.Sub(drained), describe(a)))
		}
	}
	return broken
}

func checkConfig(r *Record) []string {
	var broken []string
	for _, a := range r.attempts {
		if a.Kind.Name != probeKind || a.Status == 0 {
			continue
		}
		index := 0
		for i, v := range r.versions {
			if v.path == a.Kind.Path {
				index = i
			}
		}
		replaced := index+1 < len(r.versions) && a.Sent.After(r.versions[index+1].acked.Add(configTime))
		active := a.Sent.After(r.versions[index].acked.Add(configTime)) && (index+1 == len(r.versions) || a.Ended.Before(r.versions[index+1].acked))
		faultFree := r.areHostAndStoreFaultFree(a.Address, a.Sent, a.Ended)
		if replaced && a.Status == http.StatusOK && faultFree {
			broken = append(broken, "removed route still served: "+describe(a))
		}
		if active && a.Status == http.StatusNotFound && faultFree {
			broken = append(broken, "new route not found: "+describe(a))
		}
		if newer, sent := r.servedNewerVersion(a, index); newer && a.Status == http.StatusOK {
			broken = append(broken, fmt.Sprintf("older configuration %v after a newer one: %s", a.Sent.Sub(sent), describe(a)))
		}
	}
	return broken
}

// servedNewerVersion reports whether the process that answered an attempt had already
// served a newer configuration well before the attempt was sent, and when that was.
func (r *Record) servedNewerVersion(a *standin.Attempt, index int) (bool, time.Time) {
	slack := configRegressTime
	if !r.isHostFaultFree(a.Address, a.Sent, a.Ended) {
		slack *= 8
	}
	var processStart time.Time
	for _, at := range r.processStarts[a.Address] {
		if at.Before(a.Ended) {
			processStart = at
		}
	}
	for _, b := range r.attempts {
		if b.Address != a.Address || b.Kind.Name != probeKind || b.Status != http.StatusOK || b.Sent.Before(processStart) || b.Ended.After(a.Sent.Add(-slack)) {
			continue
		}
		for _, v := range r.versions[index+1:] {
			if v.path == b.Kind.Path {
				return true, b.Sent
			}
		}
	}
	return false, time.Time{}
}

func checkDenials(r *Record) []string {
	var broken []string
	for _, a := range r.attempts {
		denied := a.Status == http.StatusUnauthorized || a.Status == http.StatusForbidden || a.Status == http.StatusNotFound || a.Status == http.StatusBadRequest
		if denied && a.Seal == "" && a.Kind.Name != probeKind {
			broken = append(broken, describe(a))
		}
	}
	return broken
}
