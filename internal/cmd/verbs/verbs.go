// Package verbs is the command line of cicadahall: one file for each verb.
// A verb returns an error that carries its exit code; only Main prints it.
package verbs

import (
	"errors"
	"fmt"
	"io"

	flags "github.com/jessevdk/go-flags"
)

// Exit codes of every verb.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// failure is an error with the exit code that it leads to.
type failure struct {
	code int
	err  error
}

func (f failure) Error() string { return f.err.Error() }

func (f failure) Unwrap() error { return f.err }

// streams are the outputs that a verb may write to.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the verb that args name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	s := streams{out: out, err: errOut}
	p := flags.NewNamedParser("cicadahall", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Load balancer node and operators' commands. Exit codes: 0 done, 1 refused or failed, 2 usage, 3 outcome unknown."
	for _, v := range table(s) {
		if _, err := p.AddCommand(v.name, v.short, v.long, v.command); err != nil {
			fmt.Fprintln(errOut, err)
			return exitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return report(err, s)
}

// verb is one entry of the command table.
type verb struct {
	name    string
	short   string
	long    string
	command flags.Commander
}

func table(s streams) []verb {
	return []verb{
		{"node", "run a node", "Runs a node beside an upstream until SIGTERM, which drains it.\n\nExample: cicadahall node /etc/cicadahall/node.json", &nodeVerb{s: s}},
		{"side", "run a node on the users' platform", "Runs a node beside an upstream on the users' platform until SIGTERM, which drains it.\nThe platform places the settings (deploy/settings.json) and names them to the process.\n\nExample: cicadahall side", &sideVerb{s: s}},
		{"apply", "publish a manifest", "Checks and publishes a manifest and waits until it is in force.\n\nExample: cicadahall apply --table http://10.0.0.5:7100 --objects http://10.0.0.5:7101 --peer 10.0.1.1:7001 manifest.json", &applyVerb{s: s}},
		{"check", "check manifests and settings", checkHelp, &checkVerb{s: s}},
		{"report", "show the work of all services", reportHelp, &reportVerb{s: s}},
		{"status", "show the state of the system", statusHelp, &statusVerb{s: s}},
		{"timeline", "merge the events of all nodes", timelineHelp, &timelineVerb{s: s}},
		{"version", "print the version", "Prints the version of this binary.\n\nExample: cicadahall version", &versionVerb{s: s}},
	}
}

// report prints err and maps it to an exit code.
func report(err error, s streams) int {
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
