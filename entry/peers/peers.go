// Package peers knows the other instances of the deployment and asks them on behalf of this one.
//
// Each instance registers its address in the store, under a lease, and reads those of the others now
// and then. While the store does not respond to an instance, it goes on with the addresses that it
// has read last. Calls are HTTP/1.1 on connections that are kept: they are made only while the store fails one
// instance and serves others, and small instances can't afford a handshake with encryption for each.
package peers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/bound"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/reach"
)

const (
	// registrationTTL is how long the registration of an instance outlasts it.
	registrationTTL = 30 * time.Second
	// refreshInterval is the time between two renewals of the registration, and between two readings of
	// the others.
	refreshInterval = 5 * time.Second
	// firstRefresh replaces refreshInterval until the peers were read after the registration: instances
	// start at about the same time.
	firstRefresh = 1 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// attemptTimeout bounds one call to a peer, and askTimeout all calls about one request: an instance that
	// is cut off from its peers must refuse the request soon, so that its caller can try another instance.
	attemptTimeout = 200 * time.Millisecond
	askTimeout     = 400 * time.Millisecond
	// maxAttempts is how many peers are asked about one request.
	maxAttempts = 8
	// maxResponse bounds the response of a peer in bytes.
	maxResponse = 64 << 10
	// maxCores is the highest CPU capacity in cores that a registration may state; what is beyond counts as unknown.
	maxCores = 1024
	// idleConnections is how many idle connections are kept open to each peer.
	idleConnections = 2
)

// retry spaces calls to a peer that can't answer: an outage may concern all instances, which must not
// load each other then.
var retry = backoff.Policy{Base: 1 * time.Second, Cap: 8 * time.Second}

// maxDoublings is how often the pause after requests that were passed on in vain doubles.
const maxDoublings = 3

// Store is the part of the store that the registration uses.
type Store interface {
	All(ctx context.Context, prefix string, read kv.Consistency) ([]kv.Item, kv.Revision, error)
	Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) error
	Revoke(ctx context.Context, id kv.LeaseID) error
	// Silent reports whether the store has not responded to this instance for longer than usual.
	Silent() bool
}

// Peer is an instance.
type Peer struct {
	ID      fleet.InstanceID
	Zone    fleet.AvailabilityZone
	Address string  // host:port for calls of other instances
	Cores   float64 // CPU capacity; zero if unknown
}

// peer is another instance and what is known of its answers.
type peer struct {
	Peer
	client     *call.Client
	answeredAt time.Time // zero before its first answer
	failures   int       // since then
	retryAt    time.Time
	state      reach.State // what is known of it since the store became silent
	surveyAt   time.Time   // when to survey it next
}

// Peers are the other instances. Its methods may be called concurrently.
type Peers struct {
	store  Store
	self   Peer
	dial   call.DialFunc // nil for the network's
	logger *slog.Logger
	scope  tally.Scope
	lease  kv.LeaseID // of the registration; zero if there is none. Used by Run only

	mu     sync.Mutex
	peers  map[fleet.InstanceID]*peer
	random *rand.Rand
	// pausedUntil is when to call peers again after none had an answer, for inVain requests in a row.
	pausedUntil time.Time
	inVain      int
	// surveyed is set while the store is silent and peers have been asked whether they can answer callers.
	surveyed   bool
	assessment reach.Assessment // by the states of the peers; empty unless surveyed
}

// New returns the peers of the instance self. Connections to them are opened with dial, or with the network's if
// it is nil.
func New(store Store, self Peer, dial call.DialFunc, logger *slog.Logger, scope tally.Scope) *Peers {
	return &Peers{
		store: store, self: self, dial: dial, logger: logger, scope: scope,
		peers: map[fleet.InstanceID]*peer{}, random: backoff.NewRandom(),
	}
}

// Run keeps the instance registered, reads the others, and surveys them while the store is silent, until ctx ends. It
// then ends the registration.
func (p *Peers) Run(ctx context.Context) {
	var surveying sync.WaitGroup
	defer surveying.Wait()
	surveying.Go(func() { p.runSurvey(ctx) })
	unreadable := follow.NewSkipped(p.logger, "addresses of instances not readable")
	pause := firstRefresh
	for ctx.Err() == nil {
		registered := p.register(ctx)
		if read := p.refresh(ctx, unreadable); registered && read {
			_ = backoff.Sleep(ctx, pause) // the loop checks ctx
			pause = refreshInterval
			continue
		}
		_ = backoff.Sleep(ctx, firstRefresh) // the loop checks ctx
	}
	p.deregister()
	p.closeAll()
}

// register registers the instance or renews its registration, and reports whether that succeeded.
func (p *Peers) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if p.lease != 0 {
		err := p.store.KeepAlive(ctx, p.lease)
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err == nil
		}
		p.lease = 0
	}
	lease, err := p.store.Grant(ctx, registrationTTL)
	if err != nil {
		return false
	}
	value, err := layout.Encode(layout.Instance{Zone: p.self.Zone, Address: p.self.Address, Cores: p.self.Cores})
	if err != nil {
		p.logger.Error("instance not registered", "error", err)
		return false
	}
	put := kv.Put{Key: layout.InstanceKey(p.self.ID), Value: value, Lease: lease.ID}
	if _, err := p.store.Txn(ctx, kv.Txn{Puts: []kv.Put{put}}); err != nil {
		return false // the lease ends by itself, with the key if it was written after all
	}
	p.lease = lease.ID
	return true
}

func (p *Peers) deregister() {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := p.store.Revoke(ctx, p.lease); err != nil {
		p.logger.Info("registration left to its lease", "error", err)
	}
}

// refresh reads the registrations of all instances and reports whether that succeeded. Old ones do for
// the purpose: a peer that is gone costs an attempt.
func (p *Peers) refresh(ctx context.Context, unreadable *follow.Skipped) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, _, err := p.store.All(ctx, layout.InstancesPrefix, kv.Stale)
	if err != nil {
		return false
	}
	unreadable.Begin(follow.Listing(items))
	defer unreadable.Log()
	listed := map[fleet.InstanceID]Peer{}
	for _, item := range items {
		other, err := decode(item)
		if err != nil {
			unreadable.Add(item.Key, err)
			continue
		}
		if other.ID != p.self.ID {
			listed[other.ID] = other
		}
	}
	p.apply(listed)
	return true
}

// decode decodes the registration of an instance. Another writer may have left it.
func decode(item kv.Item) (Peer, error) {
	instance, err := layout.Decode[layout.Instance](item.Key, item.Value)
	if err != nil {
		return Peer{}, err
	}
	if err := bound.Address(instance.Address); err != nil {
		return Peer{}, fmt.Errorf("entry %s: %w", bound.Excerpt(item.Key), err)
	}
	cores := instance.Cores
	if !(cores > 0 && cores <= maxCores) {
		cores = 0
	}
	return Peer{ID: layout.InstanceOf(item.Key), Zone: instance.Zone, Address: instance.Address, Cores: cores}, nil
}

// apply replaces the known peers. Those that are listed as before keep what is known of their answers.
func (p *Peers) apply(listed map[fleet.InstanceID]Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.peers {
		if listed[id] != known.Peer {
			known.client.CloseIdle()
			delete(p.peers, id)
		}
	}
	for id, other := range listed {
		if p.peers[id] == nil {
			p.peers[id] = &peer{Peer: other, client: p.newClient(other.Address)}
		}
	}
}

// Known returns the other instances that were registered when they were read last, in no particular order.
func (p *Peers) Known() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Peer, 0, len(p.peers))
	for _, known := range p.peers {
		list = append(list, known.Peer)
	}
	return list
}

func (p *Peers) newClient(address string) *call.Client {
	if p.dial != nil {
		return call.NewWithDial(address, idleConnections, p.dial)
	}
	return call.New(address, idleConnections)
}

func (p *Peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.client.CloseIdle()
	}
}

// headerInstance has the ID of the instance in its responses to peers. What else may respond at an address
// that another writer has registered is no peer.
const headerInstance = "Tarragonreach-Instance"

// Handler returns the handler of calls of other instances, which next answers.
func (p *Peers) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerInstance, string(p.self.ID))
		next.ServeHTTP(w, r)
	})
}

// outcome is how a call to a peer ended.
type outcome uint8

const (
	silent   outcome = iota // no response of the peer
	refused                 // a response that is no answer
	answered                // an answer
)

var outcomeNames = [...]string{silent: "silent", refused: "refused", answered: "answered"}

// Ask makes a call at one peer after the other until one gives an answer that answers accepts. It returns
// false if none of up to maxAttempts does within askTimeout, or before ctx ends. Peers that gave no answer lately are
// left out; after a request that was passed on in vain, none is for a while.
func (p *Peers) Ask(ctx context.Context, r call.Request, answers func(call.Response) bool) (call.Response, bool) {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	candidates := p.candidates(time.Now())
	if len(candidates) == 0 {
		return call.Response{}, false
	}
	for _, other := range candidates {
		response, result := p.attempt(askCtx, other, r, attemptTimeout, answers)
		if ctx.Err() != nil {
			return call.Response{}, false // says nothing about the peers
		}
		p.note(other, result, time.Now())
		if result == answered {
			return response, true
		}
		if askCtx.Err() != nil {
			break
		}
	}
	p.noteInVain(time.Now())
	return call.Response{}, false
}

func (p *Peers) attempt(ctx context.Context, other *peer, r call.Request, timeout time.Duration, answers func(call.Response) bool) (call.Response, outcome) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.MaxResponse = maxResponse
	response, err := other.client.Do(ctx, r)
	switch {
	case err != nil || response.Header.Get(headerInstance) != string(other.ID):
		return call.Response{}, silent
	case answers(response):
		return response, answered
	default:
		return response, refused
	}
}

// candidates returns the peers to ask about a request, at most maxAttempts, without those that gave no answer lately. Once
// they were surveyed these are the ones that can answer.
func (p *Peers) candidates(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.pausedUntil) {
		return nil
	}
	return p.choose(func(other *peer) bool {
		return !now.Before(other.retryAt) && (!p.surveyed || other.state == reach.Serving)
	})
}

// choose returns up to maxAttempts of the peers that accept accepts: those that answered last come first, then those
// that were asked least in vain, then those of the same availability zone, in random order. The caller holds p.mu.
func (p *Peers) choose(accept func(*peer) bool) []*peer {
	var list []*peer
	for _, other := range p.peers {
		if accept(other) {
			list = append(list, other)
		}
	}
	p.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *peer) int {
		return cmp.Or(b.answeredAt.Compare(a.answeredAt), cmp.Compare(a.failures, b.failures), cmp.Compare(p.distance(a), p.distance(b)))
	})
	return list[:min(len(list), maxAttempts)]
}

// distance returns 0 for peers of the same availability zone, and 1 for others.
func (p *Peers) distance(other *peer) int {
	if other.Zone == p.self.Zone {
		return 0
	}
	return 1
}

// note records how a call to a peer ended. One that gave no answer is not called for a while.
func (p *Peers) note(other *peer, result outcome, now time.Time) {
	p.scope.Tagged(map[string]string{"result": outcomeNames[result]}).Counter("calls").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.assess()
	if result == answered {
		other.answeredAt, other.failures, other.retryAt = now, 0, time.Time{}
		other.state = reach.Serving
		p.pausedUntil, p.inVain = time.Time{}, 0
		return
	}
	other.failures++
	other.answeredAt = time.Time{}
	other.retryAt = now.Add(retry.Delay(other.failures, p.random))
	if result == silent {
		other.retryAt = now.Add(retry.Cap)
	}
	if other.state == reach.Serving {
		other.state = reach.Refusing // a request may take longer than attemptTimeout where the store is silent
	}
}

// noteInVain records that no peer had an answer to a request: this instance may be cut off from all that have.
func (p *Peers) noteInVain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.pausedUntil) {
		return // noted for another request at the same time
	}
	p.inVain++
	p.pausedUntil = now.Add(min(retry.Base<<min(p.inVain-1, maxDoublings), retry.Cap))
}
