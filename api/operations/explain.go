package operations

import "time"

// Explanation is one decision as operators read it.
type Explanation struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"` // the entry instance that decided
	Subject  string    `json:"subject"`  // Kind/name
	Decision string    `json:"decision"`
	Reason   string    `json:"reason"`
	// Inputs are the facts used, one "name=value" each.
	Inputs []string `json:"inputs,omitempty"`
	// Refused are the alternatives not taken, each with its reason.
	Refused []string `json:"refused,omitempty"`
}
