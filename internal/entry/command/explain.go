package command

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// logLine is a line of a host's log with what is needed to find a request in it.
type logLine struct {
	file    string
	text    string
	Time    string `json:"time"`
	Request string `json:"request"`
	// CallerRequest is the id that the caller gave.
	CallerRequest string `json:"caller-request"`
}

// Explain prints the lines of the logs of several hosts that tell of one request, in the
// order of their times. The id is that of the caller or that of a host. The clocks of hosts
// may differ, so lines of different files may be out of order by as much.
func Explain(id string, files []string, out io.Writer) error {
	var all []logLine
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story := linesOf(id, all)
	if len(story) == 0 {
		return Invalid(fmt.Errorf("id: no line of the logs tells of %q", id))
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	for _, line := range story {
		fmt.Fprintf(out, "%s: %s\n", line.file, line.text)
	}
	return nil
}

// readLog returns the lines of a log that are about a request.
func readLog(file string) ([]logLine, error) {
	var lines []logLine
	err := eachLine(file, func(content string) {
		if line, found := parseLine(file, content); found {
			lines = append(lines, line)
		}
	})
	return lines, err
}

// parseLine returns what a line tells of a request. Other programs may write to the same log;
// their lines are passed over.
func parseLine(file, content string) (logLine, bool) {
	line := logLine{file: file, text: objectOf(content)}
	if line.text == "" || json.Unmarshal([]byte(line.text), &line) != nil {
		return logLine{}, false
	}
	return line, line.Request != ""
}

// linesOf returns the lines of one request: those with its id, and those of other hosts
// with the ids that its host gave it.
func linesOf(id string, lines []logLine) []logLine {
	ids := map[string]bool{id: true}
	for _, line := range lines {
		if line.CallerRequest == id {
			ids[line.Request] = true
		}
	}
	var story []logLine
	for _, line := range lines {
		first, _, _ := strings.Cut(line.Request, ".") // Later attempts have a number after a dot.
		if ids[line.Request] || ids[first] {
			story = append(story, line)
		}
	}
	return story
}
