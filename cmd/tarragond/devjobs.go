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

// defaultJobsDuration is how long jobs are handed in unless another time is set.
const defaultJobsDuration = 10 * time.Second

// errNotKept says that the run broke what must hold; the summary says what.
var errNotKept = errors.New("an accepted job was not completed, a task ran twice at once, or the wave was not completed")

func devJobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev-jobs",
		Usage: "run jobs on a small fleet with a stand-in of the operators' platform in one process",
		Description: "Hands jobs in while the store goes away for a moment and machines undergo maintenance, prints one JSON " +
			"summary, and exits 0 only if every accepted job was completed and no task ran twice at once.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: defaultJobsDuration, Usage: "how long jobs are handed in"},
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
		return errNotKept
	}
	return nil
}
