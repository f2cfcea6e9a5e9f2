package object

import (
	"slices"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Finding is one problem of an object: a fault or a warning.
type Finding struct {
	Key   Key    `json:"key"`
	Field string `json:"field,omitempty"` // path such as "budget.minHealthy"
	// Problem describes what is wrong and what is expected.
	Problem string `json:"problem"`
}

// String returns "Kind/name field: problem".
func (f Finding) String() string {
	if subject := f.subject(); subject != "" {
		return subject + ": " + f.Problem
	}
	return f.Problem
}

// subject returns "Kind/name field"; it is empty for a finding about the change as a
// whole.
func (f Finding) subject() string {
	if f.Key == (Key{}) {
		return ""
	}
	return strings.TrimSpace(f.Key.String() + " " + f.Field)
}

// Report is the result of a validation. A change with faults is refused, one with
// warnings is not.
type Report struct {
	Faults   []Finding `json:"faults,omitempty"`
	Warnings []Finding `json:"warnings,omitempty"`
}

// Err returns the faults as Invalid, or nil if there are none.
func (r Report) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	return Invalid(r.Faults)
}

// Invalid is the error of a change that was refused as a whole; it lists every fault.
type Invalid []Finding

// Error returns one line for each fault.
func (v Invalid) Error() string {
	lines := make([]string, 0, len(v))
	for _, f := range v {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Validate checks a complete configuration. Selectors are also matched against the known
// instances, if any are given.
func Validate(config *Config, instances []fleet.Instance) Report {
	return newChecker(config, instances).run()
}

// ValidateChange checks the configuration as it would be after the change. Faults that
// existed before, on objects that the change does not touch, become warnings so that
// they do not block other changes. Only the selectors of objects that the change touches
// are matched against the instances.
func ValidateChange(current *Config, change Change, instances []fleet.Instance) Report {
	touched := change.Touched()
	before := Validate(current, nil)
	after := newChecker(current.Apply(change), instances).runFor(touched)
	out := Report{Faults: checkChange(current, change), Warnings: after.Warnings}
	for _, fault := range after.Faults {
		if slices.Contains(before.Faults, fault) && !slices.Contains(touched, fault.Key) {
			out.Warnings = append(out.Warnings, fault)
			continue
		}
		out.Faults = append(out.Faults, fault)
	}
	return out
}

// checkChange returns the faults of the change itself, independent of the contents of
// its objects.
func checkChange(current *Config, change Change) []Finding {
	var faults []Finding
	if change.ID == "" {
		faults = append(faults, Finding{Problem: "the change has no ID"})
	}
	seen := map[Key]bool{}
	for _, key := range change.Touched() {
		if seen[key] {
			faults = append(faults, Finding{Key: key, Problem: "is listed twice in the change, want it once"})
		}
		seen[key] = true
	}
	for _, key := range change.Delete {
		if current.RevisionOf(key) == 0 {
			faults = append(faults, Finding{Key: key, Problem: "cannot be deleted, it does not exist"})
		}
	}
	return faults
}

// Touched returns the objects that the change writes or deletes.
func (c Change) Touched() []Key { return slices.Concat(c.Put.Keys(), c.Delete) }
