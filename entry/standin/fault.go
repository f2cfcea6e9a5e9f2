package standin

import "time"

// Fault is one way in which a stand-in server misbehaves.
type Fault int

// The faults. All but Silent and NotReady apply to requests that arrive while
// the fault is set.
const (
	// None is ordinary service.
	None Fault = iota
	// FailFast answers 500 at once without running the request.
	FailFast
	// Busy refuses each request with 503 and the verdict not-run.
	Busy
	// Leaving runs nothing and gives notice: 503 with the verdict not-run and Connection: close.
	Leaving
	// Stall runs the request and never answers.
	Stall
	// Truncate runs the request and cuts the answer in the middle of its body.
	Truncate
	// TruncateChunked cuts an answer without a declared length.
	TruncateChunked
	// Chunked answers whole, without a declared length.
	Chunked
	// PauseInBody answers whole, with a pause of Settings.LateBy in the body.
	PauseInBody
	// Oversize runs the request and answers with Settings.OversizeBytes.
	Oversize
	// MismatchedEcho runs the request and echoes another request's ID.
	MismatchedEcho
	// Duplicate runs the request and writes the answer twice.
	Duplicate
	// CloseReused closes a connection, before it runs anything, at the second request on it.
	CloseReused
	// CloseAfterRun runs the request and closes the connection without an answer.
	CloseAfterRun
	// Late runs the request and answers after Settings.LateBy.
	Late
)

// Settings sets up a Server. Zero fields take the defaults.
type Settings struct {
	// Slots is how many requests run at once; further ones wait.
	Slots int
	// ServiceTime is how long one request runs.
	ServiceTime time.Duration
	// ResponseBytes is the length of an ordinary answer's body.
	ResponseBytes int
	// OversizeBytes is the length of the body under the fault Oversize.
	OversizeBytes int
	// Delay is the delay under the fault Late.
	Delay time.Duration
}

// Defaults of Settings.
const (
	DefaultSlots         = 8
	DefaultResponseBytes = 64      // bytes
	DefaultOversizeBytes = 4 << 20 // bytes
	DefaultDelay         = 200 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	if s.Slots <= 0 {
		s.Slots = DefaultSlots
	}
	if s.ResponseBytes <= 0 {
		s.ResponseBytes = DefaultResponseBytes
	}
	if s.OversizeBytes <= 0 {
		s.OversizeBytes = DefaultOversizeBytes
	}
	if s.Delay <= 0 {
		s.Delay = DefaultDelay
	}
	return s
}
