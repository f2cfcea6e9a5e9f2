package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tarragonreach/tarragonreach/api/operations"
)

// run runs the command line against a server with handler and returns its output.
func run(t *testing.T, handler http.HandlerFunc, args ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	app := newApp()
	out := &bytes.Buffer{}
	app.Writer, app.ErrWriter = out, out
	err := app.Run(context.Background(), append([]string{"tarragonctl", "--server", server.URL}, args...))
	return out.String(), err
}

func respondWith(status int, value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(value)
	}
}

func TestStatusTable(t *testing.T) {
	out, err := run(t, respondWith(http.StatusOK, operations.Status{Instance: "pa-1", Zone: "palermo", ConfigRevision: 7, Ready: true}), "status")
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(out, "pa-1"))
	assert.Assert(t, cmp.Contains(out, "store unreachable"))
}

func TestApplyReportsFaultsOfTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "change.json")
	assert.NilError(t, os.WriteFile(file, []byte("{ // note\n}"), 0o600))
	problem := operations.Problem{Title: "the change is not valid", Faults: []string{"1:3: unknown field"}}
	_, err := run(t, respondWith(http.StatusUnprocessableEntity, problem), "config", "apply", file)
	assert.ErrorContains(t, err, "1:3: unknown field")
	assert.Equal(t, exitCode(err), exitWrongInput)
}

func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		status int
		args   []string
		want   int
	}{
		{http.StatusConflict, []string{"config", "rollback", "3"}, exitConflict},
		{http.StatusServiceUnavailable, []string{"status"}, exitUnreachable},
		{http.StatusInternalServerError, []string{"status"}, exitFailed},
		{http.StatusOK, []string{"config", "rollback", "three"}, exitWrongInput},
		{http.StatusOK, []string{"nosuch"}, exitWrongInput},
		{http.StatusOK, []string{"status", "--nosuch"}, exitWrongInput},
		{http.StatusOK, []string{"--output", "xml", "status"}, exitWrongInput},
		{http.StatusOK, []string{"explain", "weather", "x"}, exitWrongInput},
		{http.StatusOK, []string{"--token-file", "absent", "status"}, exitWrongInput},
		{http.StatusOK, []string{"instance", "label", "w-1", "rack"}, exitWrongInput},
	} {
		_, err := run(t, respondWith(tc.status, operations.Status{}), tc.args...)
		assert.Assert(t, err != nil, "%v", tc.args)
		assert.Equal(t, exitCode(err), tc.want, "%v: %v", tc.args, err)
	}
}

func TestNoResponseExitsUnreachable(t *testing.T) {
	app := newApp()
	app.Writer = &bytes.Buffer{}
	err := app.Run(context.Background(), []string{"tarragonctl", "--server", "127.0.0.1:1", "status"})
	assert.Equal(t, exitCode(err), exitUnreachable)
}
