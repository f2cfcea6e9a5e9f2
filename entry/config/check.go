package config

import (
	"fmt"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// check returns the report on the change, and why it cannot follow on the state
// or nil.
func (l *Log) check(held *state, change object.Change) (object.Report, error) {
	if err := checkBase(held, change); err != nil {
		return object.Report{}, err
	}
	report := object.ValidateChange(held.config, change, l.instances())
	report.Faults = append(report.Faults, checkUnderstood(held, change)...)
	report.Faults = append(report.Faults, checkSize(held, change)...)
	return report, report.Err()
}

// checkUnderstood refuses to replace objects that hold fields of a newer version
// of the program, because this one would lose them.
func checkUnderstood(held *state, change object.Change) []object.Finding {
	var faults []object.Finding
	for _, key := range change.Put.Keys() {
		stored, ok := held.objects[key]
		if !ok {
			continue
		}
		if err := stored.CheckSupported(); err != nil {
			problem := fmt.Sprintf("was written by a newer version of the program (%v); send the change to an entry instance of that version", err)
			faults = append(faults, object.Finding{Key: key, Problem: problem})
		}
	}
	return faults
}

// checkSize refuses a change after which the configuration might not fit into
// one snapshot.
func checkSize(held *state, change object.Change) []object.Finding {
	items, err := change.Put.Items()
	if err != nil {
		return []object.Finding{{Problem: err.Error()}}
	}
	size := held.size
	for _, item := range items {
		size += len(item.Body) - len(held.objects[item.Key].Body)
	}
	if size <= maxConfigBytes || size <= held.size {
		return nil
	}
	problem := fmt.Sprintf("the configuration would have %d bytes, the limit is %d: delete jobs that have ended", size, maxConfigBytes)
	return []object.Finding{{Problem: problem}}
}

// checkBase returns an *object.Conflict for the first object that has changed
// since the revision on which the change was made.
func checkBase(held *state, change object.Change) error {
	base := map[object.Key]object.Revision{}
	for _, b := range change.Base {
		base[b.Key] = b.Revision
	}
	for _, key := range change.Touched() {
		current := held.revisionOf(key)
		if base[key] != current {
			return newConflict(held, change, key, base[key])
		}
	}
	return nil
}

// newConflict describes the other change as far as it is recent.
func newConflict(held *state, change object.Change, key object.Key, base object.Revision) *object.Conflict {
	conflict := &object.Conflict{Key: key, Base: base, Current: held.revisionOf(key)}
	conflict.Differences = differencesFor(held, change, key)
	if other, ok := lastChange(held, key); ok {
		conflict.ChangeID, conflict.Author, conflict.Reason, conflict.At = other.ID, other.Author, other.Reason, other.At
	}
	return conflict
}

// lastChange returns the newest recent change that touched the object.
func lastChange(held *state, key object.Key) (Summary, bool) {
	current := held.revisionOf(key)
	for _, summary := range slices.Backward(held.recent) {
		if summary.Revision == current || slices.Contains(summary.Touched, key) {
			return summary, true
		}
	}
	return Summary{}, false
}

// differencesFor tells the object as it stands from the one in the change.
func differencesFor(held *state, change object.Change, key object.Key) []object.Difference {
	differences, err := object.Diff(held.config, held.config.Apply(change))
	if err != nil {
		return nil
	}
	var out []object.Difference
	for _, d := range differences {
		if d.Key == key {
			out = append(out, d)
		}
	}
	return out
}

func (l *Log) instances() []fleet.Instance {
	if l.options.Instances == nil {
		return nil
	}
	return l.options.Instances()
}

// WithBase returns the change with the base revisions of all objects that it
// touches, as they stand in the configuration on which it was made.
func WithBase(change object.Change, seen *object.Config) object.Change {
	change.Base = nil
	for _, key := range change.Touched() {
		change.Base = append(change.Base, object.BaseRevision{Key: key, Revision: seen.RevisionOf(key)})
	}
	return change
}
