package submission

import "errors"

// FirstCopy is what the caller of a refused duplicate is told of the first copy.
// It is made to stand in a problem document.
type FirstCopy struct {
	// State is Phase.String().
	State string `json:"state"`
	// Status is the first copy's HTTP status; zero where it had none.
	Status int `json:"status,omitempty"`
	// ContentType and Body are its answer while that is in memory; JSON holds the
	// body in base64.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// FirstCopyOf returns what a refusal tells of the first copy, or nil if err does
// not refuse a duplicate.
func FirstCopyOf(err error) *FirstCopy {
	var d *DuplicateError
	if !errors.As(err, &d) {
		return nil
	}
	return &FirstCopy{
		State:       d.Phase.String(),
		Status:      d.Outcome.Status,
		ContentType: d.Outcome.Header.Get("Content-Type"),
		Body:        d.Outcome.Body,
	}
}
