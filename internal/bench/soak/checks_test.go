package soak

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/platform/standin"
)

const testHost = "host-1"

// loadStart is the start of the load in the records of the tests.
var loadStart = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return loadStart.Add(time.Duration(ms) * time.Millisecond) }

// kindNamed returns the kind of request with the given name, nil if there is none.
func kindNamed(name string) *standin.Kind {
	for _, k := range completeKinds(requestKinds) {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// newTestRecord returns a record without faults.
func newTestRecord() *Record {
	r := newRecord()
	r.tokensPerEvent = eventTokens
	r.accounts = map[string]string{mainKey: mainAccount, tightKey: tightAccount}
	r.limits = map[string]limit{tightAccount: tightLimit}
	r.versions = []version{{number: 1, path: probePath(1), acked: at(-9000)}}
	r.faultFreeSince = at(100_000)
	for _, route := range configuration(1).Routes {
		r.routes[route.PathPrefix+"x"] = route
	}
	return r
}

// add records a served request with its run and returns both, so that tests can change them.
func (r *Record) add(kind, id string, sentMS int) (*standin.Attempt, *standin.Run) {
	k := kindNamed(kind)
	a := &standin.Attempt{
		ID: id, Kind: k, Address: testHost, Body: "digest", Sent: at(sentMS), Ended: at(sentMS + 50), Given: k.Deadline,
		Status: http.StatusOK, Seal: id + ".seal", ResponseID: id, Whole: true,
	}
	if k.IsStream() {
		for i := range standin.Events(k.OutputTokens, eventTokens) {
			a.Events = append(a.Events, i+1)
		}
	} else {
		a.Content = standin.Answer(id, answerBytes)
	}
	r.attempts = append(r.attempts, a)
	r.runs = append(r.runs, standin.Run{
		RequestID: id, Target: "target-1", Service: k.Service, Tenant: r.accounts[k.Key], Method: http.MethodPost, URI: k.Path, Body: "digest",
		Left: k.Deadline, Arrived: at(sentMS + 1), Ended: at(sentMS + 49), Status: http.StatusOK, Seal: id + ".seal", Complete: true,
	})
	return a, &r.runs[len(r.runs)-1]
}

// addProbe records a probe of the route that exists only in the given version.
func (r *Record) addProbe(id string, version int64, sentMS, status int) {
	k := &standin.Kind{Name: probeKind, Path: probePath(version), Service: services, Key: mainKey}
	a := &standin.Attempt{ID: id, Kind: k, Address: testHost, Body: "digest", Sent: at(sentMS), Ended: at(sentMS + 10), Given: time.Second, Status: status, Whole: true}
	r.attempts = append(r.attempts, a)
	if status != http.StatusOK {
		return
	}
	a.Seal, a.ResponseID, a.Content = id, id, standin.Answer(id, answerBytes)
	r.runs = append(r.runs, standin.Run{
		RequestID: id, Target: "target-1", Service: services, Tenant: mainAccount, Method: http.MethodPost, URI: k.Path, Body: "digest",
		Left: time.Second, Arrived: at(sentMS + 1), Ended: at(sentMS + 9), Status: http.StatusOK, Seal: id, Complete: true,
	})
}

// addLimited records ten seconds of requests to a target that names a rate limit, in steady intervals.
func (r *Record) addLimited(perSecond float64, intervalMS int) {
	for ms := 0; ms < 10_000; ms += intervalMS {
		_, run := r.add("look", fmt.Sprint("limited-", ms), ms)
		run.AnsweredAt, run.RateLimit = run.Arrived, perSecond
	}
}

// addJoined records streams that version 1 begins and another one continues, in the same answer or for another attempt.
func (r *Record) addJoined(count int, isTakenUp bool, version string) {
	for i := range count {
		id := fmt.Sprint("joined-", i)
		first, run := r.add("plan", id, 0)
		run.Version, run.Complete, run.Events = "1", false, 3
		first.Events, first.Whole = first.Events[:3], false
		if !isTakenUp {
			later := *run
			later.Version, later.Target = version, "target-2"
			r.runs = append(r.runs, later)
			continue
		}
		second, later := r.add("plan", id+"-up", 100)
		later.Version, later.Target, later.After, later.Events = version, "target-2", 3, 3
		second.Resumes, second.After, second.Events = id, 3, second.Events[3:]
	}
}

// addReturning records three crashes by one request, and runs of it from a time after the last of them.
func (r *Record) addReturning(runs, afterMS int) {
	for i := range freeRequestCrashes {
		r.recordCrash(at(100*i), standin.Run{Crashes: true})
	}
	for i := range runs {
		_, run := r.add("look", fmt.Sprint("returning-", i), 100*(freeRequestCrashes-1)+afterMS+i)
		run.Crashes = true
	}
}

func TestChecksDetectViolations(t *testing.T) {
	cut := errors.New("connection reset")
	rows := []struct {
		name   string
		change func(*Record)
		broken string // Part of the first violation. Empty: there is none.
	}{
		{"no violation", func(r *Record) { r.add("plan", "1", 0); r.add("book", "2", 0) }, ""},
		{"success without seal", func(r *Record) { a, _ := r.add("book", "1", 0); a.Seal = "" }, "without a seal"},
		{"seal of no run", func(r *Record) { a, _ := r.add("book", "1", 0); a.Seal = "forged" }, "seal or status matches no run"},
		{"answer of another request", func(r *Record) { a, _ := r.add("book", "1", 0); a.Content = standin.Answer("2", answerBytes) }, "body differs"},
		{"truncated answer that ends as complete", func(r *Record) { a, _ := r.add("book", "1", 0); a.Content = a.Content[:10] }, "10 bytes"},
		{"event missing", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events = []int{1, 2, 4, 5, 6} }, "event 4 instead of 3"},
		{"event twice", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events[3] = 3 }, "event 3 instead of 4"},
		{"stream ends too early", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events = a.Events[:4] }, "complete after 4 of 6 events"},
		{"stream is interrupted", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events, a.Whole, a.Err = a.Events[:4], false, nil }, ""},
		{"request of no caller", func(r *Record) { r.add("book", "1", 0); r.attempts = nil }, "no caller sent request"},
		{"body changed", func(r *Record) { _, run := r.add("book", "1", 0); run.Body = "other" }, "changed"},
		{"wrong account", func(r *Record) { _, run := r.add("book", "1", 0); run.Tenant = "somebody-else" }, "account"},
		{"key reaches the target", func(r *Record) { _, run := r.add("book", "1", 0); run.ForbiddenHeaders = []string{"Authorization"} }, "reached the target"},
		{"wrong service", func(r *Record) { _, run := r.add("book", "1", 0); run.Service = engines }, "service"},
		{"ran twice", func(r *Record) { r.add("book", "1", 0); r.runs = append(r.runs, r.runs[0]) }, "ran 2 times"},
		{"idempotent twice", func(r *Record) { r.add("look", "1", 0); r.runs = append(r.runs, r.runs[0]) }, ""},
		{"rejected, then executed", func(r *Record) {
			_, run := r.add("book", "1", 0)
			rejected := *run
			rejected.Rejected = true
			r.runs = append(r.runs, rejected)
		}, ""},
		{"refused but executed", func(r *Record) { a, _ := r.add("book", "1", 0); a.Status, a.Seal = 503, "" }, "refused but executed"},
		{"target gets more time than is left", func(r *Record) { _, run := r.add("book", "1", 0); run.Left = 3 * time.Second }, "target got a time limit"},
		{"too many attempts", func(r *Record) {
			for i := range 4 * maxOverAttempted {
				_, run := r.add("look", string(rune('a'+i)), 0)
				for _, target := range []string{"2", "3", "4"} {
					more := *run
					more.Target = target
					r.runs = append(r.runs, more)
				}
			}
		}, "more targets than"},
		{"a request returns after three crashes", func(r *Record) { r.addReturning(4, 4000) }, "arrived later than"},
		{"a request returns in the time that a host has", func(r *Record) { r.addReturning(8, 2000) }, ""},
		{"a request returns three times", func(r *Record) { r.addReturning(3, 4000) }, ""},
		{"streams of two versions in one answer", func(r *Record) { r.addJoined(3, false, "2") }, "goes on as"},
		{"streams of two versions over two attempts", func(r *Record) { r.addJoined(3, true, "2") }, "goes on as"},
		{"streams of one version over two attempts", func(r *Record) { r.addJoined(3, true, "1") }, ""},
		{"two streams of two versions", func(r *Record) { r.addJoined(2, true, "2") }, ""},
		{"work for a drained target", func(r *Record) { r.add("book", "1", 5000); r.drainedAt["target-1"] = at(2000) }, "after it drained"},
		{"work for a draining target", func(r *Record) { r.add("book", "1", 3000); r.drainedAt["target-1"] = at(2000) }, ""},
		{"work for a drained target from a disconnected host", func(r *Record) {
			r.add("book", "1", 5000)
			r.drainedAt["target-1"] = at(2000)
			r.hostFaults[testHost] = []interval{{from: at(1000), to: at(4000)}}
		}, ""},
		{"removed route served", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 1, 2500, 200)
		}, "removed route still served"},
		{"new route not found", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 2500, 404)
		}, "new route not found"},
		{"new route not yet active", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 1500, 404)
		}, ""},
		{"older configuration after a newer one", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 500, 200)
			r.addProbe("2", 1, 1000, 200)
		}, "older configuration"},
		{"older configuration in a restarted process", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 500, 200)
			r.addProbe("2", 1, 1000, 200)
			r.processStarts[testHost] = []time.Time{at(-9000), at(800)}
			r.hostStops[testHost] = []interval{{from: at(600), to: at(800)}}
		}, ""},
		{"known route denied", func(r *Record) { a, _ := r.add("book", "1", 0); a.Status, a.Seal = 404, ""; r.runs = nil }, "are not denied"},
		{"quota exceeded", func(r *Record) {
			for i := range 90 {
				r.add(floodKind, string(rune('a'+i)), i*80)
			}
		}, "are allowed"},
		{"quota kept", func(r *Record) {
			for i := range 90 {
				r.add(floodKind, string(rune('a'+i)), i*160)
			}
		}, ""},
		{"too many retries", func(r *Record) {
			for i := range 80 {
				_, run := r.add("look", string(rune('a'+i)), i)
				r.runs = append(r.runs, *run)
			}
		}, "retry budget holds"},
		{"rate limit exceeded", func(r *Record) { r.addLimited(2, 100) }, "names a limit of 2 a second"},
		{"rate limit kept", func(r *Record) { r.addLimited(2, 300) }, ""},
		{"rate limit exceeded by a host with a fault", func(r *Record) {
			r.addLimited(2, 100)
			r.hostFaults[testHost] = []interval{{from: at(0)}}
		}, ""},
		{"answers lost", func(r *Record) {
			for i := range maxLostAnswers + 1 {
				a, _ := r.add("book", string(rune('a'+i)), 0)
				a.Status, a.Seal, a.Whole, a.Err = 0, "", false, cut
			}
		}, "answer what they passed on"},
		{"answers lost by a target", func(r *Record) {
			for i := range maxLostAnswers + 1 {
				a, _ := r.add("book", string(rune('a'+i)), 0)
				a.Status, a.Seal, a.Whole, a.Err = 0, "", false, cut
			}
			r.targetFaults["target-1"] = []interval{{from: at(-100)}}
		}, ""},
		{"planned stop interrupts a stream", func(r *Record) {
			a, _ := r.add("plan", "1", 0)
			a.Events, a.Whole, a.Err = a.Events[:2], false, cut
			r.hostStops[testHost] = []interval{{from: at(20)}}
		}, "planned stops cut nothing"},
		{"work continues for disconnected callers", func(r *Record) {
			for i := range minEndSamples {
				a, run := r.add("plan", string(rune('a'+i)), 0)
				a.Left, a.Err, a.Whole = at(20), cut, false
				run.Ended = at(700)
			}
		}, "still worked"},
		{"no answer at the timeout", func(r *Record) {
			for i := range minEndSamples {
				a, _ := r.add(slowKind, string(rune('a'+i)), 0)
				a.Ended = at(1700)
			}
		}, "no answer at the timeout"},
		{"no recovery", func(r *Record) { a, _ := r.add("book", "1", 101_000); a.Status, a.Seal = 503, ""; r.runs = nil }, "0 of 1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newTestRecord()
			row.change(r)
			if row.name != "no recovery" {
				_, run := r.add("book", "calm", 101_000)
				run.Target = "target-2"
			}
			broken := r.Check()
			if row.broken == "" {
				require.Empty(t, broken)
				return
			}
			require.NotEmpty(t, broken)
			require.Contains(t, broken[0], row.broken)
		})
	}
}

func TestPlanDependsOnlyOnSeed(t *testing.T) {
	require.Equal(t, drawPlan(7, 20, 20*time.Second), drawPlan(7, 20, 20*time.Second))
	require.NotEqual(t, drawPlan(7, 20, 20*time.Second), drawPlan(8, 20, 20*time.Second))
	seen := map[faultKind]bool{}
	for seed := range uint64(100) {
		for _, f := range drawPlan(seed, 20, 20*time.Second) {
			require.GreaterOrEqual(t, f.at, warmUpTime)
			seen[f.kind] = true
		}
	}
	for _, kind := range faultKinds {
		require.True(t, seen[kind], "%s is never drawn", kind)
	}
}

func TestFailedSeedsCanBeRead(t *testing.T) {
	require.NotPanics(t, func() { FailedSeeds() })
}
