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

// writeGate wraps the platform's handler and holds one write back on demand, as if
// the network delivered it late.
type writeGate struct {
	next http.Handler

	mu    sync.Mutex
	armed *heldWrite
}

// storeWrite holds the fields of a call's body that select the write to hold.
type storeWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// heldWrite is a hold for the first write that matches. The gate closes arrived when
// the write arrives and forwards it after release is closed; code receives the status
// of the platform's response.
type heldWrite struct {
	matches func(storeWrite) bool
	arrived chan struct{}
	release chan struct{}
	code    chan int
}

// arm makes the gate hold the next matching write.
func (g *writeGate) arm(matches func(storeWrite) bool) *heldWrite {
	held := &heldWrite{matches: matches, arrived: make(chan struct{}), release: make(chan struct{}), code: make(chan int, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = held
	return held
}

// match returns the armed hold and disarms it if the write in body matches; otherwise
// it returns nil.
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
