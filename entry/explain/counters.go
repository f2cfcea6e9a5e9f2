package explain

import (
	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/explain"
)

// TallyMetrics counts decisions in the metric decisions{action,outcome,reason} of a scope.
type TallyMetrics struct {
	Scope tally.Scope
}

// Decision counts one decision.
func (m TallyMetrics) Decision(action explain.Action, outcome explain.Outcome, reason explain.Reason) {
	tags := map[string]string{
		"action":  string(action),
		"outcome": string(outcome),
		"reason":  string(reason),
	}
	m.Scope.Tagged(tags).Counter("decisions").Inc(1)
}
