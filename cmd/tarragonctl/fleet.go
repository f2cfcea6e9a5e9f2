package main

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

func poolCommand() *cli.Command {
	return &cli.Command{
		Name: "pool", Usage: "show pools",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list pools with their size and budget", Action: listAction(operations.PathPools, poolTable)},
			{
				Name: "maintenance", Usage: "show the progress and forecast of maintenance",
				Action: listAction(operations.PathMaintenance, maintenanceTable),
			},
		},
	}
}

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name: "instance", Usage: "show and relabel instances",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list instances", Action: listAction(operations.PathInstances, instanceTable)},
			{
				Name: "label", Usage: "set labels of an instance; KEY= removes one", ArgsUsage: "ID KEY=VALUE…",
				Action: runLabel,
			},
		},
	}
}

// listAction returns an action that reads a list from path and prints it.
func listAction[T any](path string, render func([]T) *table) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		items := []T{}
		if err := c.get(ctx, path, &items); err != nil {
			return err
		}
		return printOutput(cmd, items, render)
	}
}

func poolTable(pools []operations.PoolStatus) *table {
	t := &table{heading: []string{"POOL", "SIZE", "HEALTHY", "EXPECTED", "BUDGET LEFT", "REASONS"}}
	for _, p := range pools {
		t.add(p.Name, strconv.Itoa(p.Size), strconv.Itoa(p.Healthy), strconv.Itoa(p.Expected),
			strconv.Itoa(p.Available), orDash(strings.Join(p.Reasons, "; ")))
	}
	return t
}

func maintenanceTable(items []operations.MaintenanceStatus) *table {
	t := &table{heading: []string{"PLAN", "BY ZONE", "DONE", "DUE", "UNDER WAY", "FORECAST", "PAUSED"}}
	for _, m := range items {
		t.add(m.Plan, string(m.Zone), fmt.Sprintf("%d/%d", m.Done, m.Total), strconv.Itoa(m.Due), strconv.Itoa(m.UnderMaintenance),
			formatTime(m.Forecast), orDash(m.Paused))
	}
	return t
}

func instanceTable(instances []operations.InstanceStatus) *table {
	t := &table{heading: []string{"INSTANCE", "ZONE", "RACK", "POOL", "STATE", "SINCE", "REASON"}}
	for _, i := range instances {
		t.add(string(i.ID), string(i.Zone), orDash(i.Rack), orDash(i.Pool), string(i.State),
			formatTime(i.Since), orDash(i.Reason))
	}
	return t
}

func jobTable(jobs []operations.JobStatus) *table {
	t := &table{heading: []string{"JOB", "TENANT", "TASKS", "RUNNING", "DONE", "WAITING", "REASON"}}
	for _, j := range jobs {
		t.add(j.Name, j.Tenant, strconv.Itoa(j.Tasks), strconv.Itoa(j.Running), strconv.Itoa(j.Done),
			strconv.Itoa(j.Waiting), orDash(j.Reason))
	}
	return t
}

func runLabel(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return &usage.Error{Text: "label: want an instance and one or more KEY=VALUE"}
	}
	labels := label.Set{}
	for _, arg := range args[1:] {
		key, value, ok := strings.Cut(arg, "=")
		if !ok || key == "" {
			return usage.Errorf("label %q: want KEY=VALUE, or KEY= to remove it", arg)
		}
		labels[key] = value
	}
	return changeInstance(ctx, cmd, args[0], "labels", operations.InstanceChange{Labels: labels})
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop giving an instance new work, within its pool's budget", ArgsUsage: "ID",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "reason", Usage: "reason of the drain, shown in the instance list"}},
		Action: instanceAction("drain"),
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "let a drained instance get work again", ArgsUsage: "ID", Action: instanceAction("undrain"),
	}
}

func instanceAction(verb string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		id, err := oneArgument(cmd, "the instance")
		if err != nil {
			return err
		}
		return changeInstance(ctx, cmd, id, verb, operations.InstanceChange{Reason: cmd.String("reason")})
	}
}

func changeInstance(ctx context.Context, cmd *cli.Command, id, verb string, change operations.InstanceChange) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var updated operations.InstanceStatus
	path := operations.PathInstances + "/" + url.PathEscape(id) + "/" + verb
	if err := c.post(ctx, path, change, &updated); err != nil {
		return err
	}
	return printOutput(cmd, updated, func(s operations.InstanceStatus) *table {
		return instanceTable([]operations.InstanceStatus{s})
	})
}
