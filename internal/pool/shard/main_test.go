package shard

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes generated tests reproducible. -rapid.seed overrides it.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set(fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
