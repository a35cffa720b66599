// Command capacity measures the resource use of each role of a node at several
// system sizes and rewrites the tables of docs/CAPACITY.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/cicadahall/cicadahall/internal/slope"
)

type options struct {
	Page  string   `long:"page" default:"docs/CAPACITY.md" description:"Markdown file whose tables are rewritten"`
	Roles []string `long:"role" description:"role to measure; may be repeated (default: all roles, which also updates the summary)"`
	Whole bool     `long:"whole" description:"measure all membership scenarios with 1,100 members, which takes some minutes longer"`
	Print bool     `long:"print" description:"print the tables instead of rewriting the file"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "cicadahall-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	progress := func(text string) { fmt.Fprintln(os.Stderr, text) }
	costs, err := slope.Measure(ctx, slope.Options{Bin: filepath.Dir(self), Dir: dir, FullSize: o.Whole}, o.Roles, progress)
	if err != nil {
		return err
	}
	tables, err := slope.Tables(costs, slope.Machine(time.Now()))
	if err != nil {
		return err
	}
	if o.Print {
		for name, t := range tables {
			fmt.Printf("%s\n\n%s\n", name, t)
		}
		return nil
	}
	return rewrite(o, tables)
}

// rewrite replaces the file atomically, so that a failed run leaves it unchanged.
func rewrite(o options, tables map[string]string) error {
	page, err := os.ReadFile(o.Page)
	if err != nil {
		return err
	}
	newPage, err := slope.Fill(string(page), tables, len(o.Roles) > 0)
	if err != nil {
		return err
	}
	tempFile := o.Page + ".next"
	if err := os.WriteFile(tempFile, []byte(newPage), 0o644); err != nil {
		return err
	}
	return os.Rename(tempFile, o.Page)
}
