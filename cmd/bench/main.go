// Command bench measures redwinglock on this machine and compares the results with bounds. The
// exit status is 1 if a bound is missed.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"redwinglock/internal/bench/capacity"
	"redwinglock/internal/bench/decisions"
	"redwinglock/internal/bench/load"
	"redwinglock/internal/bench/soak"
)

type capacityArguments struct {
	Bin  string `arg:"--bin,required" help:"directory of the built programs"`
	Only string `arg:"--only" help:"measure one series and write nothing"`
	Docs string `arg:"--docs" default:"docs" help:"directory of the page, its tables and plots"`
}

type decisionsArguments struct {
	Seeds int `arg:"--seeds" default:"3" help:"number of seeds"`
}

type soakArguments struct {
	Seeds  int           `arg:"--seeds" default:"10" help:"number of seeds"`
	First  uint64        `arg:"--first" help:"first seed; default: drawn from the clock"`
	Jobs   int           `arg:"--jobs" default:"3" help:"seeds that run at the same time"`
	Hosts  int           `arg:"--hosts" default:"4" help:"number of hosts"`
	Faults int           `arg:"--faults" default:"14" help:"number of faults of a seed"`
	Time   time.Duration `arg:"--time" default:"20s" help:"time in which faults begin"`
	Failed bool          `arg:"--failed" help:"play the seeds that have failed before"`
	Older  string        `arg:"--older" help:"directory of another build (target/redwinglock, deploy/settings.yaml): half of the hosts begin with it"`
	Logs   string        `arg:"--logs" default:"soak-logs" help:"directory for the logs of failed seeds"`
}

type loadArguments struct {
	Sheet string        `arg:"--sheet" default:"toplopod-bg" help:"toplopod-bg or kmtw-redwing"`
	Scale float64       `arg:"--scale" default:"1" help:"factor on all rates"`
	Time  time.Duration `arg:"--time" default:"20s" help:"time in which requests are sent"`
	Seed  uint64        `arg:"--seed" default:"1" help:"seed of the times of requests"`
}

type arguments struct {
	Load      *loadArguments      `arg:"subcommand:load" help:"the requests of a deployment at real hosts"`
	Soak      *soakArguments      `arg:"subcommand:soak" help:"real processes under random faults"`
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
	case args.Soak != nil:
		err = runSoak(args.Soak)
	case args.Load != nil:
		err = runLoad(args.Load)
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

func runLoad(args *loadArguments) error {
	sheet, err := load.ReadSheet(args.Sheet)
	if err != nil {
		return err
	}
	reports, err := load.Run(sheet, load.Options{Settings: "deploy/settings.yaml", Scale: args.Scale, Duration: args.Time, Seed: args.Seed})
	if err != nil {
		return err
	}
	return load.Print(os.Stdout, reports)
}

func runSoak(args *soakArguments) error {
	first := args.First
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	seeds := make([]uint64, args.Seeds)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	if args.Failed {
		seeds = soak.FailedSeeds()
	}
	options := soak.Options{Settings: "deploy/settings.yaml", Hosts: args.Hosts, Faults: args.Faults, FaultPeriod: args.Time, Logs: args.Logs}
	if args.Older != "" {
		options.Older = filepath.Join(args.Older, "target", "redwinglock")
		options.OlderSettings = filepath.Join(args.Older, "deploy", "settings.yaml")
	}
	failed, err := soak.RunAll(os.Stdout, seeds, args.Jobs, options)
	if err != nil {
		return err
	}
	if failed > 0 {
		return errMissed
	}
	return nil
}
