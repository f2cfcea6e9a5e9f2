// Command tarragond is what every entry instance runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/buildinfo"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
	"github.com/tarragonreach/tarragonreach/entry/settings"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
)

// Exit codes; they are stable.
const (
	exitFailed     = usage.ExitFailed
	exitWrongInput = usage.ExitWrongInput
)

func main() {
	err := newApp().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tarragond:", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var wrong *usage.Error
	if errors.As(err, &wrong) || errors.Is(err, settings.ErrInvalid) || errors.Is(err, nodefile.ErrInvalid) {
		return exitWrongInput
	}
	return exitFailed
}

func newApp() *cli.Command {
	app := newRootCommand()
	usage.HandleErrors(app)
	return app
}

func newRootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "tarragond",
		Usage:                 "one entry instance of a fleet, or a small fleet to try",
		Version:               buildinfo.Version(),
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action:                usage.RunWithoutCommand,
		Description: "Exit codes: 0 done, 1 failed, 2 wrong input.\n\nExamples:\n" +
			"  tarragond dev\n" +
			"  tarragond dev --duration 10s --json\n" +
			"  tarragond dev-jobs --duration 5s\n" +
			"  tarragond check --config entry.json\n" +
			"  tarragond run --config entry.json",
		Commands: []*cli.Command{runCommand(), serveCommand(), checkCommand(), keysCommand(), devCommand(), devJobsCommand()},
	}
}
