package soak

import (
	"fmt"
	"net/http"
	"time"

	"redwinglock/platform/standin"
)

// checks are the promises. Each returns what broke it.
var checks = []struct {
	name  string
	check func(*Record) []string
}{
	{"answers are whole, unchanged and the caller's own", checkAnswers},
	{"events are complete and in order", checkEvents},
	{"targets get what callers sent", checkRequests},
	{"non-idempotent requests run at most once", checkOnce},
	{"refused requests have not run", checkRefusals},
	{"requests stay inside their attempts and their time", checkAttempts},
	{"leaving targets get no work", checkDrains},
	{"configuration is in force in time and never goes back", checkConfig},
	{"known routes and keys are not denied", checkDenials},
	{"quotas hold", checkQuotas},
	{"the retry budget holds", checkRepeats},
	{"hosts that are in touch answer what they passed on", checkLost},
	{"planned stops cut nothing", checkStops},
	{"work ends with its caller and its time", checkEnds},
	{"service recovers", checkRecovery},
}

// Check returns all broken promises.
func (r *Record) Check() []string {
	broken := append([]string(nil), r.faults...)
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
			broken = append(broken, "seal or status is not that of a run: "+describe(a))
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
			if number != i+1 {
				broken = append(broken, fmt.Sprintf("event %d in place of %d: %s", number, i+1, describe(a)))
				break
			}
		}
		if expected := standin.Events(a.Kind.OutputTokens, r.tokensPerEvent); a.Whole && len(a.Events) != expected {
			broken = append(broken, fmt.Sprintf("%d of %d events look complete: %s", len(a.Events), expected, describe(a)))
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
			broken = append(broken, fmt.Sprintf("request %q was sent by nobody", run.RequestID))
		case run.Method != http.MethodPost || run.URI != a.Kind.Path || run.Body != a.Body:
			broken = append(broken, "method, path or body changed: "+describe(a))
		case run.Tenant != r.accounts[a.Kind.Key]:
			broken = append(broken, fmt.Sprintf("account %q: %s", run.Tenant, describe(a)))
		case len(run.ForbiddenHeaders) > 0:
			broken = append(broken, fmt.Sprintf("headers %v passed on: %s", run.ForbiddenHeaders, describe(a)))
		case run.Service != a.Kind.Service:
			broken = append(broken, fmt.Sprintf("service %s: %s", run.Service, describe(a)))
		}
	}
	return broken
}

// runsOnce reports whether a kind of request may run only once.
func runsOnce(r *Record, k *standin.Kind) bool {
	return k.Execution == "non_idempotent" || k.IsStream() && !r.routes[k.Path].StreamResume
}

func checkOnce(r *Record) []string {
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
			broken = append(broken, "refused and ran: "+describe(a))
		}
	}
	return broken
}

// manyAttempts is how many requests may pass the attempts of their route.
const manyAttempts = 3

func checkAttempts(r *Record) []string {
	var broken []string
	runs := r.runsByID()
	over := 0
	for _, a := range r.attempts {
		targets := map[string]bool{}
		for _, run := range runs[a.ID] {
			targets[run.Target] = true
			if run.Left > a.Given+leaveTime || run.Left == 0 {
				broken = append(broken, fmt.Sprintf("target was given %v of %v: %s", run.Left, a.Given, describe(a)))
			}
		}
		if route, found := r.routes[a.Kind.Path]; found && len(targets) > route.MaxAttempts {
			over++
		}
	}
	if over > manyAttempts {
		broken = append(broken, fmt.Sprintf("%d requests ran on more targets than their route allows", over))
	}
	return broken
}

func checkDrains(r *Record) []string {
	var broken []string
	attempts := r.attemptsByID()
	for _, run := range r.runs {
		drained, found := r.drained[run.Target]
		if !found || run.Arrived.Before(drained.Add(drainTime)) {
			continue
		}
		a := attempts[run.RequestID]
		if a != nil && !overlaps(r.store, drained.Add(-contactTime), drained) && r.isInTouch(a.Address, a.Sent, run.Arrived) {
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
		own := 0
		for i, v := range r.versions {
			if v.path == a.Kind.Path {
				own = i
			}
		}
		gone := own+1 < len(r.versions) && a.Sent.After(r.versions[own+1].acked.Add(configTime))
		there := a.Sent.After(r.versions[own].acked.Add(configTime)) && (own+1 == len(r.versions) || a.Ended.Before(r.versions[own+1].acked))
		inTouch := r.isInTouch(a.Address, a.Sent, a.Ended)
		if gone && a.Status == http.StatusOK && inTouch {
			broken = append(broken, "dropped route still served: "+describe(a))
		}
		if there && a.Status == http.StatusNotFound && inTouch {
			broken = append(broken, "new route not known: "+describe(a))
		}
		if newer, sent := r.newerEffect(a, own); newer && a.Status == http.StatusOK {
			broken = append(broken, fmt.Sprintf("older configuration %v after a newer one: %s", a.Sent.Sub(sent), describe(a)))
		}
	}
	return broken
}

// newerEffect reports whether the process that answered an attempt had shown the effect of
// a newer configuration well before the attempt was sent, and when.
func (r *Record) newerEffect(a *standin.Attempt, own int) (bool, time.Time) {
	slack := regressTime
	if !r.isCalm(a.Address, a.Sent, a.Ended) {
		slack *= 8
	}
	var incarnation time.Time
	for _, at := range r.started[a.Address] {
		if at.Before(a.Ended) {
			incarnation = at
		}
	}
	for _, b := range r.attempts {
		if b.Address != a.Address || b.Kind.Name != probeKind || b.Status != http.StatusOK || b.Sent.Before(incarnation) || b.Ended.After(a.Sent.Add(-slack)) {
			continue
		}
		for _, v := range r.versions[own+1:] {
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
