package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/entry/node"
	"github.com/tarragonreach/tarragonreach/entry/settings"
)

func configFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "config", Aliases: []string{"c"}, Required: true, Sources: cli.EnvVars("TARRAGON_CONFIG"),
		Usage: "settings `FILE`, JSON with comments",
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run one entry instance", Flags: []cli.Flag{configFlag()}, Action: runNode,
		Description: "The first SIGTERM or SIGINT shuts down gracefully, a second one stops at once.",
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a settings file and print every fault", Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := settings.Load(cmd.String("config"), os.Getenv); err != nil {
				return err
			}
			fmt.Fprintln(cmd.Root().Writer, "settings are valid")
			return nil
		},
	}
}

// errStoppedAtOnce says that a second signal cut the shutdown short.
var errStoppedAtOnce = errors.New("stopped at once by a second signal")

// errPartFailed says that a part ended by itself; the log says which.
var errComponentFailed = errors.New("a part of the entry instance failed, see the log")

func runNode(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n, err := node.New(node.Options{Settings: s, LogOutput: os.Stderr})
	if err != nil {
		return err
	}
	n.TakeStandardLog()
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-signals:
		return stopNode(ctx, n, signals)
	case <-n.Wait():
		return errors.Join(errComponentFailed, stopNode(ctx, n, signals))
	}
}

// stopNode shuts down gracefully unless another signal comes first.
func stopNode(ctx context.Context, n *node.Node, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(ctx, n.StopTimeout())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Stop(ctx) }()
	select {
	case err := <-done:
		return err
	case <-signals:
		return errStoppedAtOnce
	}
}
