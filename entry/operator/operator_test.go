package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
)

// fakeInstance implements everything that the operator listener reports and controls.
type fakeInstance struct {
	level string
	ready bool
	err   error
	edit  Edit
}

func (f *fakeInstance) Level() string { return f.level }

func (f *fakeInstance) SetLevel(name string) error {
	if name == "loud" {
		return errors.New("want debug, info, warn or error")
	}
	f.level = name
	return nil
}

func (f *fakeInstance) status() operations.Status {
	return operations.Status{Instance: "pa-1", Ready: f.ready, NotReady: []string{"no configuration yet"}}
}

func (f *fakeInstance) Document() operations.ConfigDocument {
	return operations.ConfigDocument{Revision: 3}
}

func (f *fakeInstance) Apply(_ context.Context, edit Edit) (operations.ApplyResult, error) {
	f.edit = edit
	return operations.ApplyResult{DryRun: edit.DryRun}, f.err
}

func (f *fakeInstance) Rollback(context.Context, object.Revision, string, string) (operations.ApplyResult, error) {
	return operations.ApplyResult{}, f.err
}

func (f *fakeInstance) History(context.Context, int) ([]operations.HistoryEntry, error) {
	return nil, f.err
}

func (f *fakeInstance) Rollouts(context.Context) []operations.Rollout { return nil }

func (f *fakeInstance) Refusal(err error) operations.Problem {
	return operations.Problem{Title: err.Error(), Status: http.StatusConflict}
}

func (f *fakeInstance) Pools() []operations.PoolStatus { return nil }

func (f *fakeInstance) Instances() []operations.InstanceStatus { return nil }

func (f *fakeInstance) Maintenance(context.Context) []operations.MaintenanceStatus { return nil }

func (f *fakeInstance) Jobs(context.Context) ([]operations.JobStatus, error) { return nil, f.err }

func (f *fakeInstance) Drain(_ context.Context, id fleet.InstanceID, reason string) (operations.InstanceStatus, error) {
	return operations.InstanceStatus{ID: id, Reason: reason}, f.err
}

func (f *fakeInstance) Undrain(_ context.Context, id fleet.InstanceID) (operations.InstanceStatus, error) {
	return operations.InstanceStatus{ID: id}, f.err
}

func (f *fakeInstance) Relabel(_ context.Context, id fleet.InstanceID, labels label.Set) (operations.InstanceStatus, error) {
	return operations.InstanceStatus{ID: id, Labels: labels}, f.err
}

func (f *fakeInstance) Explain(context.Context, string, string) ([]operations.Explanation, error) {
	return nil, f.err
}

const testToken = "secret"

// send serves one request with a handler for f; an empty token sends no Authorization header.
func send(f *fakeInstance, method, path, body, token string) *httptest.ResponseRecorder {
	handler := New(Options{
		Token: testToken, MaxBodyBytes: 100, Status: f.status, Log: f, Config: f, Fleet: f, Explainer: f,
		Metrics: http.NotFoundHandler(),
	})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

func TestTokenIsRequiredExceptForProbes(t *testing.T) {
	f := &fakeInstance{ready: true}
	assert.Equal(t, send(f, "GET", operations.PathHealth, "", "").Code, http.StatusOK)
	assert.Equal(t, send(f, "GET", operations.PathReady, "", "").Code, http.StatusOK)
	assert.Equal(t, send(f, "GET", operations.PathStatus, "", "").Code, http.StatusUnauthorized)
	assert.Equal(t, send(f, "GET", operations.PathStatus, "", "wrong").Code, http.StatusUnauthorized)
	assert.Equal(t, send(f, "GET", operations.PathStatus, "", testToken).Code, http.StatusOK)
}

func TestReadinessNamesTheReason(t *testing.T) {
	response := send(&fakeInstance{}, "GET", operations.PathReady, "", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Assert(t, cmp.Contains(response.Body.String(), "no configuration yet"))
}

func TestInvalidInputIsRefusedWithAProblemDocument(t *testing.T) {
	for _, tc := range []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"POST", operations.PathLogLevel, `{"level": "loud"}`, 422, "want debug"},
		{"POST", operations.PathLogLevel, `{"lvl": "info"}`, 422, "1:2: lvl: unknown field"},
		{"POST", operations.PathConfigChanges, strings.Repeat("x", 101), 413, "too large"},
		{"POST", operations.PathConfigChanges + "?dryRun=perhaps", "", 400, "want true or false"},
		{"GET", operations.PathConfigHistory + "?limit=0", "", 400, "above zero"},
		{"GET", "/nowhere", "", 404, "no such path"},
	} {
		response := send(&fakeInstance{}, tc.method, tc.path, tc.body, testToken)
		assert.Equal(t, response.Code, tc.status, tc.path)
		assert.Assert(t, cmp.Contains(response.Body.String(), tc.text))
		assert.Equal(t, response.Header().Get("Content-Type"), operations.ProblemContentType)
	}
}

func TestFleetErrorsMapToStatuses(t *testing.T) {
	for _, tc := range []struct {
		err    error
		status int
	}{
		{nil, http.StatusOK},
		{fmt.Errorf("instance w-1: %w", ErrNotFound), http.StatusNotFound},
		{fmt.Errorf("budget spent: %w", ErrRefused), http.StatusConflict},
		{ErrUnavailable, http.StatusServiceUnavailable},
		{errors.New("other"), http.StatusInternalServerError},
	} {
		response := send(&fakeInstance{err: tc.err}, "POST", operations.PathInstances+"/w-1/drain", `{"reason": "fan"}`, testToken)
		assert.Equal(t, response.Code, tc.status)
	}
}

func TestApplyPassesTheTextUnchanged(t *testing.T) {
	f := &fakeInstance{}
	response := send(f, "POST", operations.PathConfigChanges+"?dryRun=true&author=ada", "{ // x\n}", testToken)
	assert.Equal(t, response.Code, http.StatusOK)
	assert.DeepEqual(t, f.edit, Edit{Text: []byte("{ // x\n}"), Author: "ada", DryRun: true})
	f.err = errors.New("stale")
	assert.Equal(t, send(f, "POST", operations.PathConfigChanges, "{}", testToken).Code, http.StatusConflict)
}
