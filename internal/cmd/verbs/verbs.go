// Package verbs implements the commands of cicadahall, one file for each. A
// command returns an error with its exit code; only Main prints the error.
package verbs

import (
	"errors"
	"fmt"
	"io"

	flags "github.com/jessevdk/go-flags"
)

// Exit codes of all commands.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// failure is an error with the exit code for it.
type failure struct {
	code int
	err  error
}

func (f failure) Error() string { return f.err.Error() }

func (f failure) Unwrap() error { return f.err }

// streams holds the outputs of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command given by args and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	s := streams{out: out, err: errOut}
	p := flags.NewNamedParser("cicadahall", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Load balancer node and commands for operators. Exit codes: 0 done, 1 refused or failed, 2 usage error, 3 outcome unknown."
	for _, v := range commands(s) {
		if _, err := p.AddCommand(v.name, v.short, v.long, v.handler); err != nil {
			fmt.Fprintln(errOut, err)
			return exitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return reportError(err, s)
}

// command is one entry of the command table.
type command struct {
	name    string
	short   string
	long    string
	handler flags.Commander
}

func commands(s streams) []command {
	return []command{
		{"node", "run a node", "Runs a node beside an upstream until SIGTERM, then drains it.\n\nExample: cicadahall node /etc/cicadahall/node.json", &nodeCommand{streams: s}},
		{"side", "run a node on the hosting platform", "Runs a node beside an upstream on the hosting platform until SIGTERM, then drains it.\nThe platform provides the settings file (deploy/settings.json) and passes its path to the process.\n\nExample: cicadahall side", &sideCommand{streams: s}},
		{"apply", "publish a manifest", "Checks and publishes a manifest and, with --peer, waits until it is in force.\n\nExample: cicadahall apply --table http://10.0.0.5:7100 --objects http://10.0.0.5:7101 --peer 10.0.1.1:7001 manifest.json", &applyCommand{streams: s}},
		{"check", "check manifests and settings", checkHelp, &checkCommand{streams: s}},
		{"report", "show the work counts of all services", reportHelp, &reportCommand{streams: s}},
		{"status", "show the state of the system", statusHelp, &statusCommand{streams: s}},
		{"timeline", "merge the events of all nodes", timelineHelp, &timelineCommand{streams: s}},
		{"version", "print the version", "Prints the version of this binary.\n\nExample: cicadahall version", &versionCommand{streams: s}},
	}
}

// reportError prints err and returns its exit code.
func reportError(err error, s streams) int {
	if err == nil {
		return exitDone
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		return reportUsage(fe, s)
	}
	fmt.Fprintln(s.err, "cicadahall:", err)
	var f failure
	if errors.As(err, &f) {
		return f.code
	}
	return exitFailed
}

func reportUsage(err *flags.Error, s streams) int {
	if err.Type == flags.ErrHelp {
		fmt.Fprintln(s.out, err.Message)
		return exitDone
	}
	fmt.Fprintln(s.err, "cicadahall:", err.Message)
	return exitUsage
}
