package main

import (
	"context"
	"net/url"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

var explainKinds = []string{"instance", "pool", "job", "maintenance-plan", "request"}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the decisions about an object and their reasons, from every reachable entry instance",
		ArgsUsage: strings.Join(explainKinds, "|") + " NAME", Action: runExplain,
	}
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	kind, name := cmd.Args().Get(0), cmd.Args().Get(1)
	if cmd.Args().Len() != 2 || !slices.Contains(explainKinds, kind) {
		return usage.Errorf("explain: want one of %s and a name", strings.Join(explainKinds, ", "))
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	explanations := []operations.Explanation{}
	path := operations.PathExplain + "/" + kind + "/" + url.PathEscape(name)
	if err := c.get(ctx, path, &explanations); err != nil {
		return err
	}
	return printOutput(cmd, explanations, explainTable)
}

func explainTable(explanations []operations.Explanation) *table {
	t := &table{heading: []string{"AT", "BY", "SUBJECT", "DECISION", "REASON", "INPUTS", "REFUSED"}}
	for _, e := range explanations {
		t.add(formatTime(e.At), e.Instance, e.Subject, e.Decision, e.Reason,
			orDash(strings.Join(e.Inputs, " ")), orDash(strings.Join(e.Refused, "; ")))
	}
	return t
}
