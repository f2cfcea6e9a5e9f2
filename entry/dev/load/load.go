// Package load sends a short mixed load of requests to entry instances and checks
// each response against the requests that the backend servers ran.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Keying selects the source of a submission's idempotency key.
type Keying int

// Sources of the idempotency key: none, a ticket minted by the entry instance, or a
// key chosen by the caller.
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
	Rate    float64 // requests per second
	Timeout time.Duration
	Keying  Keying
	// Repeatable is set if the class allows a request to run more than once.
	Repeatable bool
}

// RunCounter counts the runs on the backend servers.
type RunCounter interface {
	// Runs returns how many times a request with this ID ran.
	Runs(requestID string) int
	// KeyRuns returns how many times a submission with this key ran.
	KeyRuns(key string) int
}

// Options configures a Generator.
type Options struct {
	Streams         []Stream
	CallerAddresses func() []string // host:port of each entry instance's caller listener
	RunCounter      RunCounter
	Random          *rand.Rand
}

// Generator generates the load.
type Generator struct {
	options Options
	client  *http.Client
	mu      sync.Mutex // guards options.Random
	pending sync.WaitGroup
	stats   map[string]*Stats // by class; the set of classes is fixed after New
}

// connectionsPerEntry is the maximum number of idle connections to one entry instance.
const connectionsPerEntry = 256

// New returns a load generator that has not started.
func New(o Options) *Generator {
	g := &Generator{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerEntry}},
		stats:   map[string]*Stats{},
	}
	for _, s := range o.Streams {
		g.stats[s.Class] = &Stats{}
	}
	return g
}

// Run sends requests until ctx ends and then waits for the pending responses.
func (g *Generator) Run(ctx context.Context) {
	var streams sync.WaitGroup
	for _, s := range g.options.Streams {
		streams.Go(func() { g.send(ctx, s) })
	}
	streams.Wait()
	g.pending.Wait()
}

func (g *Generator) send(ctx context.Context, s Stream) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pending.Go(func() { g.sendOne(s) })
		}
	}
}

// sendOne sends one request and records its result. The request does not use the
// context of the load, so that the end of the load does not cancel it.
func (g *Generator) sendOne(s Stream) {
	start := time.Now()
	result := g.perform(s)
	g.stats[s.Class].add(result, time.Since(start))
}

// pickEntry returns the address of a random entry instance, as a load balancer in
// front of them would choose it.
func (g *Generator) pickEntry() string {
	entries := g.options.CallerAddresses()
	g.mu.Lock()
	defer g.mu.Unlock()
	return entries[g.options.Random.IntN(len(entries))]
}

// Summaries returns the results of each class so far, in the order of the streams.
func (g *Generator) Summaries() []Summary {
	var out []Summary
	seen := map[string]bool{}
	for _, s := range g.options.Streams {
		if !seen[s.Class] {
			out = append(out, g.stats[s.Class].summary(s.Class))
		}
		seen[s.Class] = true
	}
	return out
}
