package main

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
)

// TestJobCommandsChangeOneJobBasedOnTheRevisionRead checks the changes that cancel and
// release send.
func TestJobCommandsChangeOneJobBasedOnTheRevisionRead(t *testing.T) {
	job := object.Job{Name: "herds", Tenant: "region", Tasks: 3}
	for _, tc := range []struct {
		verb string
		want object.Job
	}{
		{"cancel", object.Job{Name: "herds", Tenant: "region", Tasks: 3, Canceled: true}},
		{"release", object.Job{Name: "herds", Tenant: "region", Tasks: 3, Releases: 1}},
	} {
		var sent operations.ConfigDocument
		handler := func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				json.NewDecoder(r.Body).Decode(&sent)
				json.NewEncoder(w).Encode(operations.ApplyResult{Revision: 8})
				return
			}
			json.NewEncoder(w).Encode(operations.ConfigDocument{
				Revision: 7, Document: object.Document{Jobs: []object.Job{{Name: "other"}, job}},
			})
		}
		_, err := run(t, handler, "job", tc.verb, "herds")
		assert.NilError(t, err)
		assert.Equal(t, sent.Revision, object.Revision(7))
		assert.DeepEqual(t, sent.Jobs, []object.Job{tc.want})
	}
}

func TestUnknownJobIsWrongInput(t *testing.T) {
	_, err := run(t, respondWith(http.StatusOK, operations.ConfigDocument{}), "job", "cancel", "nosuch")
	assert.Equal(t, exitCode(err), exitWrongInput)
}
