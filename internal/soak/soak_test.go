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
	seeds  = flag.Int("seeds", 1, "seeds to play")
	first  = flag.Uint64("first", 20261204, "first of them")
	length = flag.Duration("length", 8*time.Second, "time in which faults begin")
	nodes  = flag.Int("nodes", 6, "nodes of the system")
)

// bin holds the programs, built once for all tests.
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

func play(t *testing.T, seed uint64) {
	r, err := soak.Play(soak.Options{Seed: seed, Nodes: *nodes, Length: *length, Bin: bin, Dir: t.ArtifactDir()})
	assert.NilError(t, err)
	t.Logf("%d asked, %d served, %d refused, %d failed, %d faults", r.Asked, r.Served, r.Refused, r.Failed, r.Faults)
	assert.Assert(t, r.Served > 0 && r.Faults > 0)
	for _, b := range r.Broken {
		t.Error(b)
	}
}

// Guards against promises that real processes break while signals, links and
// the store make trouble: see the checks in package soak.
func TestSeeds(t *testing.T) {
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprint(*first+i), func(t *testing.T) { play(t, *first+i) })
	}
}
