package operations

import "time"

// Explanation is one decision as operators read it.
type Explanation struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"` // the entry instance that decided
	Subject  string    `json:"subject"`  // Kind/name
	Decision string    `json:"decision"`
	Reason   string    `json:"reason"`
	// Inputs lists the values on which the decision was based, each as "name=value".
	Inputs []string `json:"inputs,omitempty"`
	// Refused lists the alternatives that were refused, each with its reason.
	Refused []string `json:"refused,omitempty"`
}
