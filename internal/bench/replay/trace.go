// Package replay runs recorded traces of requests and faults against real processes and
// compares the outcomes with the expected ones.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Trace is the content of a file of JSON lines: the site, then the events in order of time,
// then the expected outcomes.
type Trace struct {
	Site   Site
	Events []Event
	Expect Expect
}

// Site describes the processes to start.
type Site struct {
	Hosts int `json:"hosts"`
	// Engines has the time between two tokens of each engine, for example "2ms".
	Engines []string `json:"engines"`
	// Slots is the initial concurrency limit of each engine.
	Slots int `json:"slots"`
}

// Event is a batch of requests or a fault.
type Event struct {
	AtMS  int64  `json:"at-ms"`
	Send  *Send  `json:"send,omitempty"`
	Book  *Book  `json:"book,omitempty"`
	Fault *Fault `json:"fault,omitempty"`
}

// Send sends completions, in turn through the hosts that take new requests.
type Send struct {
	Count      int    `json:"count"`
	Tier       string `json:"tier"`
	Tokens     int    `json:"tokens"`
	DeadlineMS int64  `json:"deadline-ms,omitempty"`
}

// Book sends non-idempotent calls, each through two hosts with the same idempotency key.
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

// Fault is a fault to inject, or its end.
type Fault struct {
	Kind FaultKind `json:"kind"`
}

// Expect states the expected outcomes. Failures of requests through a killed or frozen host
// are not counted, as their connections break.
type Expect struct {
	// MinAnswered is the minimum number of complete answers by tier; "book" for bookings.
	MinAnswered map[string]int `json:"least-answered"`
	// MaxFailed is the maximum number of failures by reason. Other reasons must not occur.
	MaxFailed map[string]int `json:"most-failed"`
}

// traceLine is a line of a trace file.
type traceLine struct {
	Site   *Site   `json:"site,omitempty"`
	Expect *Expect `json:"expect,omitempty"`
	Event
}

// Parse reads a trace. Its errors state the line number.
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
		var l traceLine
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
	if t.Site.Hosts < 1 || len(t.Site.Engines) == 0 || t.Expect.MinAnswered == nil {
		return nil, fmt.Errorf("site and expect are needed")
	}
	return t, nil
}
