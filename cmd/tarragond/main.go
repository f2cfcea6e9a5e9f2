// Command tarragond is what every entry instance runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/buildinfo"
	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// Exit codes; they are stable.
const (
	exitFailed     = 1
	exitWrongInput = 2
)

func main() {
	err := newApp().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tarragond:", err)
	os.Exit(exitCode(err))
}

// usageError is wrong input on the command line.
type usageError struct{ text string }

// Error returns what is wrong and what would be right.
func (e *usageError) Error() string { return e.text }

func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) || errors.Is(err, settings.ErrInvalid) {
		return exitWrongInput
	}
	return exitFailed
}

func newApp() *cli.Command {
	app := newRootCommand()
	reportUsageErrors(app)
	return app
}

// reportUsageErrors sets the handler of each command, for subcommands do not inherit it.
func reportUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return &usageError{fmt.Sprintf("%v; see %s --help", err, cmd.FullName())}
	}
	for _, sub := range cmd.Commands {
		reportUsageErrors(sub)
	}
}

func newRootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "tarragond",
		Usage:                 "one entry instance of a fleet, or a small fleet to try",
		Version:               buildinfo.Version(),
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return &usageError{fmt.Sprintf("unknown command %q; see tarragond --help", cmd.Args().First())}
			}
			return cli.ShowRootCommandHelp(cmd)
		},
		Description: "Exit codes: 0 done, 1 failed, 2 wrong input.\n\nExamples:\n" +
			"  tarragond dev\n" +
			"  tarragond dev --duration 10s --json\n" +
			"  tarragond check --config entry.json\n" +
			"  tarragond run --config entry.json",
		Commands: []*cli.Command{runCommand(), checkCommand(), keysCommand(), devCommand()},
	}
}
