// Command measure compares cicadahall's load balancing with simpler policies in a
// simulation with virtual time. All policies get the same seeds and load.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"

	flags "github.com/jessevdk/go-flags"

	"github.com/cicadahall/cicadahall/internal/trial"
)

type options struct {
	Seed     uint64 `long:"seed" default:"20261204" description:"seed of arrivals, service times, faults and policies"`
	Scenario string `long:"scenario" description:"run only scenarios whose name contains this text"`
	Service  string `long:"service" description:"run only services whose name contains this text"`
	Requests int    `long:"requests" default:"300000" description:"requests per run"`
	Output   string `long:"output" default:"text" choice:"text" choice:"json" description:"output format"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run() error {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return nil
		}
		return err
	}
	trials := trial.Combine(o.Service, o.Scenario, o.Seed, o.Requests)
	if len(trials) == 0 {
		return errors.New("no scenario and service match; omit --scenario or --service to see all names")
	}
	// Use half of the CPUs, because the machine may run other work.
	results, err := trial.All(trials, max(1, runtime.NumCPU()/2))
	if err != nil {
		return err
	}
	if o.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	trial.WriteTable(os.Stdout, results)
	return nil
}
