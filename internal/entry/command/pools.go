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

// PoolsFilter chooses what Pools prints; empty fields choose all.
type PoolsFilter struct {
	Pool, Class string
}

// poolState is the line of an arbiter about the state of a pool.
type poolState struct {
	Time    string  `json:"time"`
	Message string  `json:"msg"`
	Pool    string  `json:"pool"`
	Slots   float64 `json:"slots"`
	// Share is the part of the slots that the arbiter may use.
	Share float64 `json:"slot-share"`
	// The state by class, and what became of requests since the line before.
	Running      map[string]int            `json:"running"`
	Waiting      map[string]int            `json:"waiting"`
	Late         map[string]int            `json:"late"`
	Kept         map[string]int            `json:"kept"`
	Granted      map[string]int            `json:"granted"`
	Refused      map[string]map[string]int `json:"refused"`
	RefusedAgain map[string]int            `json:"refused-again"`
}

// poolStateMessage ends the message of the line about the state of a pool.
const poolStateMessage = "Pool state."

// Pools prints the states of pools that the logs of hosts tell, in the order of their times: a row
// for each class, with the slots that are idle and what was refused. A row is marked if
// requests of the class waited or were refused while slots were idle. Arbiters that had nothing to
// do are left out.
func Pools(files []string, filter PoolsFilter, out io.Writer) error {
	var states []poolState
	for _, file := range files {
		err := eachLine(file, func(content string) {
			var s poolState
			if json.Unmarshal([]byte(objectOf(content)), &s) == nil && s.matches(filter) {
				states = append(states, s)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(states) == 0 {
		return Invalid(errors.New("files: no line tells the state of such a pool"))
	}
	slices.SortStableFunc(states, func(a, b poolState) int { return strings.Compare(a.Time, b.Time) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tPOOL\tSLOTS\tIDLE\tCLASS\tRUNNING\tWAITING\tLATE\tKEPT FROM IT\tGRANTED\tREFUSED\tAGAIN\tREASONS\t")
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
	return strings.HasSuffix(s.Message, poolStateMessage) && (filter.Pool == "" || s.Pool == filter.Pool) && s.busy()
}

// busy reports whether the arbiter had requests of the pool.
func (s *poolState) busy() bool {
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

// idle returns how many of the slots that the arbiter may use run nothing.
func (s *poolState) idle() int {
	running := 0
	for _, n := range s.Running {
		running += n
	}
	return max(int(s.Slots*s.Share)-running, 0)
}

// idleShare is the part of the slots, as a divisor, from which idle ones are worth a mark.
const idleShare = 10

func (s *poolState) writeRow(w io.Writer, class string) {
	refused := 0
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(s.Refused[class])) {
		n := s.Refused[class][reason]
		refused += n
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
	}
	idle := s.idle()
	mark := ""
	if float64(idle) > s.Slots*s.Share/idleShare && s.Waiting[class]+refused > 0 {
		mark = "slots idle"
	}
	fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
		s.Time, s.Pool, s.Slots*s.Share, idle, class, s.Running[class], s.Waiting[class], s.Late[class], s.Kept[class],
		s.Granted[class], refused, s.RefusedAgain[class], strings.Join(reasons, ", "), mark)
}
