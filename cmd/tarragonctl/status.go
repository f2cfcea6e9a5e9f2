package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of an entry instance and its peers", Action: runStatus,
	}
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var status operations.Status
	if err := c.get(ctx, operations.PathStatus, &status); err != nil {
		return err
	}
	return printOutput(cmd, status, statusTable)
}

func statusTable(s operations.Status) *table {
	t := &table{heading: []string{"INSTANCE", "ZONE", "STATE", "REVISION", "NOTE"}}
	t.add(string(s.Instance), string(s.Zone), readinessText(s), strconv.FormatInt(int64(s.ConfigRevision), 10), statusNote(s))
	for _, m := range s.Members {
		t.add(string(m.Instance), string(m.Zone), reachabilityText(m), strconv.FormatInt(int64(m.ConfigRevision), 10),
			"last contact "+formatTime(m.LastContact))
	}
	return t
}

func readinessText(s operations.Status) string {
	if s.Ready {
		return "ready"
	}
	return "not-ready"
}

func reachabilityText(m operations.Member) string {
	if m.Reachable {
		return "reachable"
	}
	return "unreachable"
}

func statusNote(s operations.Status) string {
	note := fmt.Sprintf("%d executors, version %s", s.Executors, s.Version)
	if !s.StoreReachable {
		note += fmt.Sprintf("; store unreachable, configuration %s old", time.Duration(s.ConfigAge).Round(time.Second))
	}
	for _, d := range s.Duties {
		note += fmt.Sprintf("; duty %s", d.Name)
	}
	for _, reason := range s.NotReady {
		note += "; " + reason
	}
	return note
}

func logLevelCommand() *cli.Command {
	return &cli.Command{
		Name: "log-level", Usage: "change the log level of one entry instance", ArgsUsage: "debug|info|warn|error",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			level, err := oneArgument(cmd, "a level: debug, info, warn or error")
			if err != nil {
				return err
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			var updated operations.LogLevel
			if err := c.post(ctx, operations.PathLogLevel, operations.LogLevel{Level: level}, &updated); err != nil {
				return err
			}
			return printOutput(cmd, updated, func(l operations.LogLevel) *table {
				return &table{heading: []string{"LEVEL"}, rows: [][]string{{l.Level}}}
			})
		},
	}
}

// oneArgument returns the only argument of cmd; what describes it in the error.
func oneArgument(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usage.Errorf("%s: want one argument, %s", cmd.Name, what)
	}
	return cmd.Args().First(), nil
}
