package soak_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/procs"
	"github.com/cicadahall/cicadahall/internal/soak"
)

var (
	seeds  = flag.Int("seeds", 1, "number of seeds to run")
	first  = flag.Uint64("first", 20261204, "first seed")
	length = flag.Duration("length", 8*time.Second, "time during which faults are started")
	nodes  = flag.Int("nodes", 6, "number of nodes")
)

// bin is the directory of the programs, which are built once for all tests.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadahall-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := procs.Build(dir, "../../cmd/cicadahall", "../../cmd/standin"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	bin = dir
	return m.Run()
}

func runSeed(t *testing.T, seed uint64) {
	r, err := soak.Run(soak.Options{Seed: seed, Nodes: *nodes, Length: *length, Bin: bin, Dir: t.ArtifactDir()})
	assert.NilError(t, err)
	t.Logf("%d sent, %d served, %d refused, %d failed, %d faults", r.Sent, r.Served, r.Refused, r.Failed, r.Faults)
	assert.Assert(t, r.Served > 0 && r.Faults > 0)
	for _, b := range r.Violations {
		t.Error(b)
	}
}

// Guards against violations of the requirements that package soak checks, by real
// processes under signals, link faults and faults of the store.
func TestSeeds(t *testing.T) {
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprint(*first+i), func(t *testing.T) { runSeed(t, *first+i) })
	}
}
