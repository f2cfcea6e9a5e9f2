package election

import (
	"cmp"
	"context"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// Instances of earlier versions hold a duty with an ambiguous name under a key that they share with another duty. While
// one of them holds that key, which may be for either, no instance of this version holds such a duty.

// unknownInstance stands for a holder whose entry is not readable.
const unknownInstance fleet.InstanceID = "unknown"

var errEarlierVersion = errors.New("an instance of an earlier version may hold it")

// earlierHolder returns the instance of an earlier version that may hold the duty under its former key, or "".
func (e *Election) earlierHolder(duty layout.Duty) fleet.InstanceID {
	key, changed := layout.FormerOwnerKey(duty)
	if !changed {
		return ""
	}
	holder, _, held := e.vacancies.holder(key)
	if !held || holder.Kind != "" {
		return ""
	}
	return cmp.Or(holder.Instance, unknownInstance)
}

// formerKeyConditions returns conditions under which no instance of an earlier version holds the duty under its
// former key, or an error if one may hold it.
func (e *Election) formerKeyConditions(ctx context.Context, duty layout.Duty) ([]kv.Condition, error) {
	key, changed := layout.FormerOwnerKey(duty)
	if !changed {
		return nil, nil
	}
	item, err := e.store.Get(ctx, key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return []kv.Condition{{Key: key}}, nil
	case err != nil:
		return nil, fmt.Errorf("read the former key of duty %s: %w", duty, err)
	}
	if holder, err := layout.Decode[layout.Holder](item.Key, item.Value); err != nil || holder.Kind == "" {
		return nil, fmt.Errorf("duty %s not claimed: %w", duty, errors.Join(err, errEarlierVersion))
	}
	return []kv.Condition{{Key: key, Revision: item.Revision}}, nil
}

// yield ends a term once an instance of an earlier version may hold the duty: during a change back to that version.
// Until then its writes and calls are fenced off like those of any former holder.
func (e *Election) yield(ctx context.Context, term Term, lost func()) {
	if _, changed := layout.FormerOwnerKey(term.Duty); !changed {
		return
	}
	for backoff.Sleep(ctx, pollInterval) == nil {
		if holder := e.earlierHolder(term.Duty); holder != "" {
			e.logger.Warn("duty left to an instance of an earlier version", "duty", term.Duty.String(), "kind", string(term.Duty.Kind),
				"token", term.Token, "holder", string(holder))
			lost()
			return
		}
	}
}
