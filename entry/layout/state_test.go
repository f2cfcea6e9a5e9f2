package layout

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// storedStates are values under a job's key, and the state that they mean; empty if none can be read.
var storedStates = map[string]job.State{
	`{"service":"s","queue":"q","state":"running"}`:                                          job.Running,
	`{"service":"s","queue":"q","state":"completed","finalAt":"2026-03-04T05:06:07Z"}`:       job.Completed,
	`{"service":"s","state":"queued","tenant":"north","newer":{"a":[1,{"b":null}]},"x":1e9}`: job.Queued,
	`{"service":"s","state":"failed","rejected":null,"unknown":1e400}`:                       job.Failed,
	"{\"service\":\"s\",\"state\":\"cancelled\"}\n":                                          job.Cancelled,
	``: "", `null`: "", `{}`: "", `[]`: "", `"running"`: "", `{"state":"running"`: "", "\x00\xff": "",
	`{"service":"s"}`:                                                                     "",
	`{"state":"running"}`:                                                                 "",
	`{"service":"s","state":""}`:                                                          "",
	`{"service":"s","state":"paused"}`:                                                    "",
	`{"service":"s","state":"Running"}`:                                                   "",
	`{"service":"s","state":1}`:                                                           "",
	`{"service":{},"state":"running"}`:                                                    "",
	`{"service":"s","state":"running","tenant":7}`:                                        "",
	`{"service":"s","state":"completed","finalAt":"yesterday"}`:                           "",
	`{"service":"s","state":"cancelled","rejected":true}`:                                 "",
	`{"service":"s","state":"running"}{}`:                                                 "",
	`{"service":"s","state":` + strings.Repeat("[", 100_000):                              "",
	`{"service":"s","state":"running","x":` + strings.Repeat(`{"a":`, 100_000):            "",
	`{"service":"s","state":"running","finalAt":"9999999999999999999-01-01T00:00:00Z"}`:   "",
	`{"service":"s","state":"running","rejected":{"at":"2026-03-04T05:06:07Z","more":1}}`: job.Running,
}

// Guards against stored values by which a caller would be told a state that is none, and against states
// of a newer version with further fields that can't be read.
func TestStoredStatesAreMisread(t *testing.T) {
	for value, want := range storedStates {
		state, err := DecodeState("jobs/a", []byte(value))
		name := value[:min(len(value), 80)]
		assert.Equal(t, err == nil, want != "", "%s: %v", name, err)
		if err == nil {
			assert.Equal(t, state.State, want, name)
		}
	}
}

// FuzzStoredState guards against values that end the process, or that are read as a state that no caller
// knows or as a job of no service.
func FuzzStoredState(f *testing.F) {
	for value := range storedStates {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		state, err := DecodeState("jobs/a", value)
		if err != nil {
			return
		}
		assert.Assert(t, state.Service != "")
		assert.Assert(t, state.State.Final() || state.State == job.Queued || state.State == job.Running)
		again, err := Encode(state)
		assert.NilError(t, err)
		_, err = DecodeState("jobs/a", again)
		assert.NilError(t, err)
	})
}
