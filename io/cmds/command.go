// Package cmds provides the subcommands of hickoryrail.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"hickoryrail/io/conf"
)

type (
	// Backends are the implementations of commands that package main provides. A
	// command whose backend is nil is not available.
	Backends struct {
		// Node runs a node until ctx ends and then stops it gracefully.
		Node func(ctx context.Context, s conf.Settings, stdout io.Writer) error
		// Target creates a stand-in target.
		Target func(o TargetOptions) StandInTarget
		// Demo runs the demonstration.
		Demo Backend
		// Bench runs measurements.
		Bench Backend
	}

	// Backend implements a command that defines its own flags.
	Backend struct {
		// Flags defines the flags; nil defines none.
		Flags func(f *flag.FlagSet)
		// Run runs the command with the arguments after the flags.
		Run func(ctx context.Context, stdout io.Writer, args []string) error
	}

	// command is one subcommand.
	command struct {
		name     string
		synopsis string
		// usage starts with a line that shows the arguments and ends with
		// examples.
		usage string
		// flags defines the flags; nil defines none.
		flags func(f *flag.FlagSet)
		run   func(ctx context.Context, args []string) error
		// stderr is where the error of run is written.
		stderr io.Writer
	}

	// usageError reports an invalid command line.
	usageError struct {
		text string
	}
)

// Main runs the command line args, without the program's name, and returns the
// exit status: 0, 1 for an error or 2 for an invalid command line. SIGINT or SIGTERM
// ends the command's context. A second SIGINT ends the process; a second SIGTERM is
// ignored, because the supervisor of the process may send it again while requests in
// flight finish.
func Main(args []string, stdout, stderr io.Writer, b Backends) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	return Run(ctx, args, stdout, stderr, b)
}

// Run runs the command line args until ctx ends and returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, b Backends) int {
	top := flag.NewFlagSet("hickoryrail", flag.ContinueOnError)
	top.SetOutput(stderr)
	commander := subcommands.NewCommander(top, "hickoryrail")
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	for group, list := range groups(stdout, b) {
		for _, c := range list {
			c.stderr = stderr
			commander.Register(c, group)
		}
	}
	if err := top.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(subcommands.ExitSuccess)
		}
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// groups returns the available commands by group.
func groups(stdout io.Writer, b Backends) map[string][]*command {
	all := map[string][]*command{
		"operators": {
			checkCommand(stdout), planCommand(stdout), applyCommand(stdout), historyCommand(stdout),
			statusCommand(stdout), watchCommand(stdout),
		},
		"servers": {keysCommand(stdout), settingsCommand(stdout)},
		"trials":  {platformCommand(stdout)},
	}
	if b.Node != nil {
		all["servers"] = append(all["servers"], nodeCommand(stdout, b.Node))
	}
	if b.Target != nil {
		all["trials"] = append(all["trials"], targetCommand(stdout, b.Target))
	}
	for _, extra := range []struct {
		backend               Backend
		name, synopsis, usage string
	}{
		{b.Demo, "demo", "run a small fleet in one process and show its guarantees", demoUsage},
		{b.Bench, "bench", "run measurements and print tables", benchUsage},
	} {
		if extra.backend.Run != nil {
			all["trials"] = append(all["trials"], backendCommand(extra.backend, stdout, extra.name, extra.synopsis, extra.usage))
		}
	}
	return all
}

// backendCommand returns the command of a backend with flags of its own.
func backendCommand(b Backend, stdout io.Writer, name, synopsis, usage string) *command {
	return &command{
		name: name, synopsis: synopsis, usage: usage, flags: b.Flags,
		run: func(ctx context.Context, args []string) error { return b.Run(ctx, stdout, args) },
	}
}

// Name returns the command's name.
func (c *command) Name() string {
	return c.name
}

// Synopsis returns a short description.
func (c *command) Synopsis() string {
	return c.synopsis
}

// Usage returns the description with examples, above the list of flags.
func (c *command) Usage() string {
	return c.usage + "\nFlags:\n"
}

// SetFlags defines the command's flags. If the flag set writes to the standard error
// of the process, it makes it write to c.stderr instead.
func (c *command) SetFlags(f *flag.FlagSet) {
	if f.Output() == io.Writer(os.Stderr) {
		f.SetOutput(c.stderr)
	}
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command, prints its error and returns the exit status.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f.Args())
	var usage usageError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		fmt.Fprintf(c.stderr, "hickoryrail %s: %v\n\n%s", c.name, err, c.usage)
		return subcommands.ExitUsageError
	default:
		fmt.Fprintf(c.stderr, "hickoryrail %s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
}

// Error returns the text.
func (e usageError) Error() string {
	return e.text
}

// noArguments returns an error if there are arguments after the flags.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return nil
}
