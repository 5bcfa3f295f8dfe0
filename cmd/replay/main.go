// Command replay runs a recorded trace with separate processes and compares the outcomes with
// the expected ones. The exit status is 1 if an outcome differs and 2 if the trace cannot be run.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"redwinglock/internal/bench/replay"
)

type arguments struct {
	Bin   string `arg:"--bin,required" help:"directory of the built programs"`
	Trace string `arg:"positional,required" help:"file of JSON lines"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	differences, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(2)
	}
	for _, line := range differences {
		fmt.Println("differs:", line)
	}
	if len(differences) > 0 {
		os.Exit(1)
	}
	fmt.Println("replay: all outcomes as expected")
}

func run(args arguments) ([]string, error) {
	file, err := os.Open(args.Trace)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer file.Close()
	trace, err := replay.Parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", args.Trace, err)
	}
	return replay.Play(args.Bin, trace, os.Stdout)
}
