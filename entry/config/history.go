package config

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// CodeRevisionUnknown is the reason code for a revision that the log does not contain.
const CodeRevisionUnknown verdict.Code = "config-revision-unknown"

// Preview is the effect that a change would have.
type Preview struct {
	// Revision is the one that the change would follow.
	Revision    object.Revision     `json:"revision"`
	Differences []object.Difference `json:"differences,omitempty"`
	Warnings    []object.Finding    `json:"warnings,omitempty"`
}

// Preview checks a change as Accept would and returns its effect without accepting
// it. If the store is unavailable, it checks against the follower's current revision.
func (l *Log) Preview(ctx context.Context, change object.Change) (Preview, error) {
	_, _ = l.follower.refreshWithTimeout(ctx, readTimeout)
	current := l.follower.current.Load()
	report, err := l.check(current, change)
	if err != nil {
		return Preview{Revision: current.revision(), Warnings: report.Warnings}, err
	}
	differences, err := object.Diff(current.config, current.config.Apply(change))
	return Preview{current.revision(), differences, report.Warnings}, err
}

// History returns up to limit accepted changes, the newest first. It covers the last
// maxRecent changes and makes no store calls.
func (f *Follower) History(limit int) []Summary {
	recent := slices.Clone(f.current.Load().recent)
	slices.Reverse(recent)
	return recent[:min(limit, len(recent))]
}

// At returns the configuration at an earlier revision. The log reaches back at least
// retainedRevisions; for revisions outside it the error has CodeRevisionUnknown.
func (l *Log) At(ctx context.Context, revision object.Revision) (*object.Config, error) {
	current := l.follower.current.Load()
	switch {
	case revision == current.revision():
		return current.config, nil
	case revision > current.revision() || revision < 0:
		return nil, unknownRevision(revision, "it has not been accepted")
	}
	stored, err := l.loadSnapshot(ctx)
	if err != nil {
		return nil, notRun("the store cannot be read", err)
	}
	if revision < stored.state.revision() {
		return nil, unknownRevision(revision, fmt.Sprintf("the oldest one kept is %d", stored.state.revision()))
	}
	target, err := l.replay(ctx, stored.state, revision)
	if err != nil {
		return nil, notRun("the store cannot be read", err)
	}
	return target.config, nil
}

func unknownRevision(revision object.Revision, detail string) error {
	return verdict.New(verdict.NotRun, CodeRevisionUnknown, fmt.Sprintf("no revision %d: %s", revision, detail))
}

// ErrNoDifference reports that a rollback would change nothing.
var ErrNoDifference = errors.New("the configuration is the same at that revision")

// Rollback returns the change that restores all objects as they were at an earlier
// revision, based on the current one. Accept makes it a new revision.
func (l *Log) Rollback(ctx context.Context, revision object.Revision, id, author, reason string) (object.Change, error) {
	if _, err := l.follower.refreshWithTimeout(ctx, readTimeout); err != nil {
		return object.Change{}, notRun("the store cannot be read", err)
	}
	target, err := l.At(ctx, revision)
	if err != nil {
		return object.Change{}, err
	}
	current := l.follower.Current()
	change := object.Change{ID: id, Author: author, Reason: reason, Put: target.Document()}
	if err := Reduce(&change, current, target); err != nil {
		return object.Change{}, err
	}
	if len(change.Touched()) == 0 {
		return object.Change{}, fmt.Errorf("rollback to revision %d: %w", revision, ErrNoDifference)
	}
	return WithBase(change, current), nil
}

// Reduce limits the change's writes to the objects that differ between current and
// target, and adds deletions of the objects that target does not have.
func Reduce(change *object.Change, current, target *object.Config) error {
	differences, err := object.Diff(current, target)
	if err != nil {
		return err
	}
	differing := map[object.Key]bool{}
	for _, d := range differences {
		differing[d.Key] = true
		if d.Field == "" && d.New == "" {
			change.Delete = append(change.Delete, d.Key)
		}
	}
	items, err := change.Put.Items()
	if err != nil {
		return err
	}
	change.Put = object.Document{}
	for _, item := range items {
		if !differing[item.Key] {
			continue
		}
		if err := change.Put.Add(item); err != nil {
			return err
		}
	}
	return nil
}
