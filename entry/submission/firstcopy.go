package submission

import "errors"

// FirstCopy describes the first copy of a submission to the caller of a refused
// duplicate. It is part of a problem document.
type FirstCopy struct {
	// State is Phase.String().
	State string `json:"state"`
	// Status is the first copy's HTTP status; zero if it had none.
	Status int `json:"status,omitempty"`
	// ContentType and Body are its response while that is in memory; the body is
	// base64 in JSON.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// FirstCopyOf returns the state of the first copy that err carries, or nil if err
// is not the refusal of a duplicate.
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
