package standin

import "time"

// Fault is one way in which a stand-in server misbehaves.
type Fault int

// The faults. Each applies to requests that arrive while it is set.
const (
	// None is normal service.
	None Fault = iota
	// FailFast responds with 500 at once, without running the request.
	FailFast
	// Busy refuses each request with 503 and the verdict not-run.
	Busy
	// Leaving runs nothing and announces that the server is leaving: 503 with the
	// verdict not-run and Connection: close.
	Leaving
	// Stall runs the request and never responds.
	Stall
	// Truncate runs the request and closes the connection in the middle of the response body.
	Truncate
	// TruncateChunked truncates like Truncate, in a response without a declared length.
	TruncateChunked
	// Chunked sends a complete response without a declared length.
	Chunked
	// PauseInBody sends a complete response, with a pause of Settings.Delay in the body.
	PauseInBody
	// Oversize runs the request and responds with a body of Settings.OversizeBytes.
	Oversize
	// MismatchedEcho runs the request and echoes a request ID other than its own.
	MismatchedEcho
	// Duplicate runs the request and writes the response twice.
	Duplicate
	// CloseReused closes a connection at the second or a later request on it, without
	// running the request.
	CloseReused
	// CloseAfterRun runs the request and closes the connection without a response.
	CloseAfterRun
	// Late runs the request and responds after Settings.Delay.
	Late
)

// Settings configures a Server. Zero fields take the defaults.
type Settings struct {
	// Slots is how many requests run concurrently; further ones wait.
	Slots int
	// ServiceTime is how long one request runs.
	ServiceTime time.Duration
	// ResponseBytes is the length of a normal response body.
	ResponseBytes int
	// OversizeBytes is the length of the response body under the fault Oversize.
	OversizeBytes int
	// Delay is the delay under the fault Late and the pause under PauseInBody.
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
