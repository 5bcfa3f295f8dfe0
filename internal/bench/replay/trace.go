// Package replay plays recorded traces of arrivals and faults against real processes and
// compares the outcomes with the stated ones.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Trace is a file of JSON lines: a site first, then events in the order of time, then
// what is expected.
type Trace struct {
	Site   Site
	Events []Event
	Expect Expect
}

// Site describes the processes.
type Site struct {
	Hosts int `json:"hosts"`
	// Engines holds the time between two tokens of each engine, such as "2ms".
	Engines []string `json:"engines"`
	// Slots is the first limit of each engine.
	Slots int `json:"slots"`
}

// Event is one arrival or one fault.
type Event struct {
	AtMS  int64  `json:"at-ms"`
	Send  *Send  `json:"send,omitempty"`
	Book  *Book  `json:"book,omitempty"`
	Fault *Fault `json:"fault,omitempty"`
}

// Send sends completions through each host that takes new requests.
type Send struct {
	Count      int    `json:"count"`
	Tier       string `json:"tier"`
	Tokens     int    `json:"tokens"`
	DeadlineMS int64  `json:"deadline-ms,omitempty"`
}

// Book sends non-idempotent calls, each through two hosts with the same key.
type Book struct {
	Count  int    `json:"count"`
	Prefix string `json:"prefix"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillArbiter   FaultKind = "kill-arbiter"
	FreezeArbiter FaultKind = "freeze-arbiter"
	ThawArbiter   FaultKind = "thaw-arbiter"
	StopHost      FaultKind = "stop-host"
	FreezeStore   FaultKind = "freeze-store"
	ThawStore     FaultKind = "thaw-store"
)

// Fault is something that goes wrong, or right again.
type Fault struct {
	Kind FaultKind `json:"kind"`
}

// Expect states the outcomes. Requests through a host that was killed are not counted:
// they are cut with it.
type Expect struct {
	// LeastAnswered is the least number of whole answers by tier; "book" for bookings.
	LeastAnswered map[string]int `json:"least-answered"`
	// MostFailed is the largest number of failures by reason; others must not occur.
	MostFailed map[string]int `json:"most-failed"`
}

// line is one line of a trace.
type line struct {
	Site   *Site   `json:"site,omitempty"`
	Expect *Expect `json:"expect,omitempty"`
	Event
}

// Parse reads a trace. Errors name the line.
func Parse(r io.Reader) (*Trace, error) {
	t := &Trace{}
	scanner := bufio.NewScanner(r)
	last := int64(0)
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		var l line
		if err := decoder.Decode(&l); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		switch {
		case l.Site != nil:
			t.Site = *l.Site
		case l.Expect != nil:
			t.Expect = *l.Expect
		case l.Send == nil && l.Book == nil && l.Fault == nil:
			return nil, fmt.Errorf("line %d: neither site, expect, send, book nor fault", number)
		case l.AtMS < last:
			return nil, fmt.Errorf("line %d: at-ms: %d is before the line above", number, l.AtMS)
		default:
			last = l.AtMS
			t.Events = append(t.Events, l.Event)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	if t.Site.Hosts < 1 || len(t.Site.Engines) == 0 || t.Expect.LeastAnswered == nil {
		return nil, fmt.Errorf("site and expect are needed")
	}
	return t, nil
}
