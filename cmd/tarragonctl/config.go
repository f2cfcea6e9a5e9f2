package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

const defaultHistoryLimit = 20

func configCommand() *cli.Command {
	reason := &cli.StringFlag{Name: "reason", Usage: "reason of the change, for the history"}
	return &cli.Command{
		Name: "config", Usage: "read and change the configuration",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the configuration in force as a document for apply", Action: runConfigGet},
			{
				Name: "apply", Usage: "write the objects of a file, and delete those that it names under delete", ArgsUsage: "FILE",
				Flags:  []cli.Flag{reason, &cli.BoolFlag{Name: "dry-run", Usage: "only check the change and show the difference"}},
				Action: runConfigApply,
			},
			{Name: "diff", Usage: "show what apply would change", ArgsUsage: "FILE", Action: runConfigDiff},
			{
				Name: "history", Usage: "list accepted changes, newest first", Action: runConfigHistory,
				Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: defaultHistoryLimit, Usage: "maximum number of changes"}},
			},
			{Name: "status", Usage: "show the rollout of each revision", Action: runConfigStatus},
			{
				Name: "rollback", Usage: "restore the objects of an older revision as a new revision",
				ArgsUsage: "REVISION", Flags: []cli.Flag{reason}, Action: runConfigRollback,
			},
		},
	}
}

func runConfigGet(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var doc operations.ConfigDocument
	if err := c.get(ctx, operations.PathConfig, &doc); err != nil {
		return err
	}
	return writeJSON(cmd.Root().Writer, doc)
}

func runConfigApply(ctx context.Context, cmd *cli.Command) error {
	return sendChange(ctx, cmd, cmd.Bool("dry-run"))
}

func runConfigDiff(ctx context.Context, cmd *cli.Command) error {
	return sendChange(ctx, cmd, true)
}

// sendChange sends the file unchanged, so that the line numbers in reported faults are
// those of the file.
func sendChange(ctx context.Context, cmd *cli.Command, dryRun bool) error {
	path, err := oneArgument(cmd, "the file of the change")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return usage.Errorf("read the change: %v", err)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{}
	query.Set(operations.QueryDryRun, strconv.FormatBool(dryRun))
	query.Set("reason", cmd.String("reason"))
	query.Set("author", os.Getenv("USER"))
	var result operations.ApplyResult
	if err := c.call(ctx, http.MethodPost, operations.PathConfigChanges+"?"+query.Encode(), text, &result); err != nil {
		return err
	}
	return printOutput(cmd, result, applyTable)
}

func applyTable(r operations.ApplyResult) *table {
	t := &table{heading: []string{applyHeading(r)}}
	for _, line := range r.Diff {
		t.add(line)
	}
	for _, warning := range r.Warnings {
		t.add("warning: " + warning)
	}
	return t
}

func applyHeading(r operations.ApplyResult) string {
	switch {
	case r.DryRun:
		return "dry run, nothing changed"
	case r.Revision == 0:
		return "no difference, nothing changed"
	default:
		return fmt.Sprintf("accepted as revision %d", r.Revision)
	}
}

func runConfigHistory(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var history []operations.HistoryEntry
	path := fmt.Sprintf("%s?limit=%d", operations.PathConfigHistory, cmd.Int("limit"))
	if err := c.get(ctx, path, &history); err != nil {
		return err
	}
	return printOutput(cmd, history, historyTable)
}

func historyTable(history []operations.HistoryEntry) *table {
	t := &table{heading: []string{"REVISION", "AT", "AUTHOR", "OBJECTS", "REASON"}}
	for _, h := range history {
		t.add(strconv.FormatInt(int64(h.Revision), 10), formatTime(h.At), orDash(h.Author),
			strings.Join(h.Keys, ","), orDash(h.Reason))
	}
	return t
}

func runConfigStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var rollouts []operations.Rollout
	if err := c.get(ctx, operations.PathConfigStatus, &rollouts); err != nil {
		return err
	}
	return printOutput(cmd, rollouts, rolloutTable)
}

func rolloutTable(rollouts []operations.Rollout) *table {
	t := &table{heading: []string{"REVISION", "ACCEPTED", "IN FORCE EVERYWHERE", "BEHIND", "UNREACHABLE"}}
	for _, r := range rollouts {
		t.add(strconv.FormatInt(int64(r.Revision), 10), formatTime(r.AcceptedAt),
			inForceText(r), joinIDs(r.Behind), joinIDs(r.Unreachable))
	}
	return t
}

// inForceText returns the time from the acceptance of a revision until it was in force
// on every live entry instance.
func inForceText(r operations.Rollout) string {
	if r.InForce <= 0 {
		return "not yet"
	}
	return time.Duration(r.InForce).Round(time.Millisecond).String()
}

func joinIDs(ids []fleet.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return orDash(strings.Join(names, ","))
}

func runConfigRollback(ctx context.Context, cmd *cli.Command) error {
	text, err := oneArgument(cmd, "the revision to restore")
	if err != nil {
		return err
	}
	rollback := operations.Rollback{Reason: cmd.String("reason")}
	if _, err := fmt.Sscan(text, &rollback.Revision); err != nil {
		return usage.Errorf("revision %q: want a number", text)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var result operations.ApplyResult
	if err := c.post(ctx, operations.PathRollback, rollback, &result); err != nil {
		return err
	}
	return printOutput(cmd, result, applyTable)
}
