package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// PoolsFilter selects what Pools prints. An empty field selects all.
type PoolsFilter struct {
	Pool, Class string
}

// poolState is a log line of an arbiter about the state of a pool.
type poolState struct {
	Time    string  `json:"time"`
	Message string  `json:"msg"`
	Pool    string  `json:"pool"`
	Slots   float64 `json:"slots"`
	// Share is the fraction of the slots that the arbiter may use.
	Share float64 `json:"slot-share"`
	// The following fields are counts by class: the current state, and the outcomes of requests
	// since the previous line. Kept is the number of slots reserved for requests that rank above
	// the class.
	Running      map[string]int            `json:"running"`
	Waiting      map[string]int            `json:"waiting"`
	Late         map[string]int            `json:"late"`
	Kept         map[string]int            `json:"kept"`
	Granted      map[string]int            `json:"granted"`
	Refused      map[string]map[string]int `json:"refused"`
	RefusedAgain map[string]int            `json:"refused-again"`
	// WaitedForRate and DivertedByRate count requests that waited for the rate limit of a target or
	// were granted another target.
	WaitedForRate  map[string]int `json:"waited-for-rate"`
	DivertedByRate map[string]int `json:"diverted-by-rate"`
	// RateLimited is the number of targets that name rate limits, RateLimit the sum of these limits in
	// requests per second.
	RateLimited int     `json:"rate-limited"`
	RateLimit   float64 `json:"rate-limit"`
}

// poolStateMessage is the end of the message of a poolState line; the name of the log part
// precedes it.
const poolStateMessage = "Pool state."

// Pools prints the states of pools found in the logs of hosts, sorted by time: one row per class
// with the idle slots and the refused requests. A row is marked if requests of the class
// waited or were refused while slots were idle. States without any requests are omitted.
func Pools(files []string, filter PoolsFilter, out io.Writer) error {
	var states []poolState
	for _, file := range files {
		err := forEachLine(file, func(content string) {
			var s poolState
			if json.Unmarshal([]byte(trailingObject(content)), &s) == nil && s.matches(filter) {
				states = append(states, s)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(states) == 0 {
		return Invalid(errors.New("files: no log line contains the state of a matching pool"))
	}
	slices.SortStableFunc(states, func(a, b poolState) int { return strings.Compare(a.Time, b.Time) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tPOOL\tSLOTS\tIDLE\tCLASS\tRUNNING\tWAITING\tLATE\tKEPT FROM IT\tGRANTED\tREFUSED\tAGAIN\tREASONS\tNOTES\t")
	for _, s := range states {
		for _, class := range slices.Sorted(maps.Keys(s.Running)) {
			if filter.Class == "" || class == filter.Class {
				s.writeRow(w, class)
			}
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write states of pools: %w", err)
	}
	return nil
}

func (s *poolState) matches(filter PoolsFilter) bool {
	return strings.HasSuffix(s.Message, poolStateMessage) && (filter.Pool == "" || s.Pool == filter.Pool) && s.hasRequests()
}

// hasRequests reports whether the arbiter had requests for the pool.
func (s *poolState) hasRequests() bool {
	for _, counts := range []map[string]int{s.Running, s.Waiting, s.Granted} {
		for _, n := range counts {
			if n > 0 {
				return true
			}
		}
	}
	for _, reasons := range s.Refused {
		if len(reasons) > 0 {
			return true
		}
	}
	return false
}

// idleSlots returns the number of idle slots that the arbiter may use.
func (s *poolState) idleSlots() int {
	running := 0
	for _, n := range s.Running {
		running += n
	}
	return max(int(s.Slots*s.Share)-running, 0)
}

// idleMarkDivisor is the divisor of the usable slots that gives the threshold for a mark: with 10, a
// row is marked only if more than a tenth of them are idle.
const idleMarkDivisor = 10

func (s *poolState) writeRow(w io.Writer, class string) {
	refused := 0
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(s.Refused[class])) {
		n := s.Refused[class][reason]
		refused += n
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
	}
	idle := s.idleSlots()
	var notes []string
	if float64(idle) > s.Slots*s.Share/idleMarkDivisor && s.Waiting[class]+refused > 0 {
		notes = append(notes, "slots idle")
	}
	if s.RateLimited > 0 {
		notes = append(notes, fmt.Sprintf("%d targets limited to %g/s, %d waited for it, %d diverted",
			s.RateLimited, s.RateLimit, s.WaitedForRate[class], s.DivertedByRate[class]))
	}
	fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
		s.Time, s.Pool, s.Slots*s.Share, idle, class, s.Running[class], s.Waiting[class], s.Late[class], s.Kept[class],
		s.Granted[class], refused, s.RefusedAgain[class], strings.Join(reasons, ", "), strings.Join(notes, "; "))
}
