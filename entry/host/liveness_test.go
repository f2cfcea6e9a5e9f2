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
	"github.com/tarragonreach/tarragonreach/entry/intake"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/entry/owner"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/executor"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

var (
	schedules = flag.Int("live-schedules", 2, "how many fault schedules TestAcceptedJobsRunAfterFaultsHaveEnded runs")
	firstSeed = flag.Uint64("live-seed", 20261203, "seed of the first schedule")
)

// Limits of the liveness rule, which the tests of policy/shard check for a shard alone: a job
// counts as lost if nothing of it has run for maxIdleTime, the last fault ended more than
// recoveryTime ago, and less than half of its service's capacity is in use.
const (
	maxIdleTime  = 3 * time.Second
	recoveryTime = 7 * time.Second
	// longRunningMargin is added to maxIdleTime for a long-running task.
	longRunningMargin = 6 * time.Second
)

const (
	storeAddress  = "store:1"
	runTime       = 300 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	executorsEach = 3
)

var (
	taskNeed         = job.Resources{MilliCPU: 1000, MemoryMB: 100}
	executorCapacity = job.Resources{MilliCPU: 16000, MemoryMB: 65536}
)

// simulation runs a stand-in platform and some instances in virtual time.
type simulation struct {
	random        *rand.Rand
	network       *network
	store         *standin.Store
	pools         []standin.PoolSpec
	configVersion int64
	instances     []*simInstance
	servers       sync.WaitGroup
	storeServer   *http.Server

	storeDelay    atomic.Int64 // nanoseconds that each call to the store takes
	storeRefusing atomic.Bool  // the store refuses half of all calls at random

	executors     []*simExecutor
	lostExecutors []*simExecutor
	executorCount int // started so far, for their IDs

	mu        sync.Mutex // guards jobs, which the goroutines of callers add to
	jobs      map[job.ID]*simJob
	submitted int

	faultActive    bool
	faultFreeSince time.Time
	eventLog       []string
	failure        string
	callers        sync.WaitGroup
}

type simJob struct {
	service     cluster.Service
	prefix      string
	tasks       int
	longRunning bool
	due         time.Time
	accepted    time.Time
	lastRun     map[string]time.Time // end of the last run of each task
	final       bool
	cancelled   bool // a cancellation was sent
}

type simExecutor struct {
	*standin.Executor
	server      *http.Server
	startsRead  int // how many of its starts readStarts has read
	refusing    atomic.Bool
	unreachable bool
}

func (e *simExecutor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.Executor.ServeHTTP(w, r)
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), network: newNetwork(), store: standin.NewStore(),
		jobs: map[job.ID]*simJob{}, faultFreeSince: time.Now(),
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

func (s *simulation) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := s.network.listen(address)
	s.servers.Go(func() { _ = server.Serve(listener) }) // ends with Close
	return server
}

func (s *simulation) serveStore(w http.ResponseWriter, r *http.Request) {
	// The server detects a closed connection only after the body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(time.Duration(s.storeDelay.Load()) + time.Millisecond)
	if s.storeRefusing.Load() && rand.IntN(2) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.store.ServeHTTP(w, r)
}

func (s *simulation) configure() {
	s.configVersion++
	f := standin.Fleet{Store: s.store}
	if err := f.Configure(s.pools, s.configVersion); err != nil {
		panic(err)
	}
}

func (s *simulation) startExecutor(service cluster.Service, address string) {
	s.executorCount++
	e := &simExecutor{Executor: standin.NewExecutor(cluster.Executor{
		ID: cluster.ExecutorID(fmt.Sprintf("i-%d", s.executorCount)), Service: service, Address: address,
		Born: cluster.Birth(time.Now().UnixMilli()),
		Zone: "palermo", Capacity: executorCapacity, Labels: []string{"a", "r1-1"},
	}, runTime)}
	e.server = s.serve(address, e)
	s.executors = append(s.executors, e)
	s.register(e)
}

// startAgain crashes an executor and starts it again under its ID after a while.
func (s *simulation) startAgain(i int) {
	former := s.executors[i]
	_ = former.server.Close() // a crash loses requests in progress
	former.Stop()
	time.Sleep(s.randomDuration(time.Millisecond, 2*time.Second))
	registration := former.Registration
	registration.Born = cluster.Birth(time.Now().UnixMilli())
	e := &simExecutor{Executor: standin.NewExecutor(registration, runTime), unreachable: former.unreachable}
	e.server = s.serve(registration.Address, e)
	s.lostExecutors = append(s.lostExecutors, former)
	s.executors[i] = e
	s.register(e)
}

func (s *simulation) register(e *simExecutor) {
	key, value, err := e.Entry()
	if err != nil {
		panic(err)
	}
	s.store.Put(key, value)
}

func (s *simulation) crash(i int, replace bool) {
	e := s.executors[i]
	s.executors = append(s.executors[:i], s.executors[i+1:]...)
	s.lostExecutors = append(s.lostExecutors, e)
	_ = e.server.Close() // a crash loses requests in progress
	if e.unreachable {
		s.network.heal("", e.Registration.Address)
	}
	s.store.Delete(registry.ExecutorPrefix + string(e.Registration.ID))
	if replace {
		s.startExecutor(e.Registration.Service, e.Registration.Address)
	}
}

// simInstance is an instance, assembled from the same parts as in package host.
type simInstance struct {
	sim     *simulation
	id      string
	cores   float64
	handler http.Handler
	cancel  context.CancelFunc
	running sync.WaitGroup
	config  *operatorconfig.Follower
	up      atomic.Bool
}

func (s *simulation) newInstance(id string, cores float64) *simInstance {
	i := &simInstance{sim: s, id: id, cores: cores}
	i.start()
	return i
}

func (i *simInstance) start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	logger := slog.New(slog.DiscardHandler)
	dial := i.sim.network.dial(i.id)
	store := storehealth.New(kv.NewWithDial(storeAddress, dial), func(bool, int) {})
	e := election.New(store, fleet.InstanceID(i.id), "palermo", i.cores, logger)
	services := map[cluster.Service]bool{}
	reads := storehealth.NewDedicated(kv.NewWithDial(storeAddress, dial), store)
	i.config = operatorconfig.New(reads, operatorconfig.Options{ApplyWithin: 2 * configDelay, BootClock: virtualBootClock()}, func(config *cluster.Config) {
		for _, pool := range config.Pools {
			if !services[pool.Service] {
				services[pool.Service] = true
				i.campaign(ctx, e, store, pool.Service, logger)
			}
		}
	}, logger, tally.NoopScope)
	i.handler = intake.New(store, i.config, func() bool { return false }, logger, tally.NoopScope).Handler()
	i.running.Go(func() { e.Follow(ctx) })
	i.running.Go(func() { store.Probe(ctx) })
	i.running.Go(func() { i.config.Run(ctx); store.CloseIdle() })
	i.up.Store(true)
}

func (i *simInstance) campaign(ctx context.Context, e *election.Election, store *storehealth.Store, service cluster.Service, logger *slog.Logger) {
	dial := i.sim.network.dial(i.id)
	options := owner.Options{
		Service: service, Limits: shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, Store: store,
		Dial: func(id cluster.ExecutorID, address string) owner.Executor {
			return executor.NewWithDial(id, address, dial)
		},
		Config: i.config.Current, Logger: logger, Scope: tally.NoopScope,
	}
	i.running.Go(func() {
		e.Campaign(ctx, layout.ServiceDuty(service), func(ctx context.Context, term election.Term) { owner.Lead(ctx, term, options) })
	})
}

// kill stops the instance like a crash: it releases nothing in the store.
func (i *simInstance) kill() {
	if !i.up.Swap(false) {
		return
	}
	i.sim.network.partition(i.id, storeAddress)
	i.cancel()
	i.running.Wait()
	i.sim.network.closeConns(i.id)
}

// restart starts the instance again if it was killed.
func (i *simInstance) restart() {
	if i.up.Load() {
		return
	}
	i.sim.network.heal(i.id, storeAddress)
	i.start()
}

func (s *simulation) logf(format string, values ...any) {
	s.eventLog = append(s.eventLog, time.Now().Format("05.000 ")+fmt.Sprintf(format, values...))
}

// submit submits a job to random instances, with the retries of a caller.
func (s *simulation) submit() {
	pool := s.pools[s.random.IntN(len(s.pools))]
	s.submitted++
	id := job.ID(fmt.Sprintf("%016x", s.submitted))
	j := &simJob{
		service: pool.Service, prefix: pool.Prefix, tasks: 1 + s.random.IntN(3),
		longRunning: s.random.IntN(12) == 0, lastRun: map[string]time.Time{},
	}
	body := standin.SubmissionBody(j.tasks, taskNeed, runTime, j.longRunning)
	if !j.longRunning && s.random.IntN(8) == 0 {
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

func (s *simulation) call(method, path, body string) int {
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

// readStarts records the runs that the executors have started since the last call.
func (s *simulation) readStarts() {
	for _, e := range append(append([]*simExecutor{}, s.executors...), s.lostExecutors...) {
		starts := e.Starts()
		for _, start := range starts[e.startsRead:] {
			id, _, _ := strings.Cut(start.Task, ".")
			if j := s.jobs[job.ID(id)]; j != nil {
				j.lastRun[start.Task] = start.At.Add(runTime)
			} else {
				continue // its caller has no response yet
			}
		}
		e.startsRead = len(starts)
	}
}

// halfInUse reports whether half of the CPU capacity of a service's executors is in use.
func (s *simulation) halfInUse(service cluster.Service) bool {
	var used, all int64
	for _, e := range s.executors {
		if e.Registration.Service == service {
			used += int64(e.Running()) * taskNeed.MilliCPU
			all += executorCapacity.MilliCPU
		}
	}
	return 2*used >= all
}

// checkJobs records a failure for the first job that counts as lost.
func (s *simulation) checkJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readStarts()
	now := time.Now()
	if s.faultActive {
		s.faultFreeSince = now
	}
	busy := map[cluster.Service]bool{}
	for _, pool := range s.pools {
		busy[pool.Service] = s.halfInUse(pool.Service)
	}
	for id, j := range s.jobs {
		if j.final || j.cancelled {
			continue
		}
		item, found := s.store.Get(layout.JobKey(id))
		state, err := layout.Decode[layout.State](item.Key, item.Value)
		if !found || err != nil {
			s.fail("%s was accepted and has no readable state: %v", id, err)
			return
		}
		j.final = state.State.Final()
		if j.final || busy[j.service] {
			continue
		}
		if idle := now.Sub(j.idleSince()); idle > maxIdleTime && now.Sub(s.faultFreeSince) > recoveryTime {
			s.fail("LOST: nothing of %s (%s, %d tasks, long-running %t) has run for %s, fault-free for %s", id, j.service, j.tasks, j.longRunning, idle, now.Sub(s.faultFreeSince))
		}
	}
}

// idleSince returns the time since which nothing of the job has run. For a long-running job it
// returns when the task that has been idle longest last ran, plus longRunningMargin.
func (j *simJob) idleSince() time.Time {
	since := j.accepted
	if j.due.After(since) {
		since = j.due
	}
	if !j.longRunning {
		for _, end := range j.lastRun {
			if end.After(since) {
				since = end
			}
		}
		return since
	}
	if len(j.lastRun) < j.tasks {
		return since.Add(longRunningMargin)
	}
	oldest := time.Now()
	for _, end := range j.lastRun {
		if end.Before(oldest) {
			oldest = end
		}
	}
	return oldest.Add(longRunningMargin)
}

func (s *simulation) fail(format string, values ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, values...) + "\n" + strings.Join(s.eventLog, "\n")
	}
}

// advance lets time pass and checks the jobs; with callers, it submits jobs at random.
func (s *simulation) advance(d time.Duration, callers bool) {
	for range int(d / checkInterval) {
		if callers && s.random.IntN(3) == 0 {
			s.submit()
		}
		time.Sleep(checkInterval)
		s.checkJobs()
	}
}

func (s *simulation) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// injectFault injects one fault of a kind and, unless it is permanent, ends it again.
func (s *simulation) injectFault(kind int) {
	i := s.instances[s.random.IntN(len(s.instances))]
	n := s.random.IntN(len(s.executors))
	e := s.executors[n]
	s.faultActive = true
	s.logf("fault %d (%s, %s)", kind, i.id, e.Registration.ID)
	switch kind {
	case faultAllKilled:
		s.restartAll()
	case faultStoreDown:
		s.storeDown()
	case 2: // an instance is killed and restarted
		i.kill()
		s.advance(s.randomDuration(100*time.Millisecond, 4*time.Second), true)
		i.restart()
	case 3: // an instance is partitioned from the store only
		s.network.partition(i.id, storeAddress)
		s.advance(s.randomDuration(500*time.Millisecond, 6*time.Second), true)
		if i.up.Load() {
			s.network.heal(i.id, storeAddress)
		}
	case 4:
		s.storeDelay.Store(int64(s.randomDuration(100*time.Millisecond, 600*time.Millisecond)))
		s.advance(3*time.Second, true)
		s.storeDelay.Store(0)
	case 5:
		s.storeRefusing.Store(true)
		s.advance(2*time.Second, true)
		s.storeRefusing.Store(false)
	case 6:
		s.store.LoseResponses(1 + s.random.IntN(5))
		s.advance(time.Second, true)
		s.store.LoseResponses(0)
	case 7:
		s.store.Compact()
	case 8:
		s.store.SuppressWatchEvents(true)
		s.advance(3*time.Second, true)
		s.store.SuppressWatchEvents(false)
	case 9:
		s.crash(n, s.random.IntN(2) == 0 || len(s.executors) < 2*len(s.pools))
	case 10: // an executor is unreachable for all instances
		e.unreachable = true
		s.network.partition("", e.Registration.Address)
		s.advance(s.randomDuration(500*time.Millisecond, 8*time.Second), true)
		e.unreachable = false
		s.network.heal("", e.Registration.Address)
	case 11:
		e.SetFailing(true)
		s.advance(2*time.Second, true)
		e.SetFailing(false)
	case 12:
		e.refusing.Store(true)
		s.advance(s.randomDuration(500*time.Millisecond, 6*time.Second), true)
		e.refusing.Store(false)
	case 13:
		s.configure()
	case 14: // a cordon is set and revoked
		key := layout.CordonKey(e.Registration.Service, e.Registration.ID)
		s.store.Put(key, []byte(`{"forOthers":true}`))
		s.advance(2*time.Second, true)
		s.store.Delete(key)
	case 15: // an owner is killed, and then its successor
		service := e.Registration.Service
		for range 2 {
			s.killOwner(service)
			s.advance(s.randomDuration(time.Second, 4*time.Second), true)
		}
		s.restartKilled()
	case 16: // all instances are killed and restarted while the store is down
		s.store.SetDown(true)
		s.advance(s.randomDuration(0, 2*time.Second), true)
		s.restartAll()
		s.advance(s.randomDuration(0, 3*time.Second), true)
		s.store.SetDown(false)
	case 17: // an owner and an executor of its service fail at once
		s.killOwner(e.Registration.Service)
		s.crash(n, true)
		s.advance(time.Second, true)
		s.restartKilled()
	case 18: // an executor starts again under its ID
		s.startAgain(n)
		s.advance(s.randomDuration(100*time.Millisecond, 2*time.Second), true)
	}
	s.faultActive = false
	s.faultFreeSince = time.Now()
}

const (
	faultAllKilled = iota
	faultStoreDown
	faultKinds = 19
)

// killOwner kills the instance that leads a service, if any does.
func (s *simulation) killOwner(service cluster.Service) {
	item, found := s.store.Get(layout.OwnerKey(layout.ServiceDuty(service)))
	if !found {
		return
	}
	holder, err := layout.Decode[layout.Holder](item.Key, item.Value)
	if err != nil {
		panic(err)
	}
	for _, i := range s.instances {
		if i.id == string(holder.Instance) {
			s.logf("%s, owner of %s, is killed", i.id, service)
			i.kill()
		}
	}
}

func (s *simulation) restartKilled() {
	for _, i := range s.instances {
		i.restart()
	}
}

// restartAll kills all instances at once; all are restarted within 0.3 s.
func (s *simulation) restartAll() {
	var kills sync.WaitGroup
	for _, i := range s.instances {
		kills.Go(i.kill)
	}
	kills.Wait()
	for _, i := range s.instances {
		time.Sleep(s.randomDuration(0, 60*time.Millisecond))
		i.restart()
	}
}

// storeDown makes the store unavailable for a while; leases are extended by the outage or
// expire.
func (s *simulation) storeDown() {
	outage := s.randomDuration(500*time.Millisecond, 6*time.Second)
	s.store.SetDown(true)
	s.advance(outage, true)
	if s.random.IntN(2) == 0 {
		s.store.ExtendLeases(outage)
	}
	s.store.SetDown(false)
}

// run runs a random schedule of faults and returns the first failure, or an empty string.
func (s *simulation) run() string {
	defer s.close()
	s.advance(4*time.Second, true)
	kinds := []int{faultAllKilled, faultStoreDown, faultStoreDown}
	for range 2 + s.random.IntN(4) {
		kinds = append(kinds, s.random.IntN(faultKinds))
	}
	s.random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	for _, kind := range kinds {
		s.injectFault(kind)
		s.advance(s.randomDuration(0, 3*time.Second), true)
	}
	s.advance(12*time.Second, true)
	s.callers.Wait()
	s.cancelLongRunning()
	s.advance(8*time.Second, false)
	for id, j := range s.jobs {
		item, _ := s.store.Get(layout.JobKey(id))
		state, err := layout.Decode[layout.State](item.Key, item.Value)
		if err != nil || !state.State.Final() {
			s.fail("LOST: %s (%s, %d tasks, long-running %t) is %s in the end: %v", id, j.service, j.tasks, j.longRunning, state.State, err)
		}
	}
	return s.failure
}

func (s *simulation) cancelLongRunning() {
	for id, j := range s.jobs {
		if !j.longRunning {
			continue
		}
		if status := s.call(http.MethodDelete, j.prefix+string(id), ""); status != http.StatusOK {
			s.fail("cancelling %s: status %d", id, status)
		}
		j.cancelled = true
	}
}

func (s *simulation) close() {
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

// Once all faults have ended, accepted jobs run in time and become final. The instances use
// the real clients over in-memory connections; only their listeners and the clock of their
// terms are not part of the simulation.
func TestAcceptedJobsRunAfterFaultsHaveEnded(t *testing.T) {
	for n := range *schedules {
		runSimulation(t, *firstSeed+uint64(n))
	}
}

func runSimulation(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		failure := newSimulation(seed).run()
		assert.Assert(t, failure == "", "seed %d: %s", seed, failure)
	})
}

// An executor crashes, and takeovers follow each other within the duration of a run lease.
// Each new owner must assume that leases of runs on the executor are still valid.
func TestAcceptedJobsRunDespiteRapidTakeovers(t *testing.T) { runSimulation(t, 5085) }
