// Package commands implements the command line. It parses arguments and process
// settings files, and sets up and runs the processes.
package commands

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage is for invalid arguments and settings.
	exitUsage = 2
)

// Version is the release version.
const Version = "0.1.0"

type args struct {
	Entry   *entryCmd        `arg:"subcommand:entry" help:"run the process on the callers' side"`
	Daemon  *daemonCmd       `arg:"subcommand:daemon" help:"run the process beside a target"`
	Gate    *gateCmd         `arg:"subcommand:gate" help:"run the entry of the users' platform, which reaches engines directly"`
	Demo    *demoCmd         `arg:"subcommand:demo" help:"run a whole fleet on loopback in one process"`
	Standin *standinCmd      `arg:"subcommand:standin" help:"run a stand-in of the platform, an engine or a plain service"`
	Check   *checkCmd        `arg:"subcommand:check" help:"check branches of the settings before they are published"`
	Review  *reviewCmd       `arg:"subcommand:check-config" help:"check a config of the users' platform before it is published, and show what it changes"`
	Explain *explainCmd      `arg:"subcommand:explain" help:"show effective settings and the branch that set each"`
	Load    *loadCmd         `arg:"subcommand:load" help:"send a bounded load and report latency, cache reuse and skew"`
	Burn    *burnCmd         `arg:"subcommand:burn" help:"report the burn of service levels, merged from entries"`
	Trace   *traceRequestCmd `arg:"subcommand:trace-request" help:"print the log lines of one request from the logs of all processes, ordered by time"`
	Account *accountCmd      `arg:"subcommand:account" help:"report from the logs of all gates which requests were lost, when and why"`
	Version *versionCmd      `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "weldfall routes chats and service calls to a pool of engines that partners share."
}

// Epilogue implements arg.Epilogued.
func (args) Epilogue() string {
	return "Try: weldfall demo. Settings are described in docs/SETTINGS.md, pages and metrics in docs/OPERATORS.md."
}

// command is a subcommand.
type command interface {
	run(out, errOut io.Writer) error
}

// usageError is an error in arguments or settings; the exit code is exitUsage.
type usageError struct{ err error }

// Error implements error.
func (u usageError) Error() string { return u.err.Error() }

// Unwrap returns the wrapped error.
func (u usageError) Unwrap() error { return u.err }

func usagef(format string, a ...any) error { return usageError{fmt.Errorf(format, a...)} }

// Main parses and runs a command line without the program name. It returns the
// exit code.
func Main(argv []string, out, errOut io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "weldfall", Out: out}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "weldfall:", err)
		return exitFailed
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		p.WriteUsageForSubcommand(errOut, p.SubcommandNames()...)
		_, _ = fmt.Fprintln(errOut, "weldfall:", err)
		return exitUsage
	}
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(out)
		return exitUsage
	}
	if err := cmd.run(out, errOut); err != nil {
		_, _ = fmt.Fprintln(errOut, "weldfall:", err)
		var u usageError
		if errors.As(err, &u) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

type versionCmd struct{}

func (*versionCmd) run(out, _ io.Writer) error {
	_, err := fmt.Fprintln(out, "weldfall", Version)
	return err
}

// readFile returns a file's text with LF line ends. It fails with a usageError.
func readFile(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", usagef("%w", err)
	}
	return strings.ReplaceAll(string(b), "\r\n", "\n"), nil
}
