package config

import (
	"fmt"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// check returns the report on the change, and an error if the change cannot be
// applied to the current state.
func (l *Log) check(current *state, change object.Change) (object.Report, error) {
	if err := checkBase(current, change); err != nil {
		return object.Report{}, err
	}
	report := object.ValidateChange(current.config, change, l.instances())
	report.Faults = append(report.Faults, checkSupported(current, change)...)
	report.Faults = append(report.Faults, checkSize(current, change)...)
	return report, report.Err()
}

// checkSupported rejects writes to objects that have fields of a newer version of the
// program, because this version would drop those fields.
func checkSupported(current *state, change object.Change) []object.Finding {
	var faults []object.Finding
	for _, key := range change.Put.Keys() {
		stored, ok := current.objects[key]
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

// checkSize rejects a change that grows the configuration beyond maxConfigBytes,
// because it might then not fit into one snapshot.
func checkSize(current *state, change object.Change) []object.Finding {
	items, err := change.Put.Items()
	if err != nil {
		return []object.Finding{{Problem: err.Error()}}
	}
	size := current.size
	for _, item := range items {
		size += len(item.Body) - len(current.objects[item.Key].Body)
	}
	if size <= maxConfigBytes || size <= current.size {
		return nil
	}
	problem := fmt.Sprintf("the configuration would have %d bytes, the limit is %d: delete jobs that have ended", size, maxConfigBytes)
	return []object.Finding{{Problem: problem}}
}

// checkBase returns an *object.Conflict for the first object that has changed since
// the base revision of the change.
func checkBase(current *state, change object.Change) error {
	base := map[object.Key]object.Revision{}
	for _, b := range change.Base {
		base[b.Key] = b.Revision
	}
	for _, key := range change.Touched() {
		revision := current.revisionOf(key)
		if base[key] != revision {
			return newConflict(current, change, key, base[key])
		}
	}
	return nil
}

// newConflict returns a conflict that describes the other change if it is among the
// recent ones.
func newConflict(current *state, change object.Change, key object.Key, base object.Revision) *object.Conflict {
	conflict := &object.Conflict{Key: key, Base: base, Current: current.revisionOf(key)}
	conflict.Differences = differencesFor(current, change, key)
	if other, ok := lastChange(current, key); ok {
		conflict.ChangeID, conflict.Author, conflict.Reason, conflict.At = other.ID, other.Author, other.Reason, other.At
	}
	return conflict
}

// lastChange returns the newest recent change that touched the object.
func lastChange(current *state, key object.Key) (Summary, bool) {
	revision := current.revisionOf(key)
	for _, summary := range slices.Backward(current.recent) {
		if summary.Revision == revision || slices.Contains(summary.Touched, key) {
			return summary, true
		}
	}
	return Summary{}, false
}

// differencesFor returns the differences between the current object and the one in
// the change, or nil if they cannot be computed.
func differencesFor(current *state, change object.Change, key object.Key) []object.Difference {
	differences, err := object.Diff(current.config, current.config.Apply(change))
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

// WithBase returns the change with the revisions of all objects that it touches, taken
// from base, the configuration on which the change was made.
func WithBase(change object.Change, base *object.Config) object.Change {
	change.Base = nil
	for _, key := range change.Touched() {
		change.Base = append(change.Base, object.BaseRevision{Key: key, Revision: base.RevisionOf(key)})
	}
	return change
}
