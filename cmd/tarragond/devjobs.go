package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/cmd/usage"
	"github.com/tarragonreach/tarragonreach/entry/devjobs"
)

// defaultJobsDuration is the default time during which jobs are submitted.
const defaultJobsDuration = 10 * time.Second

// errGuaranteeBroken is the error of a run that broke a guarantee; the printed summary
// shows which.
var errGuaranteeBroken = errors.New("no job was accepted, an accepted job was not completed, runs of a task overlapped, the wave was not completed, or an API key was accepted or refused in spite of the configuration")

func devJobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev-jobs",
		Usage: "run jobs on a small fleet with a stand-in for the operators' platform in one process",
		Description: "Submits jobs of two tenants while the store is unavailable for a short time, an API key is removed and machines undergo " +
			"maintenance, prints one JSON summary, and exits 0 only if every accepted job and the maintenance completed, no runs of a " +
			"task overlapped and API keys were accepted as configured.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: defaultJobsDuration, Usage: "how long jobs are submitted"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warn or error"},
		},
		Action: runDevJobs,
	}
}

func runDevJobs(ctx context.Context, cmd *cli.Command) error {
	duration := cmd.Duration("duration")
	if duration < minDuration {
		return usage.Errorf("--duration %s: want at least %s", duration, minDuration)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String("log-level"))); err != nil {
		return usage.Errorf("--log-level %s: want debug, info, warn or error", cmd.String("log-level"))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	summary, err := devjobs.Run(ctx, duration, logger)
	if err != nil {
		return err
	}
	text, err := json.Marshal(summary)
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if _, err := fmt.Fprintln(cmd.Root().Writer, string(text)); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if !summary.GuaranteesHeld() {
		return errGuaranteeBroken
	}
	return nil
}
