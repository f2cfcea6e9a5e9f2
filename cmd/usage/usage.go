// Package usage distinguishes wrong input on a command line from other failures.
package usage

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Exit codes that tarragond and tarragonctl share; scripts depend on them, so they
// don't change.
const (
	ExitFailed     = 1
	ExitWrongInput = 2
)

// Error reports wrong input on the command line.
type Error struct {
	// Text says what is wrong and what is expected instead.
	Text string
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// Errorf returns an Error with a formatted text.
func Errorf(format string, arguments ...any) *Error {
	return &Error{Text: fmt.Sprintf(format, arguments...)}
}

// HandleErrors makes cmd and its subcommands return an Error for wrong flags. It sets
// the handler of each command, since subcommands do not inherit it.
func HandleErrors(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	for _, sub := range cmd.Commands {
		HandleErrors(sub)
	}
}

// RunWithoutCommand is the action of a root command: it prints the help, or returns an
// Error if the arguments name an unknown command.
func RunWithoutCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.Name)
	}
	return cli.ShowRootCommandHelp(cmd)
}

func onUsageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return Errorf("%v; see %s --help", err, cmd.FullName())
}
