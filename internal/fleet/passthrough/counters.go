package passthrough

import (
	"net/http/httptrace"

	"github.com/uber-go/tally/v4"
)

// counters counts connections to targets.
type counters struct {
	scope tally.Scope
	// opened and reused count the connections on which calls were sent. failed counts the reused ones
	// that failed before the answer, strays the responses to other calls that were skipped.
	opened, reused, failed, strays tally.Counter
	// trace counts the connections of an http.Transport.
	trace *httptrace.ClientTrace
}

func newCounters(scope tally.Scope) *counters {
	state := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"state": name}).Counter("target_connections")
	}
	c := &counters{
		scope: scope, opened: state("new"), reused: state("reused"),
		failed: scope.Counter("reused_connections_failed"), strays: scope.Counter("stray_answers_skipped"),
	}
	c.trace = &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			c.reused.Inc(1)
			return
		}
		c.opened.Inc(1)
	}}
	return c
}

// dropped counts an idle connection that is not used again.
func (c *counters) dropped(cause dropCause) {
	c.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("idle_connections_dropped").Inc(1)
}
