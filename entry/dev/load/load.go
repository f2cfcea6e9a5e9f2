// Package load sends a short mixed load of requests to entry instances and checks
// each answer against what the backend servers ran.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Keying says how a submission is named.
type Keying int

// The ways to name a submission.
const (
	Unkeyed Keying = iota
	Ticketed
	OwnKey
)

// Stream is one kind of request sent at a steady rate.
type Stream struct {
	Class   string
	Tenant  string
	Service string
	Method  string
	Body    string
	Rate    float64 // requests a second
	Timeout time.Duration
	Keying  Keying
	// Repeatable says that the class allows a request to run more than once.
	Repeatable bool
}

// RunCounter counts what the backend servers ran.
type RunCounter interface {
	// Runs returns how often a request with this ID ran.
	Runs(requestID string) int
	// KeyRuns returns how often a submission with this key ran.
	KeyRuns(key string) int
}

// Options say what to send and where.
type Options struct {
	Streams         []Stream
	CallerAddresses func() []string // host:port of the caller listeners to choose from
	RunCounter      RunCounter
	Random          *rand.Rand
}

// Generator is a running load.
type Generator struct {
	options Options
	client  *http.Client
	mu      sync.Mutex // guards options.Random
	pending sync.WaitGroup
	stats   map[string]*Stats // by class, fixed after New
}

// connectionsPerEntry bounds the idle connections kept to one entry instance.
const connectionsPerEntry = 256

// New returns a load that has not started.
func New(o Options) *Generator {
	l := &Generator{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerEntry}},
		stats:   map[string]*Stats{},
	}
	for _, s := range o.Streams {
		l.stats[s.Class] = &Stats{}
	}
	return l
}

// Run sends until ctx ends and then waits for the answers in progress.
func (l *Generator) Run(ctx context.Context) {
	var streams sync.WaitGroup
	for _, s := range l.options.Streams {
		streams.Go(func() { l.send(ctx, s) })
	}
	streams.Wait()
	l.pending.Wait()
}

func (l *Generator) send(ctx context.Context, s Stream) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.pending.Go(func() { l.one(s) })
		}
	}
}

// one makes one request, outside the load's own context, so that its end cuts
// nothing off.
func (l *Generator) one(s Stream) {
	began := time.Now()
	result := l.ask(s)
	l.stats[s.Class].add(result, time.Since(began))
}

// entry picks one of the entry instances, as a balancer would.
func (l *Generator) entry() string {
	entries := l.options.CallerAddresses()
	l.mu.Lock()
	defer l.mu.Unlock()
	return entries[l.options.Random.IntN(len(entries))]
}

// Summaries returns how each class fared so far, in the order of the streams.
func (l *Generator) Summaries() []Summary {
	var out []Summary
	seen := map[string]bool{}
	for _, s := range l.options.Streams {
		if !seen[s.Class] {
			out = append(out, l.stats[s.Class].summary(s.Class))
		}
		seen[s.Class] = true
	}
	return out
}
