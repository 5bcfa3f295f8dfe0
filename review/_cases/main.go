// Command _cases runs one case of the review: it starts hosts with the command of the deploy file, stand-ins for the
// platform's store, for workers and for clients, and checks one rule by what clients and workers see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// maxDuration is the time after which a case is given up.
	maxDuration = 110 * time.Second
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*lab) error{
	"refused": runRefused,
	"path":    runPath,
	"burst":   runBurst,
	"stop":    runStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _cases CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs one case and returns the exit code.
func runCase(c func(*lab) error, folder string) int {
	l, err := newLab(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	result := make(chan error, 1)
	go func() { result <- c(l) }()
	select {
	case err = <-result:
	case <-time.After(maxDuration):
		err = errors.New("the case took too long")
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitFailed
	}
	l.record("result: exit code %d, %v", code, err)
	if closeErr := l.Close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)
	}
	fmt.Printf("exit code %d: %v\n", code, err)
	return code
}
