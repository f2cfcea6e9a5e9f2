package node

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/api/strictjson"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/entry/operator"
)

// maxRolloutsListed bounds the number of rollouts that Rollouts returns.
const maxRolloutsListed = 20

// configOperations reads and changes the configuration for operators.
type configOperations struct {
	parts
}

var _ operator.Config = (*configOperations)(nil)

// Document returns the configuration in force as a document that Apply accepts.
func (c *configOperations) Document() operations.ConfigDocument {
	current := c.Follower.Current()
	return operations.ConfigDocument{Revision: current.Revision, Document: current.Document()}
}

// Apply validates an edit and, unless it is a dry run, accepts its changes.
func (c *configOperations) Apply(ctx context.Context, edit operator.Edit) (operations.ApplyResult, error) {
	parsed, err := object.Parse(edit.Text)
	if err != nil {
		return operations.ApplyResult{}, err
	}
	change, err := c.change(edit, parsed)
	if err != nil {
		return operations.ApplyResult{}, err
	}
	result, err := c.accept(ctx, change, edit.DryRun)
	return result, withLocations(parsed, err)
}

// withLocations adds the positions in the operator's text to the faults of a change.
func withLocations(parsed *object.Edit, err error) error {
	var invalid object.Invalid
	if errors.As(err, &invalid) {
		return parsed.Locate(invalid)
	}
	return err
}

// change converts an edit to a change of the objects that differ.
func (c *configOperations) change(edit operator.Edit, parsed *object.Edit) (object.Change, error) {
	current := c.Follower.Current()
	change := object.Change{
		ID: rand.Text(), Author: edit.Author, Reason: firstNonEmpty(edit.Reason, parsed.Reason),
		Put: parsed.Put, Delete: parsed.Delete,
	}
	after := current.Apply(change)
	change.Delete = nil
	if err := config.Reduce(&change, current, after); err != nil {
		return change, err
	}
	change = config.WithBase(change, current)
	limitBase(&change, parsed.Revision)
	return change, nil
}

// limitBase makes a change conflict with objects written after seen, the revision that
// the operator edited; zero if it is not given.
func limitBase(change *object.Change, seen object.Revision) {
	for i, base := range change.Base {
		if seen > 0 && base.Revision > seen {
			change.Base[i].Revision = seen
		}
	}
}

func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

func (c *configOperations) accept(ctx context.Context, change object.Change, dryRun bool) (operations.ApplyResult, error) {
	preview, err := c.ConfigLog.Preview(ctx, change)
	if err != nil {
		return operations.ApplyResult{}, err
	}
	result := operations.ApplyResult{DryRun: dryRun, Diff: formatAll(preview.Differences), Warnings: formatAll(preview.Warnings)}
	if dryRun || len(preview.Differences) == 0 {
		return result, nil
	}
	result.Revision, err = c.ConfigLog.Accept(ctx, change)
	if err == nil {
		go c.followRollout()
	}
	return result, err
}

// formatAll returns the printed form of each item.
func formatAll[T interface{ String() string }](items []T) []string {
	var out []string
	for _, item := range items {
		out = append(out, item.String())
	}
	return out
}

// Rollback accepts a change that restores the objects of an older revision.
func (c *configOperations) Rollback(ctx context.Context, to object.Revision, author, reason string) (operations.ApplyResult, error) {
	change, err := c.ConfigLog.Rollback(ctx, to, rand.Text(), author, reason)
	if errors.Is(err, config.ErrNoDifference) {
		return operations.ApplyResult{}, nil
	}
	if err != nil {
		return operations.ApplyResult{}, err
	}
	return c.accept(ctx, change, false)
}

// History returns accepted changes, newest first.
func (c *configOperations) History(_ context.Context, limit int) ([]operations.HistoryEntry, error) {
	out := []operations.HistoryEntry{}
	for _, s := range c.Follower.History(limit) {
		out = append(out, operations.HistoryEntry{
			Revision: s.Revision, At: s.At, Author: s.Author, Reason: s.Reason, Keys: formatAll(s.Touched),
		})
	}
	return out, nil
}

// Rollouts returns the rollout progress of the latest revisions, as reported by all
// reachable entry instances.
func (c *configOperations) Rollouts(ctx context.Context) []operations.Rollout {
	c.queryHeld(ctx)
	out := []operations.Rollout{}
	for _, progress := range c.Rollout.Recent(maxRolloutsListed) {
		rollout := operations.Rollout{
			Revision: progress.Revision, AcceptedAt: progress.AcceptedAt,
			InForce: object.Duration(progress.Duration()), Behind: progress.Behind,
		}
		if progress.InForceAt.IsZero() {
			rollout.Unreachable = c.unreachable()
		}
		out = append(out, rollout)
	}
	return out
}

// Refusal converts an error to the problem document for operators.
func (c *configOperations) Refusal(err error) operations.Problem {
	var faults strictjson.Faults
	var invalid object.Invalid
	var conflict *object.Conflict
	var failed *verdict.Error
	switch {
	case errors.As(err, &faults), errors.As(err, &invalid):
		return operations.Problem{
			Title: "the change is not valid", Status: http.StatusUnprocessableEntity, Faults: strings.Split(err.Error(), "\n"),
		}
	case errors.As(err, &conflict):
		return operations.Problem{
			Title: "the change conflicts with another", Status: http.StatusConflict, Detail: conflict.Error(),
			Faults: formatAll(conflict.Differences),
		}
	case errors.As(err, &failed) && failed.Code == config.CodeRevisionUnknown:
		return operations.Problem{Title: "no such revision", Status: http.StatusNotFound, Detail: failed.Detail}
	case errors.As(err, &failed):
		return operations.Problem{
			Title: "the store did not accept the change", Status: http.StatusServiceUnavailable, Detail: failed.Error(),
			Code: string(failed.Code), Verdict: failed.Verdict.String(),
		}
	default:
		return operations.Problem{Title: "the operation failed", Status: http.StatusInternalServerError, Detail: err.Error()}
	}
}
