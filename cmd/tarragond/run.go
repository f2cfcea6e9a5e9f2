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
		Description: "The first SIGTERM or SIGINT shuts down gracefully, a second one stops the process immediately.",
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a settings file and print all its faults", Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := settings.Load(cmd.String("config"), os.Getenv); err != nil {
				return err
			}
			fmt.Fprintln(cmd.Root().Writer, "settings are valid")
			return nil
		},
	}
}

// errStoppedAtOnce is returned if a second signal interrupted the graceful shutdown.
var errStoppedAtOnce = errors.New("graceful shutdown interrupted by a second signal")

// errComponentFailed is returned if a component ended without a signal; the log says
// which one.
var errComponentFailed = errors.New("a component of the entry instance failed, see the log")

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
	n.RedirectStandardLoggers()
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-signals:
		return stopNode(ctx, n, signals)
	case <-n.Failed():
		return errors.Join(errComponentFailed, stopNode(ctx, n, signals))
	}
}

// stopNode shuts down gracefully and returns errStoppedAtOnce if another signal
// arrives before the shutdown is complete.
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
