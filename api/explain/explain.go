// Package explain holds the types of decision records: what was decided about which
// subject, for which reason, from which inputs, and which alternatives were refused.
package explain

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// SubjectKind is the kind of a subject.
type SubjectKind string

// The kinds of subject.
const (
	SubjectInstance SubjectKind = "instance"
	SubjectPool     SubjectKind = "pool"
	SubjectPlan     SubjectKind = "maintenance-plan"
	SubjectJob      SubjectKind = "job"
	SubjectRequest  SubjectKind = "request"
)

// Subject is the object that a decision is about.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	Name string      `json:"name"`
}

// Instance returns the subject of an instance.
func Instance(id fleet.InstanceID) Subject { return Subject{SubjectInstance, string(id)} }

// Pool returns the subject of a pool.
func Pool(name string) Subject { return Subject{SubjectPool, name} }

// Outcome is the outcome of a decision.
type Outcome string

// The outcomes of a decision.
const (
	Applied Outcome = "applied"
	Waiting Outcome = "waiting"
	Refused Outcome = "refused"
)

// Input is one value on which a decision was based.
type Input struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Alternative is a choice that was considered and refused.
type Alternative struct {
	Choice string  `json:"choice"`
	Reason Reason  `json:"reason"`
	Cost   float64 `json:"cost,omitempty"`
}

// Record is one decision.
type Record struct {
	At           time.Time              `json:"at"`
	Zone         fleet.AvailabilityZone `json:"zone,omitempty"`
	Epoch        int64                  `json:"epoch,omitempty"` // of the duty that made the decision
	Subject      Subject                `json:"subject"`
	Action       Action                 `json:"action"`
	Outcome      Outcome                `json:"outcome"`
	Reason       Reason                 `json:"reason"`
	Detail       string                 `json:"detail,omitempty"` // one sentence for operators
	Inputs       []Input                `json:"inputs,omitempty"`
	Alternatives []Alternative          `json:"alternatives,omitempty"`
	// Count is how often the same decision was made from At to Last.
	Count int       `json:"count,omitempty"`
	Last  time.Time `json:"last,omitzero"`
}

// SameDecision reports whether o is the same decision for the same reason.
func (r Record) SameDecision(o Record) bool {
	return r.Subject == o.Subject && r.Action == o.Action && r.Outcome == o.Outcome &&
		r.Reason == o.Reason && r.Detail == o.Detail && r.Epoch == o.Epoch
}
