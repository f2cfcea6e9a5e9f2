package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/cmd/usage"
	"github.com/tarragonreach/tarragonreach/entry/dev"
)

// minDuration leaves a development run enough time for its scenario.
const minDuration = 2 * time.Second

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet with stand-ins in one process under a mixed load",
		Description: "Without --duration the fleet keeps running after the load until interrupted. Exits 0 only if every " +
			"request got a correct response or refusal and none ran twice though its class forbids it.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load; the command ends after it"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON summary on standard output"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	duration := cmd.Duration("duration")
	if cmd.IsSet("duration") && duration < minDuration {
		return usage.Errorf("--duration %s: want at least %s", duration, minDuration)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := dev.Options{
		Duration: duration, Stay: duration == 0, JSON: cmd.Bool("json"), Out: cmd.Root().Writer,
		LogOutput: os.Stderr, LogLevel: cmd.String("log-level"),
	}
	if duration == 0 {
		o.Duration = dev.DefaultDuration
	}
	err := dev.Run(ctx, o)
	if o.Stay && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
