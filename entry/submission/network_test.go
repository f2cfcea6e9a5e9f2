package submission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

var errUnreachable = verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "the peer is unreachable")

// network connects deduplicators. Instances may be partitioned; calls may be slow or
// lose their responses.
type network struct {
	mu          sync.Mutex
	handlers    map[fleet.InstanceID]map[string]Handler
	partitioned map[fleet.InstanceID]bool
	latency     time.Duration
	lostPercent int // of calls whose response is lost
	random      *rand.Rand
}

func newNetwork(seed uint64) *network {
	return &network{
		handlers:    map[fleet.InstanceID]map[string]Handler{},
		partitioned: map[fleet.InstanceID]bool{},
		random:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// endpoint is the network interface of one deduplicator.
type endpoint struct {
	*network
	self fleet.InstanceID
}

// Handle implements HandlerRegistry.
func (e endpoint) Handle(method string, handler Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handlers[e.self] == nil {
		e.handlers[e.self] = map[string]Handler{}
	}
	e.handlers[e.self][method] = handler
}

// Call implements Peers.
func (e endpoint) Call(ctx context.Context, peer fleet.InstanceID, method string, payload []byte) ([]byte, error) {
	handler, latency, lost := e.route(peer, method)
	if handler == nil {
		return nil, errUnreachable
	}
	if err := backoff.Sleep(ctx, latency); err != nil {
		return nil, err
	}
	response, err := handler(context.Background(), e.self, payload)
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return response, err
}

func (e endpoint) route(peer fleet.InstanceID, method string) (Handler, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.partitioned[e.self] || e.partitioned[peer] {
		return nil, 0, false
	}
	return e.handlers[peer][method], e.latency, e.random.IntN(100) < e.lostPercent
}

func (n *network) setPartitioned(id fleet.InstanceID, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[id] = partitioned
}

func (n *network) remove(id fleet.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, id)
}

func (n *network) setFaults(latency time.Duration, lostPercent int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency, n.lostPercent = latency, lostPercent
}
