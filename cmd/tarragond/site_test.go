package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// writeGate is the platform's handler, and holds one write back on demand, as if
// the network delivered it late.
type writeGate struct {
	next http.Handler

	mu   sync.Mutex
	hold *heldWrite
}

// storeWrite is the part of a call that the gate looks at.
type storeWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// heldWrite is the first write that matches. The gate closes arrived once it has
// it, and lets it on after release is closed; code receives the platform's answer.
type heldWrite struct {
	matches func(storeWrite) bool
	arrived chan struct{}
	release chan struct{}
	code    chan int
}

// arm makes the gate hold the next write that matches.
func (g *writeGate) arm(matches func(storeWrite) bool) *heldWrite {
	held := &heldWrite{matches: matches, arrived: make(chan struct{}), release: make(chan struct{}), code: make(chan int, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold = held
	return held
}

// take returns the armed hold if the write matches it, once.
func (g *writeGate) take(body []byte) *heldWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var write storeWrite
	if g.hold == nil || json.Unmarshal(body, &write) != nil || !g.hold.matches(write) {
		return nil
	}
	held := g.hold
	g.hold = nil
	return held
}

// ServeHTTP implements http.Handler.
func (g *writeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	held := g.take(body)
	if held == nil {
		g.next.ServeHTTP(w, r)
		return
	}
	close(held.arrived)
	<-held.release
	answer := httptest.NewRecorder()
	g.next.ServeHTTP(answer, r.WithContext(context.WithoutCancel(r.Context())))
	held.code <- answer.Code
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// getJSON reads a document of the operator listener; it reports whether it got one.
func getJSON[T any](e *entry, path string) (T, bool) {
	var value T
	res, err := http.Get("http://" + e.operator + path)
	if err != nil {
		return value, false
	}
	defer res.Body.Close()
	return value, res.StatusCode == http.StatusOK && json.NewDecoder(res.Body).Decode(&value) == nil
}

// post sends a document to the operator listener and returns the status, 0 without an answer.
func (e *entry) post(path, document string) (int, string) {
	res, err := http.Post("http://"+e.operator+path, "application/json", strings.NewReader(document))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// answer is what a caller received.
type answer struct {
	code    int
	verdict string
	body    string
	whole   bool
}

// send sends a caller's request with the headers given in pairs.
func (e *entry) send(t *testing.T, method, path string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+e.callers+path, nil)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{code: res.StatusCode, verdict: res.Header.Get(header.Verdict), body: string(body), whole: err == nil}
}

// sendToAll sends one request to each entry instance at the same moment.
func sendToAll(t *testing.T, entries []*entry, method, path string, headers ...string) []answer {
	answers := make([]answer, len(entries))
	var sending sync.WaitGroup
	for i, e := range entries {
		sending.Go(func() { answers[i] = e.send(t, method, path, headers...) })
	}
	sending.Wait()
	return answers
}
