package command

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// logLine is a line of a host's log with the fields that identify its request.
type logLine struct {
	file    string
	text    string
	Time    string `json:"time"`
	Request string `json:"request"`
	// CallerRequest is the request id that the caller sent.
	CallerRequest string `json:"caller-request"`
}

// Explain prints the log lines of several hosts about one request, sorted by time. The id is
// the request id of the caller or of a host. The clocks of hosts may differ, so lines of
// different files may be out of order by that difference.
func Explain(id string, files []string, out io.Writer) error {
	var all []logLine
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	selected := linesOfRequest(id, all)
	if len(selected) == 0 {
		return Invalid(fmt.Errorf("id: no log line belongs to request %q", id))
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	for _, line := range selected {
		fmt.Fprintf(out, "%s: %s\n", line.file, line.text)
	}
	return nil
}

// readLog returns the lines of a log that belong to a request.
func readLog(file string) ([]logLine, error) {
	var lines []logLine
	err := forEachLine(file, func(content string) {
		if line, found := parseLine(file, content); found {
			lines = append(lines, line)
		}
	})
	return lines, err
}

// parseLine parses a line of a log. It returns false if the line belongs to no request or was
// written by another program, as other programs may write to the same log.
func parseLine(file, content string) (logLine, bool) {
	line := logLine{file: file, text: trailingObject(content)}
	if line.text == "" || json.Unmarshal([]byte(line.text), &line) != nil {
		return logLine{}, false
	}
	return line, line.Request != ""
}

// linesOfRequest returns the lines of one request: the lines with its id and, if the id is that of
// the caller, the lines of all hosts with the ids that hosts assigned to it.
func linesOfRequest(id string, lines []logLine) []logLine {
	ids := map[string]bool{id: true}
	for _, line := range lines {
		if line.CallerRequest == id {
			ids[line.Request] = true
		}
	}
	var selected []logLine
	for _, line := range lines {
		firstAttempt, _, _ := strings.Cut(line.Request, ".") // Later attempts append a dot and a number to the id.
		if ids[line.Request] || ids[firstAttempt] {
			selected = append(selected, line)
		}
	}
	return selected
}
