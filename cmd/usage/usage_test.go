package usage

import (
	"context"
	"io"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

func TestWrongInputIsAnError(t *testing.T) {
	cases := []struct {
		arguments []string
		want      string
	}{
		{[]string{"tool", "wrong"}, `unknown command "wrong"; see tool --help`},
		{[]string{"tool", "list", "--wrong"}, "flag provided but not defined: -wrong; see tool list --help"},
	}
	for _, c := range cases {
		app := &cli.Command{
			Name: "tool", Action: RunWithoutCommand, Writer: io.Discard, ErrWriter: io.Discard,
			ExitErrHandler: func(context.Context, *cli.Command, error) {},
			Commands:       []*cli.Command{{Name: "list"}},
		}
		HandleErrors(app)
		err := app.Run(t.Context(), c.arguments)
		var wrong *Error
		assert.Assert(t, err != nil)
		assert.ErrorType(t, err, wrong)
		assert.Error(t, err, c.want)
	}
}
