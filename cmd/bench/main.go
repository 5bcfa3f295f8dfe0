// Command bench measures redwinglock on this machine and compares with bounds. It exits
// with 1 if a bound is missed.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"redwinglock/internal/bench/capacity"
	"redwinglock/internal/bench/decisions"
)

type capacityArguments struct {
	Bin  string `arg:"--bin,required" help:"directory of the built programs"`
	Only string `arg:"--only" help:"measure one series and write nothing"`
	Docs string `arg:"--docs" default:"docs" help:"directory of the page, its tables and plots"`
}

type decisionsArguments struct {
	Seeds int `arg:"--seeds" default:"3" help:"number of seeds"`
}

type arguments struct {
	Capacity  *capacityArguments  `arg:"subcommand:capacity" help:"cost of each role, for docs/CAPACITY.md"`
	Decisions *decisionsArguments `arg:"subcommand:decisions" help:"order, shares and placement under load"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Capacity != nil:
		err = runCapacity(args.Capacity)
	case args.Decisions != nil:
		err = runDecisions(args.Decisions)
	default:
		parser.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

var errMissed = errors.New("a bound is missed")

func runCapacity(args *capacityArguments) error {
	result, err := capacity.Run(args.Bin, args.Only, func(line string) { fmt.Println(line) })
	if err != nil {
		return err
	}
	if args.Only != "" {
		return nil
	}
	if err := result.WritePage(args.Docs); err != nil {
		return err
	}
	missed := result.Missed()
	for _, line := range missed {
		fmt.Println("missed:", line)
	}
	if len(missed) > 0 {
		return errMissed
	}
	return nil
}

func runDecisions(args *decisionsArguments) error {
	missed, err := decisions.Run(os.Stdout, args.Seeds)
	if err != nil {
		return err
	}
	if missed > 0 {
		return errMissed
	}
	return nil
}
