package host_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/intake"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/owner"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/executor"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

var (
	liveSchedules = flag.Int("live-schedules", 2, "how many schedules TestAcceptedJobsRunOnceAllIsCalm plays")
	liveSeed      = flag.Uint64("live-seed", 20261203, "the first of them")
)

// The promise of RULES.md, LOST, as in policy/shard.
const (
	startBound = 3 * time.Second
	calmBound  = 7 * time.Second
	// lastingRest is how long after its last run a task that lasts may rest besides.
	lastingRest = 6 * time.Second
)

const (
	storeAddress  = "store:1"
	runTime       = 300 * time.Millisecond
	judgeEvery    = 100 * time.Millisecond
	operatorWait  = 700 * time.Millisecond
	executorsEach = 3
)

var (
	taskNeed = job.Resources{MilliCPU: 1000, MemoryMB: 100}
	roomEach = job.Resources{MilliCPU: 16000, MemoryMB: 65536}
)

// liveSite is a platform and some instances in virtual time.
type liveSite struct {
	random      *rand.Rand
	network     *network
	store       *standin.Store
	pools       []standin.PoolSpec
	version     int64
	instances   []*liveInstance
	servers     sync.WaitGroup
	storeServer *http.Server

	slow     atomic.Int64 // nanoseconds that each call to the store takes
	refusing atomic.Bool  // the store refuses half of all calls

	executors []*liveExecutor
	gone      []*liveExecutor
	lives     int

	mu       sync.Mutex // guards the jobs, which callers add
	jobs     map[job.ID]*liveJob
	accepted int

	troubled  bool
	calmSince time.Time
	events    []string
	failure   string
	callers   sync.WaitGroup
}

type liveJob struct {
	service  cluster.Service
	prefix   string
	tasks    int
	lasting  bool
	due      time.Time
	accepted time.Time
	lastRun  map[string]time.Time // end of the last run of each task
	final    bool
	gone     bool // asked to be cancelled
}

type liveExecutor struct {
	*standin.Executor
	server   *http.Server
	taken    int // starts that were read
	refusing atomic.Bool
	dark     bool
}

func (e *liveExecutor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.Executor.ServeHTTP(w, r)
}

func newLiveSite(seed uint64) *liveSite {
	s := &liveSite{
		random: rand.New(rand.NewPCG(seed, 1)), network: newNetwork(), store: standin.NewStore(),
		jobs: map[job.ID]*liveJob{}, calmSince: time.Now(),
	}
	for i := range 2 + s.random.IntN(2) {
		name := fmt.Sprintf("s%d", i)
		s.pools = append(s.pools, standin.PoolSpec{Service: cluster.Service(name), Prefix: "/" + name + "/"})
	}
	s.storeServer = s.serve(storeAddress, http.HandlerFunc(s.serveStore))
	for _, pool := range s.pools {
		for i := range executorsEach {
			s.startExecutor(pool.Service, fmt.Sprintf("%s-%d:1", pool.Service, i))
		}
	}
	s.configure()
	cores := []float64{1, 0.8, 0.3, 0.8, 0.2}
	for i := range 3 + s.random.IntN(3) {
		s.instances = append(s.instances, s.newInstance(fmt.Sprintf("front-%d", i), cores[i]))
	}
	return s
}

func (s *liveSite) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := s.network.listen(address)
	s.servers.Go(func() { _ = server.Serve(listener) }) // ends with Close
	return server
}

func (s *liveSite) serveStore(w http.ResponseWriter, r *http.Request) {
	// A server notices that its client has gone only once the body was read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(time.Duration(s.slow.Load()) + time.Millisecond)
	if s.refusing.Load() && rand.IntN(2) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.store.ServeHTTP(w, r)
}

func (s *liveSite) configure() {
	s.version++
	f := standin.Fleet{Store: s.store}
	if err := f.Configure(s.pools, s.version); err != nil {
		panic(err)
	}
}

func (s *liveSite) startExecutor(service cluster.Service, address string) {
	s.lives++
	e := &liveExecutor{Executor: standin.NewExecutor(cluster.Executor{
		ID: cluster.ExecutorID(fmt.Sprintf("i-%d", s.lives)), Service: service, Address: address,
		Zone: "palermo", Capacity: roomEach, Labels: []string{"a", "r1-1"},
	}, runTime)}
	e.server = s.serve(address, e)
	s.executors = append(s.executors, e)
	s.register(e)
}

func (s *liveSite) register(e *liveExecutor) {
	key, value, err := e.Entry()
	if err != nil {
		panic(err)
	}
	s.store.Put(key, value)
}

func (s *liveSite) crash(i int, reborn bool) {
	e := s.executors[i]
	s.executors = append(s.executors[:i], s.executors[i+1:]...)
	s.gone = append(s.gone, e)
	_ = e.server.Close() // nothing that was on its way matters any more
	if e.dark {
		s.network.mend("", e.Registration.Address)
	}
	s.store.Delete(registry.ExecutorPrefix + string(e.Registration.ID))
	if reborn {
		s.startExecutor(e.Registration.Service, e.Registration.Address)
	}
}

// liveInstance is the parts of an instance, assembled as entry/host does.
type liveInstance struct {
	site    *liveSite
	id      string
	cores   float64
	handler http.Handler
	end     context.CancelFunc
	running sync.WaitGroup
	config  atomic.Pointer[cluster.Config]
	up      atomic.Bool
}

func (s *liveSite) newInstance(id string, cores float64) *liveInstance {
	i := &liveInstance{site: s, id: id, cores: cores}
	i.start()
	return i
}

func (i *liveInstance) start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.end = cancel
	i.config.Store(nil)
	logger := slog.New(slog.DiscardHandler)
	dial := i.site.network.dial(i.id)
	store := storehealth.New(kv.NewWithDial(storeAddress, dial), func(bool, int) {})
	e := election.New(store, fleet.InstanceID(i.id), "palermo", i.cores, logger)
	i.handler = intake.New(store, i.config.Load, func() bool { return false }, logger, tally.NoopScope).Handler()
	i.running.Go(func() { e.Follow(ctx) })
	i.running.Go(func() { store.Probe(ctx) })
	services := map[cluster.Service]bool{}
	apply := func(c follow.Change) {
		for _, event := range c.Events {
			if event.Key != registry.ConfigKey || event.Removed {
				continue
			}
			config, err := registry.Config(event.Value)
			if err != nil {
				panic(err)
			}
			i.config.Store(config)
			for _, pool := range config.Pools {
				if !services[pool.Service] {
					services[pool.Service] = true
					i.campaign(ctx, e, store, pool.Service, logger)
				}
			}
		}
	}
	f := follow.Follower{Store: store, Prefix: registry.OperatorPrefix, Wait: operatorWait, Apply: apply, Logger: logger}
	i.running.Go(func() { f.Run(ctx); store.CloseIdle() })
	i.up.Store(true)
}

func (i *liveInstance) campaign(ctx context.Context, e *election.Election, store *storehealth.Store, service cluster.Service, logger *slog.Logger) {
	dial := i.site.network.dial(i.id)
	options := owner.Options{
		Service: service, Limits: shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, Store: store,
		Dial: func(id cluster.ExecutorID, address string) owner.Executor {
			return executor.NewWithDial(id, address, dial)
		},
		Config: i.config.Load, Logger: logger, Scope: tally.NoopScope,
	}
	i.running.Go(func() {
		e.Campaign(ctx, string(service), func(ctx context.Context, term election.Term) { owner.Lead(ctx, term, options) })
	})
}

// kill ends the instance without a word to anybody.
func (i *liveInstance) kill() {
	if !i.up.Swap(false) {
		return
	}
	i.site.network.cut(i.id, storeAddress)
	i.end()
	i.running.Wait()
	i.site.network.vanish(i.id)
}

// restart begins the instance's next life.
func (i *liveInstance) restart() {
	if i.up.Load() {
		return
	}
	i.site.network.mend(i.id, storeAddress)
	i.start()
}

func (s *liveSite) logf(format string, values ...any) {
	s.events = append(s.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, values...))
}

// submit hands a job in at some instance, as a caller that tries again.
func (s *liveSite) submit() {
	pool := s.pools[s.random.IntN(len(s.pools))]
	s.accepted++
	id := job.ID(fmt.Sprintf("%016x", s.accepted))
	j := &liveJob{
		service: pool.Service, prefix: pool.Prefix, tasks: 1 + s.random.IntN(3),
		lasting: s.random.IntN(12) == 0, lastRun: map[string]time.Time{},
	}
	body := standin.SubmissionBody(j.tasks, taskNeed, runTime, j.lasting)
	if !j.lasting && s.random.IntN(8) == 0 {
		j.due = time.Now().Add(time.Duration(s.random.IntN(5000)) * time.Millisecond)
		body = strings.TrimSuffix(body, "}") + fmt.Sprintf(`,"repeat-count":1,"first-run-ms":%d,"interval-ms":1000}`, j.due.UnixMilli())
	}
	s.callers.Go(func() {
		for range 8 {
			status := s.call(http.MethodPost, j.prefix+string(id), body)
			if status == http.StatusOK {
				s.mu.Lock()
				defer s.mu.Unlock()
				j.accepted = time.Now()
				s.jobs[id] = j
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

func (s *liveSite) call(method, path, body string) int {
	i := s.instances[rand.IntN(len(s.instances))]
	if !i.up.Load() {
		return http.StatusBadGateway
	}
	r := httptest.NewRequest(method, path, bytes.NewBufferString(body))
	r.Host = standin.Host
	w := httptest.NewRecorder()
	i.handler.ServeHTTP(w, r)
	return w.Code
}

// readStarts takes in what the executors have started.
func (s *liveSite) readStarts() {
	for _, e := range append(append([]*liveExecutor{}, s.executors...), s.gone...) {
		starts := e.Starts()
		for _, start := range starts[e.taken:] {
			id, _, _ := strings.Cut(start.Task, ".")
			if j := s.jobs[job.ID(id)]; j != nil {
				j.lastRun[start.Task] = start.At.Add(runTime)
			} else {
				continue // its caller has no answer yet
			}
		}
		e.taken = len(starts)
	}
}

// halfUsed reports whether half of a service's room is in use.
func (s *liveSite) halfUsed(service cluster.Service) bool {
	var used, all int64
	for _, e := range s.executors {
		if e.Registration.Service == service {
			used += int64(e.Running()) * taskNeed.MilliCPU
			all += roomEach.MilliCPU
		}
	}
	return 2*used >= all
}

// judge notes the first job of which nothing has run for too long.
func (s *liveSite) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readStarts()
	now := time.Now()
	if s.troubled {
		s.calmSince = now
	}
	full := map[cluster.Service]bool{}
	for _, pool := range s.pools {
		full[pool.Service] = s.halfUsed(pool.Service)
	}
	for id, j := range s.jobs {
		if j.final || j.gone {
			continue
		}
		item, found := s.store.Get(layout.JobKey(id))
		state, err := layout.Decode[layout.State](item.Key, item.Value)
		if !found || err != nil {
			s.fail("%s was accepted and is not known: %v", id, err)
			return
		}
		j.final = state.State.Final()
		if j.final || full[j.service] {
			continue
		}
		if waits := now.Sub(j.idleSince()); waits > startBound && now.Sub(s.calmSince) > calmBound {
			s.fail("LOST: of %s (%s, %d tasks, lasting %t) nothing runs for %s, calm for %s", id, j.service, j.tasks, j.lasting, waits, now.Sub(s.calmSince))
		}
	}
}

// idleSince is since when a job, or a task of it that lasts, has nothing running.
func (j *liveJob) idleSince() time.Time {
	since := j.accepted
	if j.due.After(since) {
		since = j.due
	}
	if !j.lasting {
		for _, end := range j.lastRun {
			if end.After(since) {
				since = end
			}
		}
		return since
	}
	if len(j.lastRun) < j.tasks {
		return since.Add(lastingRest)
	}
	oldest := time.Now()
	for _, end := range j.lastRun {
		if end.Before(oldest) {
			oldest = end
		}
	}
	return oldest.Add(lastingRest)
}

func (s *liveSite) fail(format string, values ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, values...) + "\n" + strings.Join(s.events, "\n")
	}
}

// pass lets time go by, with a caller now and then.
func (s *liveSite) pass(d time.Duration, callers bool) {
	for range int(d / judgeEvery) {
		if callers && s.random.IntN(3) == 0 {
			s.submit()
		}
		time.Sleep(judgeEvery)
		s.judge()
	}
}

func (s *liveSite) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// trouble does one thing that goes wrong, and ends it, unless it lasts until heal.
func (s *liveSite) trouble(kind int) {
	i := s.instances[s.random.IntN(len(s.instances))]
	n := s.random.IntN(len(s.executors))
	e := s.executors[n]
	s.troubled = true
	s.logf("trouble %d (%s, %s)", kind, i.id, e.Registration.ID)
	switch kind {
	case troubleAllKilled:
		s.restartAll()
	case troubleStoreDown:
		s.storeDown()
	case 2: // an instance dies and comes back
		i.kill()
		s.pass(s.between(100*time.Millisecond, 4*time.Second), true)
		i.restart()
	case 3: // an instance is cut off from the store alone
		s.network.cut(i.id, storeAddress)
		s.pass(s.between(500*time.Millisecond, 6*time.Second), true)
		if i.up.Load() {
			s.network.mend(i.id, storeAddress)
		}
	case 4:
		s.slow.Store(int64(s.between(100*time.Millisecond, 600*time.Millisecond)))
		s.pass(3*time.Second, true)
		s.slow.Store(0)
	case 5:
		s.refusing.Store(true)
		s.pass(2*time.Second, true)
		s.refusing.Store(false)
	case 6:
		s.store.LoseResponses(1 + s.random.IntN(5))
		s.pass(time.Second, true)
		s.store.LoseResponses(0)
	case 7:
		s.store.Compact()
	case 8:
		s.store.SuppressWatchEvents(true)
		s.pass(3*time.Second, true)
		s.store.SuppressWatchEvents(false)
	case 9:
		s.crash(n, s.random.IntN(2) == 0 || len(s.executors) < 2*len(s.pools))
	case 10: // nobody reaches an executor
		e.dark = true
		s.network.cut("", e.Registration.Address)
		s.pass(s.between(500*time.Millisecond, 8*time.Second), true)
		e.dark = false
		s.network.mend("", e.Registration.Address)
	case 11:
		e.SetFailing(true)
		s.pass(2*time.Second, true)
		e.SetFailing(false)
	case 12:
		e.refusing.Store(true)
		s.pass(s.between(500*time.Millisecond, 6*time.Second), true)
		e.refusing.Store(false)
	case 13:
		s.configure()
	case 14: // a cordon is set and taken back
		key := layout.CordonKey(e.Registration.Service, e.Registration.ID)
		s.store.Put(key, []byte(`{"forOthers":true}`))
		s.pass(2*time.Second, true)
		s.store.Delete(key)
	case 15: // an owner dies, and so does its successor
		service := e.Registration.Service
		for range 2 {
			s.killOwner(service)
			s.pass(s.between(time.Second, 4*time.Second), true)
		}
		s.restartDead()
	case 16: // all instances die while the store is down, and are back before it is
		s.store.SetDown(true)
		s.pass(s.between(0, 2*time.Second), true)
		s.restartAll()
		s.pass(s.between(0, 3*time.Second), true)
		s.store.SetDown(false)
	case 17: // an owner and an executor of its service die at once
		s.killOwner(e.Registration.Service)
		s.crash(n, true)
		s.pass(time.Second, true)
		s.restartDead()
	}
	s.troubled = false
	s.calmSince = time.Now()
}

const (
	troubleAllKilled = iota
	troubleStoreDown
	troubleKinds = 18
)

// killOwner kills the instance that leads a service, if any does.
func (s *liveSite) killOwner(service cluster.Service) {
	item, found := s.store.Get(layout.OwnerKey(string(service)))
	if !found {
		return
	}
	holder, err := layout.Decode[layout.Holder](item.Key, item.Value)
	if err != nil {
		panic(err)
	}
	for _, i := range s.instances {
		if i.id == string(holder.Instance) {
			s.logf("%s, owner of %s, dies", i.id, service)
			i.kill()
		}
	}
}

func (s *liveSite) restartDead() {
	for _, i := range s.instances {
		i.restart()
	}
}

// restartAll kills all instances at once; all are back within 0.3 s.
func (s *liveSite) restartAll() {
	var kills sync.WaitGroup
	for _, i := range s.instances {
		kills.Go(i.kill)
	}
	kills.Wait()
	for _, i := range s.instances {
		time.Sleep(s.between(0, 60*time.Millisecond))
		i.restart()
	}
}

// storeDown takes the store away for a while; leases pause or lapse.
func (s *liveSite) storeDown() {
	away := s.between(500*time.Millisecond, 6*time.Second)
	s.store.SetDown(true)
	s.pass(away, true)
	if s.random.IntN(2) == 0 {
		s.store.ExtendLeases(away)
	}
	s.store.SetDown(false)
}

// play plays a schedule and returns what went wrong.
func (s *liveSite) play() string {
	defer s.close()
	s.pass(4*time.Second, true)
	kinds := []int{troubleAllKilled, troubleStoreDown, troubleStoreDown}
	for range 2 + s.random.IntN(4) {
		kinds = append(kinds, s.random.IntN(troubleKinds))
	}
	s.random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	for _, kind := range kinds {
		s.trouble(kind)
		s.pass(s.between(0, 3*time.Second), true)
	}
	s.pass(12*time.Second, true)
	s.callers.Wait()
	s.cancelLasting()
	s.pass(8*time.Second, false)
	for id, j := range s.jobs {
		item, _ := s.store.Get(layout.JobKey(id))
		state, err := layout.Decode[layout.State](item.Key, item.Value)
		if err != nil || !state.State.Final() {
			s.fail("LOST: %s (%s, %d tasks, lasting %t) is %s in the end: %v", id, j.service, j.tasks, j.lasting, state.State, err)
		}
	}
	return s.failure
}

func (s *liveSite) cancelLasting() {
	for id, j := range s.jobs {
		if !j.lasting {
			continue
		}
		if status := s.call(http.MethodDelete, j.prefix+string(id), ""); status != http.StatusOK {
			s.fail("cancelling %s: %d", id, status)
		}
		j.gone = true
	}
}

func (s *liveSite) close() {
	s.callers.Wait()
	_ = s.storeServer.Close() // the test is over
	for _, i := range s.instances {
		i.kill()
	}
	for _, e := range s.executors {
		_ = e.server.Close() // the test is over
	}
	s.servers.Wait()
}

// All of an instance but its listeners and the clock of its terms, with the real clients
// over connections in memory: whatever went wrong before, accepted jobs run in time once
// all is calm, and become final.
func TestAcceptedJobsRunOnceAllIsCalm(t *testing.T) {
	for n := range *liveSchedules {
		playLiveSite(t, *liveSeed+uint64(n))
	}
}

func playLiveSite(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		failure := newLiveSite(seed).play()
		assert.Assert(t, failure == "", "seed %d: %s", seed, failure)
	})
}

// An executor crashes, and owners follow each other more quickly than the lease that each
// of them assumes to be left there.
func TestAcceptedJobsRunThoughOwnersFollowEachOther(t *testing.T) { playLiveSite(t, 5085) }
