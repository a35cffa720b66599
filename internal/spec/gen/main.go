// Command gen writes the JSON Schemas of the manifest and the settings to the
// directory given as its argument.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cicadahall/cicadahall/internal/spec"
)

func main() {
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func run(dir string) error {
	m, err := spec.ManifestSchema()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "manifest.json"), m, 0o644); err != nil {
		return err
	}
	s, err := spec.SettingsSchema()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "settings.json"), s, 0o644)
}
