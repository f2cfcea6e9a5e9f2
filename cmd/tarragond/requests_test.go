package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// getJSON reads a JSON document from the operator listener and reports whether it
// succeeded.
func getJSON[T any](e *entry, path string) (T, bool) {
	var value T
	res, err := http.Get("http://" + e.operator + path)
	if err != nil {
		return value, false
	}
	defer res.Body.Close()
	return value, res.StatusCode == http.StatusOK && json.NewDecoder(res.Body).Decode(&value) == nil
}

// post sends a document to the operator listener and returns the status and the body;
// without a response, status 0 and the error text.
func (e *entry) post(path, document string) (int, string) {
	res, err := http.Post("http://"+e.operator+path, "application/json", strings.NewReader(document))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// response is a response as a caller received it; the zero value stands for none.
type response struct {
	code     int
	verdict  string
	body     string
	complete bool
}

// send sends a caller's request; headers are pairs of name and value.
func (e *entry) send(t *testing.T, method, path string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+e.callers+path, nil)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return response{code: res.StatusCode, verdict: res.Header.Get(header.Verdict), body: string(body), complete: err == nil}
}

// sendToAll sends the same request to each entry instance concurrently.
func sendToAll(t *testing.T, entries []*entry, method, path string, headers ...string) []response {
	responses := make([]response, len(entries))
	var sending sync.WaitGroup
	for i, e := range entries {
		sending.Go(func() { responses[i] = e.send(t, method, path, headers...) })
	}
	sending.Wait()
	return responses
}
