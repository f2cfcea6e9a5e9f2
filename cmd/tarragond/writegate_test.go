package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// writeGate is the platform's handler, and holds one write back on demand, as if
// the network delivered it late.
type writeGate struct {
	next http.Handler

	mu    sync.Mutex
	armed *heldWrite
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
	g.armed = held
	return held
}

// take returns the armed hold if the write matches it, once.
func (g *writeGate) match(body []byte) *heldWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var write storeWrite
	if g.armed == nil || json.Unmarshal(body, &write) != nil || !g.armed.matches(write) {
		return nil
	}
	held := g.armed
	g.armed = nil
	return held
}

// ServeHTTP implements http.Handler.
func (g *writeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	held := g.match(body)
	if held == nil {
		g.next.ServeHTTP(w, r)
		return
	}
	close(held.arrived)
	<-held.release
	response := httptest.NewRecorder()
	g.next.ServeHTTP(response, r.WithContext(context.WithoutCancel(r.Context())))
	held.code <- response.Code
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}
