// Package usage tells wrong input on a command line from other failures.
package usage

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Exit codes that both commands share; they are stable.
const (
	ExitFailed     = 1
	ExitWrongInput = 2
)

// Error is wrong input on the command line.
type Error struct {
	// Text says what is wrong and what would be right.
	Text string
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// Errorf returns an Error with a formatted text.
func Errorf(format string, arguments ...any) *Error {
	return &Error{Text: fmt.Sprintf(format, arguments...)}
}

// HandleErrors makes cmd and the commands below it answer wrong flags with an Error. It
// sets the handler of each command, for subcommands do not inherit it.
func HandleErrors(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	for _, sub := range cmd.Commands {
		HandleErrors(sub)
	}
}

// RunWithoutCommand is the action of a root command: it prints the help, or refuses
// a command that does not exist.
func RunWithoutCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.Name)
	}
	return cli.ShowRootCommandHelp(cmd)
}

func onUsageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return Errorf("%v; see %s --help", err, cmd.FullName())
}
