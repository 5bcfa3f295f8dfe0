package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/platform/standin"
)

const testHost = "host-1"

// begin is the start of the load in the records of the tests.
var begin = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// kindNamed returns one of the kinds of the soak.
func kindNamed(name string) *standin.Kind {
	for _, k := range fillIn(kinds) {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// newTestRecord is a record without disturbances.
func newTestRecord() *Record {
	r := newRecord()
	r.tokensPerEvent = eventTokens
	r.accounts = map[string]string{mainKey: mainAccount, tightKey: tight}
	r.limits = map[string]limit{tight: tightLimit}
	r.versions = []version{{number: 1, path: probePath(1), acked: at(-9000)}}
	r.calmFrom = at(100_000)
	for _, route := range configuration(1).Routes {
		r.routes[route.PathPrefix+"x"] = route
	}
	return r
}

// add notes a served request with its run and returns both for changes.
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

// addProbe notes a probe of a route that one version of the configuration has.
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

func TestChecksFindWhatIsBroken(t *testing.T) {
	cut := errors.New("connection reset")
	rows := []struct {
		name   string
		change func(*Record)
		broken string // Empty: nothing is broken.
	}{
		{"all is well", func(r *Record) { r.add("plan", "1", 0); r.add("book", "2", 0) }, ""},
		{"success without seal", func(r *Record) { a, _ := r.add("book", "1", 0); a.Seal = "" }, "without a seal"},
		{"seal of nobody", func(r *Record) { a, _ := r.add("book", "1", 0); a.Seal = "forged" }, "not that of a run"},
		{"answer of another request", func(r *Record) { a, _ := r.add("book", "1", 0); a.Content = standin.Answer("2", answerBytes) }, "body differs"},
		{"answer that is cut and looks whole", func(r *Record) { a, _ := r.add("book", "1", 0); a.Content = a.Content[:10] }, "10 bytes"},
		{"event missing", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events = []int{1, 2, 4, 5, 6} }, "event 4 in place of 3"},
		{"event twice", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events[3] = 3 }, "event 3 in place of 4"},
		{"end too early", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events = a.Events[:4] }, "4 of 6 events look complete"},
		{"stream that is cut", func(r *Record) { a, _ := r.add("plan", "1", 0); a.Events, a.Whole, a.Err = a.Events[:4], false, nil }, ""},
		{"request of nobody", func(r *Record) { r.add("book", "1", 0); r.attempts = nil }, "sent by nobody"},
		{"body changed", func(r *Record) { _, run := r.add("book", "1", 0); run.Body = "other" }, "changed"},
		{"wrong account", func(r *Record) { _, run := r.add("book", "1", 0); run.Tenant = "somebody-else" }, "account"},
		{"key passed on", func(r *Record) { _, run := r.add("book", "1", 0); run.ForbiddenHeaders = []string{"Authorization"} }, "passed on"},
		{"wrong service", func(r *Record) { _, run := r.add("book", "1", 0); run.Service = engines }, "service"},
		{"ran twice", func(r *Record) { r.add("book", "1", 0); r.runs = append(r.runs, r.runs[0]) }, "ran 2 times"},
		{"idempotent twice", func(r *Record) { r.add("look", "1", 0); r.runs = append(r.runs, r.runs[0]) }, ""},
		{"rejected and ran", func(r *Record) {
			_, run := r.add("book", "1", 0)
			rejected := *run
			rejected.Rejected = true
			r.runs = append(r.runs, rejected)
		}, ""},
		{"refused and ran", func(r *Record) { a, _ := r.add("book", "1", 0); a.Status, a.Seal = 503, "" }, "refused and ran"},
		{"more time than is left", func(r *Record) { _, run := r.add("book", "1", 0); run.Left = 3 * time.Second }, "was given"},
		{"too many attempts", func(r *Record) {
			for i := range 4 * manyAttempts {
				_, run := r.add("look", string(rune('a'+i)), 0)
				for _, target := range []string{"2", "3", "4"} {
					more := *run
					more.Target = target
					r.runs = append(r.runs, more)
				}
			}
		}, "more targets than"},
		{"work for a drained target", func(r *Record) { r.add("book", "1", 5000); r.drained["target-1"] = at(2000) }, "after it drained"},
		{"work for a draining target", func(r *Record) { r.add("book", "1", 3000); r.drained["target-1"] = at(2000) }, ""},
		{"work for a drained target from a cut host", func(r *Record) {
			r.add("book", "1", 5000)
			r.drained["target-1"] = at(2000)
			r.hosts[testHost] = []span{{from: at(1000), to: at(4000)}}
		}, ""},
		{"dropped route served", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 1, 2500, 200)
		}, "dropped route still served"},
		{"new route not known", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 2500, 404)
		}, "new route not known"},
		{"new route not yet known", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 1500, 404)
		}, ""},
		{"configuration goes back", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 500, 200)
			r.addProbe("2", 1, 1000, 200)
		}, "older configuration"},
		{"configuration goes back in another process", func(r *Record) {
			r.versions = append(r.versions, version{number: 4, path: probePath(4), acked: at(0)})
			r.addProbe("1", 4, 500, 200)
			r.addProbe("2", 1, 1000, 200)
			r.started[testHost] = []time.Time{at(-9000), at(800)}
			r.stops[testHost] = []span{{from: at(600), to: at(800)}}
		}, ""},
		{"known route denied", func(r *Record) { a, _ := r.add("book", "1", 0); a.Status, a.Seal = 404, ""; r.runs = nil }, "are not denied"},
		{"quota passed", func(r *Record) {
			for i := range 90 {
				r.add(floodKind, string(rune('a'+i)), i*80)
			}
		}, "are allowed"},
		{"quota kept", func(r *Record) {
			for i := range 90 {
				r.add(floodKind, string(rune('a'+i)), i*160)
			}
		}, ""},
		{"too many repeats", func(r *Record) {
			for i := range 80 {
				_, run := r.add("look", string(rune('a'+i)), i)
				r.runs = append(r.runs, *run)
			}
		}, "retry budget holds"},
		{"answers lost", func(r *Record) {
			for i := range manyLost + 1 {
				a, _ := r.add("book", string(rune('a'+i)), 0)
				a.Status, a.Seal, a.Whole, a.Err = 0, "", false, cut
			}
		}, "answer what they passed on"},
		{"answers lost by a target", func(r *Record) {
			for i := range manyLost + 1 {
				a, _ := r.add("book", string(rune('a'+i)), 0)
				a.Status, a.Seal, a.Whole, a.Err = 0, "", false, cut
			}
			r.targets["target-1"] = []span{{from: at(-100)}}
		}, ""},
		{"planned stop cuts", func(r *Record) {
			a, _ := r.add("plan", "1", 0)
			a.Events, a.Whole, a.Err = a.Events[:2], false, cut
			r.stops[testHost] = []span{{from: at(20)}}
		}, "planned stops cut nothing"},
		{"work goes on for callers that left", func(r *Record) {
			for i := range fewEnds {
				a, run := r.add("plan", string(rune('a'+i)), 0)
				a.Left, a.Err, a.Whole = at(20), cut, false
				run.Ended = at(700)
			}
		}, "still worked"},
		{"no answer at the timeout", func(r *Record) {
			for i := range fewEnds {
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

func TestPlanIsThatOfItsSeed(t *testing.T) {
	require.Equal(t, drawPlan(7, 20, 20*time.Second), drawPlan(7, 20, 20*time.Second))
	require.NotEqual(t, drawPlan(7, 20, 20*time.Second), drawPlan(8, 20, 20*time.Second))
	seen := map[disturbance]bool{}
	for seed := range uint64(100) {
		for _, f := range drawPlan(seed, 20, 20*time.Second) {
			require.GreaterOrEqual(t, f.at, quietStart)
			seen[f.kind] = true
		}
	}
	for _, kind := range disturbances {
		require.True(t, seen[kind], "%s is never drawn", kind)
	}
}

func TestFailedSeedsCanBeRead(t *testing.T) {
	require.NotPanics(t, func() { FailedSeeds() })
}
