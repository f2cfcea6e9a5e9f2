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

// fake stands in for all that the operator listener shows and steers.
type fake struct {
	level string
	ready bool
	err   error
	edit  Edit
}

func (f *fake) Level() string { return f.level }

func (f *fake) SetLevel(name string) error {
	if name == "loud" {
		return errors.New("want debug, info, warn or error")
	}
	f.level = name
	return nil
}

func (f *fake) status() operations.Status {
	return operations.Status{Instance: "pa-1", Ready: f.ready, NotReady: []string{"no configuration yet"}}
}

func (f *fake) Document() operations.ConfigDocument { return operations.ConfigDocument{Revision: 3} }

func (f *fake) Apply(_ context.Context, edit Edit) (operations.ApplyResult, error) {
	f.edit = edit
	return operations.ApplyResult{DryRun: edit.DryRun}, f.err
}

func (f *fake) Rollback(context.Context, object.Revision, string, string) (operations.ApplyResult, error) {
	return operations.ApplyResult{}, f.err
}

func (f *fake) History(context.Context, int) ([]operations.HistoryEntry, error) { return nil, f.err }

func (f *fake) Rollouts(context.Context) []operations.Rollout { return nil }

func (f *fake) Refusal(err error) operations.Problem {
	return operations.Problem{Title: err.Error(), Status: http.StatusConflict}
}

func (f *fake) Pools() []operations.PoolStatus { return nil }

func (f *fake) Instances() []operations.InstanceStatus { return nil }

func (f *fake) Maintenance(context.Context) []operations.MaintenanceStatus { return nil }

func (f *fake) Jobs(context.Context) ([]operations.JobStatus, error) { return nil, f.err }

func (f *fake) Drain(_ context.Context, id fleet.InstanceID, reason string) (operations.InstanceStatus, error) {
	return operations.InstanceStatus{ID: id, Reason: reason}, f.err
}

func (f *fake) Undrain(_ context.Context, id fleet.InstanceID) (operations.InstanceStatus, error) {
	return operations.InstanceStatus{ID: id}, f.err
}

func (f *fake) Relabel(_ context.Context, id fleet.InstanceID, labels label.Set) (operations.InstanceStatus, error) {
	return operations.InstanceStatus{ID: id, Labels: labels}, f.err
}

func (f *fake) Explain(context.Context, string, string) ([]operations.Explanation, error) {
	return nil, f.err
}

const testToken = "secret"

func ask(f *fake, method, path, body, token string) *httptest.ResponseRecorder {
	handler := New(Options{
		Token: testToken, MaxBodyBytes: 100, Status: f.status, Log: f, Config: f, Fleet: f, Explainer: f,
		Metrics: http.NotFoundHandler(),
	})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)
	return answer
}

func TestTokenGuardsAllButTheProbes(t *testing.T) {
	f := &fake{ready: true}
	assert.Equal(t, ask(f, "GET", operations.PathHealth, "", "").Code, http.StatusOK)
	assert.Equal(t, ask(f, "GET", operations.PathReady, "", "").Code, http.StatusOK)
	assert.Equal(t, ask(f, "GET", operations.PathStatus, "", "").Code, http.StatusUnauthorized)
	assert.Equal(t, ask(f, "GET", operations.PathStatus, "", "wrong").Code, http.StatusUnauthorized)
	assert.Equal(t, ask(f, "GET", operations.PathStatus, "", testToken).Code, http.StatusOK)
}

func TestReadinessNamesTheReason(t *testing.T) {
	answer := ask(&fake{}, "GET", operations.PathReady, "", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Assert(t, cmp.Contains(answer.Body.String(), "no configuration yet"))
}

func TestWrongInputIsRefusedWithAProblem(t *testing.T) {
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
		answer := ask(&fake{}, tc.method, tc.path, tc.body, testToken)
		assert.Equal(t, answer.Code, tc.status, tc.path)
		assert.Assert(t, cmp.Contains(answer.Body.String(), tc.text))
		assert.Equal(t, answer.Header().Get("Content-Type"), operations.ProblemContentType)
	}
}

func TestErrorsOfTheFleetMapToStatuses(t *testing.T) {
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
		answer := ask(&fake{err: tc.err}, "POST", operations.PathInstances+"/w-1/drain", `{"reason": "fan"}`, testToken)
		assert.Equal(t, answer.Code, tc.status)
	}
}

func TestApplyHandsTheTextOnAsItStands(t *testing.T) {
	f := &fake{}
	answer := ask(f, "POST", operations.PathConfigChanges+"?dryRun=true&author=ada", "{ // x\n}", testToken)
	assert.Equal(t, answer.Code, http.StatusOK)
	assert.DeepEqual(t, f.edit, Edit{Text: []byte("{ // x\n}"), Author: "ada", DryRun: true})
	f.err = errors.New("stale")
	assert.Equal(t, ask(f, "POST", operations.PathConfigChanges, "{}", testToken).Code, http.StatusConflict)
}
