// Command tarragonctl is the operators' command-line client. It calls the operator
// listener of any entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/buildinfo"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

const (
	defaultServer  = "127.0.0.1:8081"
	defaultTimeout = 10 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := newApp().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonctl:", err)
		os.Exit(exitCode(err))
	}
}

func newApp() *cli.Command {
	app := newRootCommand()
	usage.HandleErrors(app)
	return app
}

func newRootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "tarragonctl",
		Usage:                 "inspect and operate a fleet",
		Version:               buildinfo.Version(),
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action:                usage.RunWithoutCommand,
		Description: "Exit codes: 0 success, 1 failure, 2 wrong input, 3 conflict with another change, " +
			"4 the entry instance did not respond or could not serve the request.\n\nExamples:\n" +
			"  tarragonctl --server 127.0.0.1:8081 status\n" +
			"  tarragonctl config get > fleet.json\n" +
			"  tarragonctl config apply --reason 'larger pool' fleet.json",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "server", Value: defaultServer, Sources: cli.EnvVars("TARRAGON_SERVER"),
				Usage: "operator listener as HOST:PORT or URL",
			},
			&cli.StringFlag{
				Name: "token-file", Sources: cli.EnvVars("TARRAGON_TOKEN_FILE"), Usage: "file with the operator token",
			},
			&cli.StringFlag{Name: "ca-file", Usage: "CA of the operator listener's certificate; implies https"},
			&cli.StringFlag{Name: "cert-file", Usage: "client certificate"},
			&cli.StringFlag{Name: "key-file", Usage: "key of the client certificate"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "maximum time to wait for a response"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "table or json"},
		},
		Commands: []*cli.Command{
			statusCommand(), configCommand(), poolCommand(), instanceCommand(),
			drainCommand(), undrainCommand(), jobCommand(), explainCommand(), logLevelCommand(),
		},
	}
}
