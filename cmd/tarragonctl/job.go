package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "show, cancel and release jobs",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list jobs", Action: listAction(operations.PathJobs, jobTable)},
			{
				Name: "cancel", Usage: "stop a job's tasks and start no more", ArgsUsage: "NAME",
				Action: jobAction("canceled by tarragonctl", func(j *object.Job) { j.Canceled = true }),
			},
			{
				Name: "release", Usage: "release a job from quarantine; any other change of the job does so too", ArgsUsage: "NAME",
				Action: jobAction("released by tarragonctl", func(j *object.Job) { j.Releases++ }),
			},
		},
	}
}

// jobAction returns an action that changes one job. The change is based on the revision
// that was just read, so that a concurrent change causes a conflict and is not
// overwritten.
func jobAction(reason string, change func(*object.Job)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		name, err := oneArgument(cmd, "the job")
		if err != nil {
			return err
		}
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		job, revision, err := findJob(ctx, c, name)
		if err != nil {
			return err
		}
		change(&job)
		document := operations.ConfigDocument{
			Revision: revision, Reason: reason, Document: object.Document{Jobs: []object.Job{job}},
		}
		var result operations.ApplyResult
		if err := c.post(ctx, operations.PathConfigChanges, document, &result); err != nil {
			return err
		}
		return printOutput(cmd, result, applyTable)
	}
}

func findJob(ctx context.Context, c *client, name string) (object.Job, object.Revision, error) {
	var document operations.ConfigDocument
	if err := c.get(ctx, operations.PathConfig, &document); err != nil {
		return object.Job{}, 0, err
	}
	i := slices.IndexFunc(document.Jobs, func(j object.Job) bool { return j.Name == name })
	if i < 0 {
		return object.Job{}, 0, &usage.Error{Text: fmt.Sprintf("no job %q is configured", name)}
	}
	return document.Jobs[i], document.Revision, nil
}
