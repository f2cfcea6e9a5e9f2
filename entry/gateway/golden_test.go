package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/submission"
)

// goldenError is the refusal of a duplicate; its problem document has no zero field.
func goldenError() *verdict.Error {
	refusal := verdict.New(verdict.Ran, verdict.CodeDuplicate, "detail")
	refusal.RetryAfter = 1500 * time.Millisecond
	refusal.Err = &submission.DuplicateError{Phase: submission.PhaseEnded, Outcome: submission.Outcome{
		Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("body"),
	}}
	return refusal
}

// TestProblemKeepsItsForm guards against renamed fields and headers of refusals: callers
// that read the old names would find them empty. The file was written by commit 81f8b51.
func TestProblemKeepsItsForm(t *testing.T) {
	data, err := os.ReadFile("testdata/problem.json")
	assert.NilError(t, err)
	text := strings.TrimSpace(string(data))
	response := httptest.NewRecorder()
	writeProblem(response, goldenError(), "request")
	assert.Equal(t, response.Body.String(), text)
	assert.Equal(t, response.Code, http.StatusConflict)
	assert.Equal(t, response.Header().Get("Content-Type"), "application/problem+json")
	assert.Equal(t, response.Header().Get("Tarragon-Verdict"), "ran")
	assert.Equal(t, response.Header().Get("Retry-After"), "2")
	var problem Problem
	assert.NilError(t, json.Unmarshal([]byte(text), &problem))
	assert.Equal(t, problem.Code, verdict.CodeDuplicate)
	assert.Equal(t, problem.RequestID, "request")
	assert.DeepEqual(t, *problem.First, submission.FirstCopy{State: "ended", Status: 201, ContentType: "text/plain", Body: []byte("body")})
}
