package procs

import (
	"os"
	"os/exec"

	"github.com/samber/oops"
)

// Build compiles programs of this module into dir. Package paths are relative to
// the working directory, such as ../../cmd/standin.
func Build(dir string, packages ...string) error {
	c := exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	c.Stderr = os.Stderr
	return oops.With("step", "build", "peer", "go").Wrap(c.Run())
}
