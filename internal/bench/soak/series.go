package soak

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"sync"

	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"redwinglock/internal/standin/site"
)

//go:embed failed-seeds.yaml
var failedSeeds []byte

// failedSeed is a seed that failed before, with the cause of the failure.
type failedSeed struct {
	Seed  uint64 `yaml:"seed"`
	Cause string `yaml:"cause"`
}

// FailedSeeds returns all seeds that failed before.
func FailedSeeds() []uint64 {
	var list []failedSeed
	if err := yaml.Unmarshal(failedSeeds, &list); err != nil {
		panic(err) // The file is embedded, and a test decodes it.
	}
	var seeds []uint64
	for _, f := range list {
		seeds = append(seeds, f.Seed)
	}
	return seeds
}

// RunAll builds the program and runs all seeds, up to jobs of them at the same time. It
// returns the number of seeds that failed.
func RunAll(out io.Writer, seeds []uint64, jobs int, o Options) (int, error) {
	dir, err := os.MkdirTemp("", "redwinglock-soak")
	if err != nil {
		return 0, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	if o.Program, err = site.Build(dir); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	failed := 0
	var group errgroup.Group
	group.SetLimit(jobs)
	for _, seed := range seeds {
		group.Go(func() error {
			options := o
			options.Seed = seed
			result, err := Run(options)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(out, "seed %d: %d requests, %d served, %d runs, %d stalls, %d broken\n",
				seed, result.Requests, result.Served, result.Runs, result.Stalls, len(result.Broken))
			for _, text := range result.Broken {
				fmt.Fprintln(out, "  ", text)
			}
			if len(result.Broken) > 0 {
				failed++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return failed, err
	}
	fmt.Fprintf(out, "%d of %d seeds failed\n", failed, len(seeds))
	return failed, nil
}
